"""Settings of one host."""

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from swifttide_core.checks import FieldError, decode_fields, load_json_with_comments
from swifttide_daemon.settings._checks import check_settings
from swifttide_daemon.settings._config_settings import ConfigSettings
from swifttide_daemon.settings._lease_settings import LeaseSettings
from swifttide_daemon.settings._limit_settings import LimitSettings
from swifttide_daemon.settings._log_settings import LogSettings
from swifttide_daemon.settings._recording_settings import RecordingSettings
from swifttide_daemon.settings._settings_errors import SettingsErrors
from swifttide_daemon.settings._timeout_settings import TimeoutSettings
from swifttide_daemon.settings._trace_settings import TraceSettings


@dataclass(frozen=True, slots=True)
class Settings:
    """What one daemon needs to know before it reaches the platform.

    Parameters
    ----------
    host : str
        Id of the host, unique in the fleet.
    zone : str
        Availability zone that it stands in.
    platform_url : str
        Base URL of the platform.
    deployment_secret_file : str
        File with the secret by which peers prove that they belong together.
    caller_address, peer_address : str
        IP numbers to listen at.
    caller_port, peer_port : int
        Ports to listen at; 0 takes one from the operating system.
    advertise_address : str
        IP number that peers are told; empty takes ``peer_address``.
    operator_key_hashes : tuple of str
        SHA-256 of operators' keys that hold before any is granted.
    n_slots : int
        Slots of the zone; the same at every host of the fleet.
    lease : LeaseSettings
    config : ConfigSettings
    limits : LimitSettings
    timeouts : TimeoutSettings
    log : LogSettings
    traces : TraceSettings
    recording : RecordingSettings
    ready_file : str
        File that the daemon writes its addresses to once it serves; empty for
        none.
    """

    host: str
    zone: str
    platform_url: str
    deployment_secret_file: str
    caller_address: str = "127.0.0.1"
    caller_port: int = 0
    peer_address: str = "127.0.0.1"
    peer_port: int = 0
    advertise_address: str = ""
    operator_key_hashes: tuple[str, ...] = ()
    n_slots: int = 64
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    config: ConfigSettings = field(default_factory=ConfigSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    timeouts: TimeoutSettings = field(default_factory=TimeoutSettings)
    log: LogSettings = field(default_factory=LogSettings)
    traces: TraceSettings = field(default_factory=TraceSettings)
    recording: RecordingSettings = field(default_factory=RecordingSettings)
    ready_file: str = ""

    @classmethod
    def from_file(cls, path: str | Path) -> "Result[Settings, SettingsErrors]":
        """Read a settings file.

        Parameters
        ----------
        path : str or Path
            JSON with comments. Names of files in it count from its directory.

        Returns
        -------
        Result
            The settings, or every error of the file.
        """
        path = Path(path)
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            got = f"a file that can't be read ({type(exc).__name__})"
            errors = (FieldError("", got, "a readable settings file"),)
            return Error(SettingsErrors(str(path), errors))
        return (
            load_json_with_comments(text)
            .bind(cls.from_document)
            .map(lambda settings: settings.resolved_from(path.parent))
            .map_error(lambda errors: SettingsErrors(str(path), errors))
        )

    @classmethod
    def from_document(cls, raw: Any) -> "Result[Settings, tuple[FieldError, ...]]":
        """Decode and check settings.

        Parameters
        ----------
        raw : object
            Decoded JSON.

        Returns
        -------
        Result
            The settings with ``advertise_address`` filled in, or every error.
        """
        return decode_fields(cls, raw).map(cls._with_advertised).bind(cls._checked)

    def resolved_from(self, directory: Path) -> "Settings":
        """Return the settings with relative file names made absolute."""

        def resolve(name: str) -> str:
            return str((directory / name).absolute()) if name else ""

        return replace(
            self,
            deployment_secret_file=resolve(self.deployment_secret_file),
            ready_file=resolve(self.ready_file),
            traces=replace(self.traces, path=resolve(self.traces.path)),
            recording=replace(self.recording, path=resolve(self.recording.path)),
        )

    def _with_advertised(self) -> "Settings":
        return replace(
            self, advertise_address=self.advertise_address or self.peer_address
        )

    def _checked(self) -> "Result[Settings, tuple[FieldError, ...]]":
        errors = check_settings(self)
        return Error(errors) if errors else Ok(self)
