"""Heartbeats between hosts, which spread the configuration without the platform.

A zone may lose its connection to the platform while it still reaches other hosts. Each
host asks its neighbours for their configuration version once per second. A host that
learns of a newer version fetches the missing changes from that neighbour. A host whose
configuration hasn't been confirmed as the newest for some seconds also contacts one
host of each other zone.
"""

import logging
import threading

import msgspec

from swifttide_core.configuration import Change
from swifttide_core.membership import HostRow
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 1.0
CROSS_ZONE_AGE_SECONDS = 4.0
"""Age of the configuration from which hosts of other zones are contacted, too."""

MAX_REPORTED_AGE_SECONDS = 1e9
"""Reported age of a configuration that was never confirmed, in place of infinity."""


class Heartbeat:
    """Exchanges heartbeats with the neighbours at a fixed interval.

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
        """Start the thread that sends heartbeats."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._stop.set()

    def message(self) -> dict[str, object]:
        """Return the heartbeat message of this host."""
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
                except Exception:
                    # A malformed answer must not end the thread.
                    log.exception("the response to a heartbeat can't be decoded")

    def _exchange_heartbeat(self, row: HostRow) -> None:
        sent_at = elapsed_seconds()
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
