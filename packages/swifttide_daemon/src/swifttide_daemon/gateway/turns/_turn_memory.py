"""Holds turns in the memory of several hosts while the store is unreachable.

The store may be unreachable for seconds while programs continue. Without this module,
the response to each turn would be aborted at its end because its row can't be written,
and no program of several turns would survive an outage.

If the settings ask for copies, a turn counts as saved once that many other hosts hold
it in memory; hosts of other zones are asked first. After the outage it is stored by the
host that served it or by one that holds a copy. It is lost if all of these hosts lose
power before. Copies are therefore disabled by default: a turn whose response was
complete must survive the loss of all hosts.

A host that finds no row of a turn may report it as unknown only if it hears every host
and none has had an outage of the store within the retention period of turns. Otherwise
the turn may still be held in memory somewhere.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    Done,
    DropCopies,
    FoundTurn,
    KeepCopy,
    ReadTurn,
)
from swifttide_daemon.telemetry import EventLog

MIN_OUTAGE_SECONDS = 0.8
"""Time without the store after which a host holds turns in memory. It is the time of
four beacons (periodic status messages), so that all hosts that hear it know of the
outage."""

MAX_UNSTORED_BYTES = 16_777_216
"""Size of all transcripts that wait for the store, own ones and copies. A turn usually
has two to ten KB."""

PEER_CALL_TIMEOUT_SECONDS = 0.25
"""Time-out of calls that make another host take, drop or look up a copy."""

FLUSH_INTERVAL_SECONDS = 0.1
"""Interval of checks whether the store is reachable again."""

ORPHAN_DELAY_SECONDS = 1.5
"""Delay after an outage before a host stores copies whose origin, the host that served
the turn, no longer runs. It takes that long until the origin's silence proves this."""

MAX_CONCURRENT_WRITES = 8
"""Turns that one host writes concurrently. Eleven hosts then stay below the write rate
that the store accepts."""


@dataclass(frozen=True, slots=True)
class _UnstoredTurn:
    """A turn that isn't stored yet.

    Parameters
    ----------
    transcript : bytes
    keep_seconds : float
        Retention period of its rows.
    expires_at : float
        Time of the event loop, in seconds, after which it is dropped.
    origin : str
        Address of the host that served it.
    origin_boot : str
        Id of the process that served it.
    """

    transcript: bytes
    keep_seconds: float
    expires_at: float
    origin: str
    origin_boot: str


class TurnMemory:
    """Holds turns until they can be stored, and replicates them to other hosts.

    Parameters
    ----------
    fleet : Fleet
        The other hosts, as their beacons tell.
    peers : PeerClient
        Calls to other hosts.
    n_copies : int
        Number of other hosts that must hold a turn in memory; 0 disables holding turns
        in memory.
    is_store_reachable : callable
        Returns whether this host reaches the store.
    no_prior_unstored_turns : callable
        Returns whether it is certain that no earlier process of this host held turns
        in memory that were never stored.
    store : callable
        Takes a turn's key, its transcript and its retention period in seconds; returns
        whether it was stored.
    log : EventLog
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        n_copies: int,
        is_store_reachable: Callable[[], bool],
        no_prior_unstored_turns: Callable[[], bool],
        store: Callable[[str, bytes, float], Awaitable[bool]],
        log: EventLog,
    ):
        self._fleet = fleet
        self._peers = peers
        self._n_copies = n_copies
        self._is_store_reachable = is_store_reachable
        self._no_prior_unstored_turns = no_prior_unstored_turns
        self._store = store
        self._log = log
        self._unstored: dict[str, _UnstoredTurn] = {}
        self._unstored_bytes = 0
        self._outage_started_at: float | None = None
        self._last_outage_at: float | None = None
        self._store_restored_at = float("-inf")

    def __len__(self) -> int:
        return len(self._unstored)

    def find(self, key: str) -> bytes | None:
        """Return a transcript that waits here for the store; None if there is none."""
        turn = self._unstored.get(key)
        return turn.transcript if turn else None

    def may_be_held_in_memory(self, keep_seconds: float) -> bool:
        """Return whether a turn without a row may be held in some host's memory.

        Parameters
        ----------
        keep_seconds : float
            Retention period of turns; earlier outages don't matter.
        """
        away = self.seconds_since_outage()
        if away is not None and away < keep_seconds:
            return True
        return self._fleet.any_store_outage_within(keep_seconds)

    def seconds_since_outage(self) -> float | None:
        """Return the seconds since this host last lacked the store.

        0 while an earlier process may have held unstored turns; None if there has been
        no outage since this process started.
        """
        if not self._no_prior_unstored_turns():
            return 0.0
        if self._last_outage_at is None:
            return None
        return asyncio.get_running_loop().time() - self._last_outage_at

    async def fetch_from_peers(self, key: str) -> bytes | None:
        """Return a transcript from another host's memory; None if no host has it."""
        peers = self._fleet.alive()
        calls = [
            self._peers.call(p, ReadTurn(key), PEER_CALL_TIMEOUT_SECONDS) for p in peers
        ]
        for answer in await asyncio.gather(*calls):
            match answer:
                case FoundTurn(bytes() as transcript):
                    return transcript
        return None

    def _is_outage_known_to_peers(self) -> bool:
        """Return whether the outage has lasted long enough for peers to know of it."""
        if self._outage_started_at is None:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._outage_started_at >= MIN_OUTAGE_SECONDS

    async def replicate(self, key: str, transcript: bytes, seconds: float) -> bool:
        """Hold a turn here and at other hosts; return whether enough of them hold it.

        Parameters
        ----------
        key : str
        transcript : bytes
        seconds : float
            Retention period.
        """
        if not self._n_copies or not self._is_outage_known_to_peers():
            return False
        own = self._fleet.own
        copy = KeepCopy(key, transcript, seconds, own.ip, own.boot)
        if self._fleet.is_partitioned() or not self.accept_copy(copy):
            return False
        n_wanted = min(self._n_copies, max(1, len(self._fleet.all())))
        n_kept = await self._send_copies(copy, n_wanted)
        self._log.info("turn_kept_in_memory", turn=key, copies=n_kept)
        return n_kept >= n_wanted

    async def _send_copies(self, copy, n_wanted) -> int:
        """Send a copy to hosts until enough hold it; return how many do."""
        n_kept = 0
        peers = self._fleet.peers_other_zones_first()
        while peers and n_kept < n_wanted:
            n_missing = n_wanted - n_kept
            asked, peers = peers[:n_missing], peers[n_missing:]
            calls = [
                self._peers.call(p, copy, PEER_CALL_TIMEOUT_SECONDS) for p in asked
            ]
            answers = await asyncio.gather(*calls)
            n_kept += sum(isinstance(a, Done) and a.ok for a in answers)
        return n_kept

    def accept_copy(self, copy: KeepCopy) -> bool:
        """Hold a turn until it can be stored; return whether this host holds it."""
        if not self._is_outage_known_to_peers():
            return False
        size = len(copy.transcript)
        if copy.turn in self._unstored:
            return True
        if self._unstored_bytes + size > MAX_UNSTORED_BYTES:
            self._log.warning("no_room_for_copy", turn=copy.turn, bytes=size)
            return False
        self._unstored_bytes += size
        self._unstored[copy.turn] = _UnstoredTurn(
            copy.transcript,
            copy.seconds,
            asyncio.get_running_loop().time() + copy.seconds,
            copy.origin,
            copy.origin_boot,
        )
        return True

    def drop_copies(self, turns: list[str]) -> None:
        """Drop turns that another host has stored, or that have expired."""
        for key in turns:
            turn = self._unstored.pop(key, None)
            if turn is not None:
                self._unstored_bytes -= len(turn.transcript)

    async def run(self) -> None:
        """Store the held turns whenever the store is reachable; never returns."""
        loop = asyncio.get_running_loop()
        while True:
            self._track_store(loop.time())
            if self._outage_started_at is None and self._unstored:
                await self._flush()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)

    def _track_store(self, now):
        if not self._is_store_reachable():
            self._last_outage_at = now
            if self._outage_started_at is None:
                self._outage_started_at = now
        elif self._outage_started_at is not None:
            self._outage_started_at = None
            self._store_restored_at = now

    async def _flush(self):
        now = asyncio.get_running_loop().time()
        self.drop_copies([k for k, w in self._unstored.items() if w.expires_at <= now])
        due = [k for k, w in self._unstored.items() if self._is_due(w, now)]
        stored: list[str] = []
        for i in range(0, len(due), MAX_CONCURRENT_WRITES):
            keys = due[i : i + MAX_CONCURRENT_WRITES]
            writes = [self._store_turn(key) for key in keys]
            outcomes = await asyncio.gather(*writes)
            stored += [k for k, done in zip(keys, outcomes, strict=True) if done]
        if not stored:
            return
        self.drop_copies(stored)
        self._log.info("turns_stored_late", count=len(stored), waiting=len(due))
        calls = [
            self._peers.call(p, DropCopies(stored), PEER_CALL_TIMEOUT_SECONDS)
            for p in self._fleet.alive()
        ]
        await asyncio.gather(*calls)

    def _is_due(self, turn, now) -> bool:
        own = self._fleet.own
        if (turn.origin, turn.origin_boot) == (own.ip, own.boot):
            return True
        if now - self._store_restored_at < ORPHAN_DELAY_SECONDS:
            return False
        return not self._fleet.is_same_process_heard(turn.origin, turn.origin_boot)

    async def _store_turn(self, key) -> bool:
        turn = self._unstored.get(key)
        if turn is None:
            return False
        return await self._store(key, turn.transcript, turn.keep_seconds)

    async def hand_over(self) -> None:
        """Send all held turns to other hosts, before this host stops."""
        send = functools.partial(self._send_copies, n_wanted=max(1, self._n_copies))
        copies = [
            KeepCopy(key, w.transcript, w.keep_seconds, w.origin, w.origin_boot)
            for key, w in self._unstored.items()
        ]
        await asyncio.gather(*(send(copy) for copy in copies))
        if copies:
            self._log.info("copies_handed_over", count=len(copies))
