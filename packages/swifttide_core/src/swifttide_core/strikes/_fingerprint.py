"""Fingerprint of a request, independent of its caller and delivery."""

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
"""Members of a request body that identify the caller or the way of delivery. They are
excluded from the fingerprint."""

DIGEST_BYTES = 16


def fingerprint_of(document: Mapping | bytes, kind: str = "") -> str:
    """Return the fingerprint of a request's body.

    Parameters
    ----------
    document : mapping or bytes
        Decoded JSON body, or a body that is not JSON.
    kind : str
        What executes the request, for instance the model or ``service/path``. A body
        that crashes one model may be harmless to another.

    Returns
    -------
    str
        Fingerprint of 32 hexadecimal digits.

    Notes
    -----
    The hash is cryptographic. With a weaker one, a customer could construct a crashing
    request with the fingerprint of another customer's request, which would then be
    refused.
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
