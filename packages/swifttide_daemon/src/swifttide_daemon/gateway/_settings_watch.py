"""Reloads the settings while the process runs, periodically and on SIGHUP."""

import asyncio
from collections.abc import Callable

from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.telemetry import EventLog

FILE_POLL_SECONDS = 1.0
"""Time between reads of the settings file, which may change without a signal."""


class SettingsWatch:
    """Reads the settings periodically and reports changes.

    Parameters
    ----------
    read : callable
        Returns the settings; raises `ValueError` with the cause if they are invalid.
    apply : callable
        Takes settings that differ from the last ones that were read.
    log : EventLog
    """

    def __init__(
        self,
        read: Callable[[], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
        log: EventLog,
    ):
        self._read = read
        self._apply = apply
        self._log = log
        self._reload_requested = asyncio.Event()
        self._last: GatewaySettings | None = None
        self._error = ""

    def request_reload(self) -> None:
        """Read the settings at once, after SIGHUP."""
        self._reload_requested.set()

    async def run(self, current: GatewaySettings) -> None:
        """Read the settings periodically until cancelled."""
        self._last = current
        while True:
            try:
                async with asyncio.timeout(FILE_POLL_SECONDS):
                    await self._reload_requested.wait()
                self._reload_requested.clear()
                self._log.info("reload")
            except TimeoutError:
                pass
            self._reload_if_changed()

    def _reload_if_changed(self):
        try:
            found = self._read()
        except ValueError as exc:
            # The file is being written or is invalid: keep the current settings.
            if str(exc) != self._error:
                self._log.error("settings_unreadable", detail=str(exc))
            self._error = str(exc)
            return
        self._error = ""
        if found != self._last:
            self._last = found
            self._apply(found)
