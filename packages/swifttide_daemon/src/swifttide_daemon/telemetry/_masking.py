"""Masking of credentials in logs and traces.

Messages may quote input that contains API keys. The functions of this module are
applied to all texts before they are written.
"""

import re

MASK = "[hidden]"
MAX_VALUE_CHARACTERS = 512
"""Limit of characters per value; one long header could otherwise fill the log."""

_HIDDEN_FIELDS = frozenset(
    {"authorization", "cookie", "key", "password", "secret", "token", "x_peer_proof"}
)
_CREDENTIALS = re.compile(r"(?i)\b(bearer|basic)(\s+|%20)[^\s'\",;]+")
_URL_USER = re.compile(r"//[^/@\s]+@")


def mask_keys(text: str) -> str:
    """Return a text with credentials masked, cut to `MAX_VALUE_CHARACTERS`.

    Libraries quote invalid input in their messages: ``http.client`` repeats a header
    value that contains a line break. Without masking, the key would be written to the
    log of every host that the request passes.
    """
    text = _CREDENTIALS.sub(rf"\1 {MASK}", text)
    text = _URL_USER.sub(f"//{MASK}@", text)
    return (
        text
        if len(text) <= MAX_VALUE_CHARACTERS
        else f"{text[:MAX_VALUE_CHARACTERS]}..."
    )


def mask_field(name: str, value: object) -> object:
    """Return the value of a field for output, masked if its name is a credential's."""
    if name.lower().replace("-", "_") in _HIDDEN_FIELDS:
        return MASK
    if value is None or isinstance(value, bool | int | float):
        return value
    return mask_keys(str(value))
