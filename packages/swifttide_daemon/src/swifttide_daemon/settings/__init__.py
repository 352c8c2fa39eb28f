"""Settings of one host: JSON with comments, decoded strictly."""

from swifttide_daemon.settings._config_settings import ConfigSettings
from swifttide_daemon.settings._deployment_secret import read_deployment_secret
from swifttide_daemon.settings._lease_settings import LeaseSettings
from swifttide_daemon.settings._limit_settings import LimitSettings
from swifttide_daemon.settings._log_settings import LogSettings
from swifttide_daemon.settings._recording_settings import RecordingSettings
from swifttide_daemon.settings._settings import Settings
from swifttide_daemon.settings._settings_errors import SettingsErrors
from swifttide_daemon.settings._timeout_settings import TimeoutSettings
from swifttide_daemon.settings._trace_settings import TraceExporter, TraceSettings

__all__ = [
    "ConfigSettings",
    "LeaseSettings",
    "LimitSettings",
    "LogSettings",
    "RecordingSettings",
    "Settings",
    "SettingsErrors",
    "TimeoutSettings",
    "TraceExporter",
    "TraceSettings",
    "read_deployment_secret",
]
