"""Heartbeats between neighbours, by which configuration spreads without the platform.

A zone can lose the platform and still reach other hosts. Each host tells its
neighbours the configuration version it has; whoever has less pulls the rest of the
log from the other.
"""

import logging
import threading
import time

import msgspec

from swifttide_core.configuration import Change
from swifttide_core.membership import HostRow
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 1.0
CROSS_ZONE_AGE_SECONDS = 4.0
"""Age of its knowledge from which a host asks other zones' hosts, too."""

MAX_REPORTED_AGE_SECONDS = 1e9


class Heartbeat:
    """Talks to the neighbours once a period.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    peers : PeerClient
    """

    def __init__(
        self, membership: MembershipService, config: ConfigService, peers: PeerClient
    ) -> None:
        self.membership = membership
        self.config = config
        self.peers = peers
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Send heartbeats from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more heartbeats."""
        self._stop.set()

    def message(self) -> dict[str, object]:
        """Return what this host says of itself."""
        me = self.membership.me
        return {
            "host": me.host,
            "zone": me.zone,
            "incarnation": me.incarnation,
            "config_version": self.config.version,
            "config_fresh_age": min(self.config.fresh_age(), MAX_REPORTED_AGE_SECONDS),
            "state": me.state.value,
        }

    def _run(self) -> None:
        while not self._stop.wait(HEARTBEAT_INTERVAL_SECONDS):
            rows = self.membership.neighbours()
            if self.config.fresh_age() > CROSS_ZONE_AGE_SECONDS:
                rows += self.membership.random_hosts_of_other_zones()
            for row in rows:
                try:
                    self._exchange_heartbeat(row)
                except (msgspec.MsgspecError, KeyError):
                    log.exception("a heartbeat's answer can't be read")

    def _exchange_heartbeat(self, row: HostRow) -> None:
        sent_at = time.monotonic()
        answer = self.peers.call(
            row.peer_url, "POST", "/peer/v1/heartbeat", self.message()
        )
        if answer.is_error():
            return
        version = answer.ok["config_version"]
        if version > self.config.version:
            self._pull_changes(row)
        age = answer.ok["config_fresh_age"]
        self.config.confirm_fresh(version, sent_at - age)

    def _pull_changes(self, row: HostRow) -> None:
        path = f"/peer/v1/config?after={self.config.version}"
        answer = self.peers.call(row.peer_url, "GET", path)
        if answer.is_ok():
            changes = msgspec.convert(answer.ok["changes"], list[Change])
            self.config.apply_peer_changes(answer.ok["version"], changes)
