"""Keys never reach an output, also where a message repeats what came in."""

import re

MASK = "[hidden]"
MAX_VALUE_CHARACTERS = 512
"""Characters of a value; a caller could fill the log with one header otherwise."""

_HIDDEN_FIELDS = frozenset(
    {"authorization", "cookie", "key", "password", "secret", "token", "x_peer_proof"}
)
_CREDENTIALS = re.compile(r"(?i)\b(bearer|basic)(\s+|%20)[^\s'\",;]+")
_URL_USER = re.compile(r"//[^/@\s]+@")


def mask_keys(text: str) -> str:
    """Return a text with credentials blotted out and cut to `MAX_VALUE_CHARACTERS`.

    Libraries put what they choke on into their messages: ``http.client`` repeats a
    header value that holds a line break. The key would then stand in the log of
    every host that the request passed.
    """
    text = _CREDENTIALS.sub(rf"\1 {MASK}", text)
    text = _URL_USER.sub(f"//{MASK}@", text)
    return (
        text
        if len(text) <= MAX_VALUE_CHARACTERS
        else f"{text[:MAX_VALUE_CHARACTERS]}..."
    )


def mask_field(name: str, value: object) -> object:
    """Return the value of a named field as it may be written."""
    if name.lower().replace("-", "_") in _HIDDEN_FIELDS:
        return MASK
    if value is None or isinstance(value, bool | int | float):
        return value
    return mask_keys(str(value))
