"""Key of what a request asks, by which streams are found that answered it."""

import hashlib

from swifttide_daemon.gateway.callers._caller_request import CallerRequest


def request_key(customer: str, req: CallerRequest) -> str:
    """Return the key of what a request asks; attempts at the same request share it."""
    turn = req.turn
    digest = hashlib.blake2b(digest_size=16)
    for text in (customer, req.host, turn.program, turn.branch, turn.previous):
        digest.update(f"{len(text)}:{text}".encode())
    digest.update(b"%d:" % len(req.target) + req.target + req.body)
    return digest.hexdigest()
