"""One host, from its start to its planned stop."""

import logging
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from swifttide_daemon.calls import CallTable
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry import (
    Gate,
    GateState,
)
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.runners import UnrecordedCalls
from swifttide_daemon.settings import Settings
from swifttide_daemon.store import PlatformClient
from swifttide_daemon.telemetry import Telemetry
from swifttide_daemon.web import WebServer

log = logging.getLogger(__name__)

LEAVING_NOTICE_SECONDS = 2.0
"""How long a leaving host still takes requests: balancers and peers see the change
within about this."""

MAX_DRAIN_SECONDS = 600.0
"""Longest wait for streams that run; a turn's timeout is well below."""

MAX_OUTCOME_WAIT_SECONDS = 30.0
"""Longest wait for a platform that doesn't take the outcomes of calls."""

POLL_INTERVAL_SECONDS = 0.2
MAX_HAND_OVER_SECONDS = 10.0


@dataclass(slots=True)
class Daemon:
    """One host: its services, handlers and servers.

    Parameters
    ----------
    settings : Settings
    telemetry : Telemetry
    gate : Gate
    platform : PlatformClient
    config : ConfigService
    membership : MembershipService
    table : CallTable
    unrecorded : UnrecordedCalls
    services : tuple
        Further parts with `start` and `stop`, in the order of their start.
    callers, peers : WebServer
    """

    settings: Settings
    telemetry: Telemetry
    gate: Gate
    platform: PlatformClient
    config: ConfigService
    membership: MembershipService
    table: CallTable
    unrecorded: UnrecordedCalls
    services: tuple
    callers: WebServer
    peers: WebServer

    def start(self) -> None:
        """Join the zone and serve."""
        self.peers.start()
        self.config.start()
        self.membership.start()
        for service in self.services:
            service.start()
        self.callers.start()
        self.gate.set(GateState.OPEN)
        self._write_ready_file()

    def stop(self) -> None:
        """Leave the zone without cutting a request.

        Readiness goes first and slots are handed over, then new requests are sent
        elsewhere, then the last streams run to their end.
        """
        self.gate.set(GateState.LEAVING)
        noticed_at = time.monotonic() + LEAVING_NOTICE_SECONDS
        self._hand_over()
        time.sleep(max(0.0, noticed_at - time.monotonic()))
        self.gate.set(GateState.CLOSED)
        self._drain()
        for service in reversed(self.services):
            service.stop()
        self.membership.stop()
        self.config.stop()
        self.callers.stop()
        self.peers.stop()
        self.telemetry.close()

    def _hand_over(self) -> None:
        ends_at = time.monotonic() + MAX_HAND_OVER_SECONDS
        while not self.membership.hand_over() and time.monotonic() < ends_at:
            time.sleep(POLL_INTERVAL_SECONDS)

    def _drain(self) -> None:
        ends_at = time.monotonic() + MAX_DRAIN_SECONDS
        while time.monotonic() < ends_at:
            if self.gate.n_in_flight() == 0 and self.table.n_running() == 0:
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        outcomes_until = time.monotonic() + MAX_OUTCOME_WAIT_SECONDS
        while self.unrecorded.count() and time.monotonic() < outcomes_until:
            time.sleep(POLL_INTERVAL_SECONDS)
        # An entry host may still be reading the last events of an ended call.
        time.sleep(POLL_INTERVAL_SECONDS)

    def _write_ready_file(self) -> None:
        if not self.settings.ready_file:
            return
        me = self.membership.me
        ready = {"caller_url": me.caller_url, "peer_url": me.peer_url}
        path = Path(self.settings.ready_file)
        part = path.with_suffix(".part")
        part.write_bytes(msgspec.json.encode(ready))
        part.replace(path)


def wait_for_signal(stop: threading.Event) -> None:
    """Sleep until `stop` is set, waking up for signals."""
    while not stop.wait(1.0):
        pass
