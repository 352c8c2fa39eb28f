"""Life cycle of one host: start, and stop after draining running requests."""

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
"""Time for which a leaving host still accepts requests.

Load balancers and peers notice within about this time that the host is leaving.
"""

MAX_DRAIN_SECONDS = 600.0
"""Limit of the wait for running streams; the timeout of a turn is well below."""

MAX_OUTCOME_WAIT_SECONDS = 30.0
"""Limit of the wait until the platform has stored the outcomes of all calls."""

POLL_INTERVAL_SECONDS = 0.2
MAX_HAND_OVER_SECONDS = 10.0


@dataclass(slots=True)
class Daemon:
    """One host with its background services and HTTP servers.

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
        Further components with `start` and `stop`, in the order of their start.
    callers, peers : WebServer
        Servers for callers and for other hosts.
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
        """Join the zone and start serving.

        The ready file is written last, when callers are served.
        """
        self.peers.start()
        self.config.start()
        self.membership.start()
        for service in self.services:
            service.start()
        self.callers.start()
        self.gate.set(GateState.OPEN)
        self._write_ready_file()

    def stop(self) -> None:
        """Leave the zone without interrupting requests, within time limits.

        First the host reports that it isn't ready and hands over its slots. After
        `LEAVING_NOTICE_SECONDS` it refuses new requests. Then it waits until running
        streams have ended and the outcomes of calls are stored.
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
        # The host that received a call may still be reading its last events.
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
    """Block until `stop` is set.

    The wait has a timeout so that signal handlers run.
    """
    while not stop.wait(1.0):
        pass
