"""The print office's platform: its names, formats and calls, and no decisions."""

from swifttide_daemon.platform._dialect import PrintOfficeDialect
from swifttide_daemon.platform._documents import (
    decode_config,
    decode_target,
    emptied_zone,
)
from swifttide_daemon.platform._settings_file import (
    SETTINGS_VARIABLE,
    SettingsError,
    read_settings,
)
from swifttide_daemon.platform._store_client import PrintOfficeStore

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
TARGETS_TABLE = "servers"
READY_PATH = "/-/readyz"

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TABLE",
    "READY_PATH",
    "SETTINGS_VARIABLE",
    "TARGETS_TABLE",
    "PrintOfficeDialect",
    "PrintOfficeStore",
    "SettingsError",
    "decode_config",
    "decode_target",
    "emptied_zone",
    "read_settings",
]
