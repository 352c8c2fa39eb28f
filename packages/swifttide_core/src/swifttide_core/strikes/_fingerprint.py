"""Fingerprint of a request, the same for all who send it."""

import hashlib
from collections.abc import Mapping

import msgspec

EXCLUDED_FIELDS = frozenset(
    {
        "program",
        "parent",
        "turn",
        "id",
        "request_id",
        "idempotency_key",
        "user",
        "customer",
        "metadata",
        "traceparent",
        "stream",
    }
)
"""Members of a request's body that name who asks, or how it is delivered."""

DIGEST_BYTES = 16


def fingerprint_of(document: Mapping | bytes, kind: str = "") -> str:
    """Return the fingerprint of a request's body.

    Parameters
    ----------
    document : mapping or bytes
        Decoded JSON body, or a body that is not JSON.
    kind : str
        What runs it, for instance the model or ``service/path``; a body that
        crashes one model may be harmless to another.

    Returns
    -------
    str
        32 hex digits.

    Notes
    -----
    A cryptographic hash: with a weaker one a customer could make up a crashing
    request that has another's fingerprint, and so have the other refused.
    """
    match document:
        case bytes():
            body = document
        case _:
            kept = {k: v for k, v in document.items() if k not in EXCLUDED_FIELDS}
            body = msgspec.json.encode(kept, order="deterministic")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(kind.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
