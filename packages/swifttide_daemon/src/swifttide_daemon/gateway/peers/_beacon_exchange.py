"""Composes this host's beacons and distributes the contents of received beacons."""

import itertools

from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.peers._beacon import Beacon
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_daemon.gateway.targets._scheduler_server import SchedulerServer
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.gateway.turns._turn_memory import TurnMemory

MAX_STRIKES_PER_BEACON = 8
"""Upper limit of crash reports in one beacon. Each takes about 100 bytes, and the
datagram has to fit into one packet."""

MAX_COMPLETIONS_PER_BEACON = 8
"""Upper limit of requests whose completed runs are in one beacon, at 40 bytes each."""


class BeaconExchange:
    """Collects the contents of beacons from this host's components, and vice versa.

    Received beacons are passed on to the components that use their parts.

    Parameters
    ----------
    own : Peer
    store : RelayedStore
    health : TargetHealth
    strikes : StrikeKeeper
    config_watch : TableWatch
    targets_watch : TableWatch
    memory : TurnMemory
    lender : TokenLender
    scheduler : SchedulerServer
    """

    def __init__(
        self,
        own: Peer,
        store: RelayedStore,
        health: TargetHealth,
        strikes: StrikeKeeper,
        config_watch: TableWatch,
        targets_watch: TableWatch,
        memory: TurnMemory,
        lender: TokenLender,
        scheduler: SchedulerServer,
    ):
        self._own = own
        self._store = store
        self._health = health
        self._strikes = strikes
        self._config_watch = config_watch
        self._targets_watch = targets_watch
        self._memory = memory
        self._lender = lender
        self._scheduler = scheduler
        self._boots: dict[str, str] = {}

    def compose_beacon(self, number: int, pause_seconds: float) -> Beacon:
        """Return this host's beacon.

        Parameters
        ----------
        number : int
            Sequence number of the beacon round.
        pause_seconds : float
            Time until the recipients of this beacon get the next one.
        """
        own = self._own
        return Beacon(
            ip=own.ip,
            port=own.port,
            zone=own.zone,
            boot=own.boot,
            number=number,
            store_up=self._store.is_known_up,
            store_full=self._store.is_throttled,
            away_seconds=self._memory.seconds_since_outage(),
            config_change=self._config_watch.newest_change,
            target_change=self._targets_watch.newest_change,
            outstanding=self._health.own_counts(),
            strikes=self._strikes.strikes_to_broadcast()[:MAX_STRIKES_PER_BEACON],
            lending=sorted(self._lender.lending_slots()),
            pause_seconds=pause_seconds,
            cores=own.cores,
            standing_strikes=self._strikes.standing_strikes(MAX_STRIKES_PER_BEACON),
            completions=self._completions(),
        )

    def handle_beacon(self, beacon: Beacon) -> None:
        """Pass the parts of another host's beacon on to the components.

        The fleet's record of heard hosts is updated by the receiver of the datagram.
        """
        self._health.update_remote_counts(
            beacon.ip, beacon.outstanding, beacon.pause_seconds
        )
        self._scheduler.reconcile_counts(beacon.ip, beacon.outstanding)
        if self._boots.get(beacon.ip) != beacon.boot:
            self._boots[beacon.ip] = beacon.boot
            self._strikes.welcome()
        self._strikes.add_remote_strikes(beacon.strikes)
        self._strikes.add_standing_strikes(beacon.standing_strikes)
        self._strikes.add_remote_completions(beacon.completions)
        self._config_watch.on_peer_change(beacon.config_change)
        self._targets_watch.on_peer_change(beacon.target_change)

    def _completions(self) -> dict[str, float]:
        found = self._strikes.completions_to_broadcast()
        return dict(itertools.islice(found.items(), MAX_COMPLETIONS_PER_BEACON))
