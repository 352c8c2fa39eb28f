"""Configuration changes and the state of the configuration at a host."""

from swifttide_core.configuration._change import Change
from swifttide_core.configuration._change_document import (
    DOCUMENT_TYPES,
    check_version,
    decode_document,
)
from swifttide_core.configuration._config_state import ConfigState

__all__ = [
    "DOCUMENT_TYPES",
    "Change",
    "ConfigState",
    "check_version",
    "decode_document",
]
