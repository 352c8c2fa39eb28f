"""Configuration changes and the state of the configuration at a host."""

from swifttide_core.configuration._change import Change
from swifttide_core.configuration._config_state import (
    DOCUMENT_TYPES,
    ConfigState,
)

__all__ = ["DOCUMENT_TYPES", "Change", "ConfigState"]
