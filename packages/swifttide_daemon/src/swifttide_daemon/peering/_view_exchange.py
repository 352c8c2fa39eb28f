"""Exchange of zone views between hosts while the platform is unavailable.

A host reads zones from the platform. If the platform becomes unavailable while slots
move, some hosts have read the rows before the move and others after it. Those with the
older view would name a wrong holder, or none, until the platform is back.

Load: while the last request to the platform has failed, each host sends one small
request per `EXCHANGE_INTERVAL_SECONDS` to `N_OWN_ZONE_PEERS` hosts of its zone and to
one host of each other zone. A view is sent only if it is newer.
"""

import logging
import threading

import msgspec

from swifttide_core.membership import HostRow
from swifttide_daemon.membership import MembershipService, ZoneView
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

EXCHANGE_INTERVAL_SECONDS = 0.5
N_OWN_ZONE_PEERS = 2
ANSWER_TIMEOUT_SECONDS = 0.8


class ViewExchange:
    """Asks peers for newer views of all zones, on a thread of its own.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    """

    def __init__(self, membership: MembershipService, peers: PeerClient) -> None:
        self.membership = membership
        self.peers = peers
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def exchange(self) -> None:
        """Ask some hosts of each zone for newer views and adopt them."""
        membership = self.membership
        rows = membership.random_hosts_of_own_zone(N_OWN_ZONE_PEERS)
        for row in rows + membership.random_hosts_of_other_zones():
            try:
                self._ask(row)
            except Exception:
                # A malformed answer must not end the thread.
                log.exception("exchange of views failed", extra={"peer": row.host})

    def _ask(self, row: HostRow) -> None:
        answer = self.peers.call(
            row.peer_url,
            "POST",
            "/peer/v1/views",
            self.membership.known_heads(),
            read_seconds=ANSWER_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            return
        views = msgspec.convert(answer.ok, dict[str, ZoneView])
        adopted = self.membership.adopt_views(views)
        if adopted:
            log.info("adopted views", extra={"peer": row.host, "zones": adopted})

    def _run(self) -> None:
        while not self._stop.wait(EXCHANGE_INTERVAL_SECONDS):
            if self.membership.platform.failing:
                self.exchange()
