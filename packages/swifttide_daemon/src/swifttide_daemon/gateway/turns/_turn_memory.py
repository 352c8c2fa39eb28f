"""Turns that wait in the memory of several hosts while the store is away.

Load pattern: the store is away for seconds while programs go on.

Without it: each turn's answer breaks off at its end, as its row can't be written, and
no program of several turns comes through an outage.

Grounds: where the settings ask for copies, a turn counts as kept once so many other
hosts have it in memory, of other zones first. It is stored when the store is back, by
this host or by one that has a copy; if all of them lose power before, it is lost. Hence
no copies unless they are asked for: a turn that was answered must outlive all hosts. A
host that finds no row says that there is no such turn only if every host is heard and
none has been without the store for as long as turns are kept; else the turn may wait in
a memory.
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

AWAY_SECONDS = 0.8
"""A host keeps turns in memory only when it has been without the store for so long:
four beacons, by which all that hear it know."""

MAX_COPY_BYTES = 16_777_216
"""Transcripts that wait for the store, own ones and copies; a turn of today's sizes has
two to ten KB."""

COPY_SECONDS = 0.25
"""Time for another host to take a copy, or to look for a turn."""

FLUSH_PAUSE_SECONDS = 0.1
"""Between looks whether the store is back."""

ORPHAN_SECONDS = 1.5
"""After the store's return, until copies whose origin is gone are stored by the hosts
that have them: silence must tell that it is gone."""

FLUSH_AT_ONCE = 8
"""Turns that one host writes at the same time; eleven hosts then stay below what the
store takes."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A turn that isn't stored yet."""

    transcript: bytes
    seconds: float
    until: float
    origin: str
    origin_boot: str


class TurnMemory:
    """Keeps turns until they can be stored, and lets other hosts keep them.

    Parameters
    ----------
    fleet : Fleet
    peers : PeerClient
    n_copies : int
        Other hosts that must have a turn in memory; 0: none is kept there.
    is_store_there : callable
    is_certain : callable
        Tells whether no earlier process of this host can have kept turns in memory
        that no row has.
    store : callable
        Takes a turn's key, its transcript and for how long it is kept; returns whether
        it is stored.
    log : EventLog
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        n_copies: int,
        is_store_there: Callable[[], bool],
        is_certain: Callable[[], bool],
        store: Callable[[str, bytes, float], Awaitable[bool]],
        log: EventLog,
    ):
        self._fleet = fleet
        self._peers = peers
        self._n_copies = n_copies
        self._is_store_there = is_store_there
        self._is_certain = is_certain
        self._store = store
        self._log = log
        self._waiting: dict[str, _Waiting] = {}
        self._waiting_bytes = 0
        self._away_since: float | None = None
        self._away_at: float | None = None
        self._back_at = float("-inf")

    def __len__(self) -> int:
        return len(self._waiting)

    def find(self, key: str) -> bytes | None:
        """Return a transcript that waits here."""
        waiting = self._waiting.get(key)
        return waiting.transcript if waiting else None

    def may_have_it_elsewhere(self, keep_seconds: float) -> bool:
        """Whether a turn without a row may wait for the store in some memory."""
        away = self.away_seconds()
        if away is not None and away < keep_seconds:
            return True
        return self._fleet.any_store_outage_within(keep_seconds)

    def away_seconds(self) -> float | None:
        """Return since when this host has had the store, None if ever since."""
        if not self._is_certain():
            return 0.0
        if self._away_at is None:
            return None
        return asyncio.get_running_loop().time() - self._away_at

    async def ask_peers(self, key: str) -> bytes | None:
        """Return a transcript that another host has in memory."""
        peers = self._fleet.alive()
        calls = [self._peers.call(p, ReadTurn(key), COPY_SECONDS) for p in peers]
        for answer in await asyncio.gather(*calls):
            match answer:
                case FoundTurn(bytes() as transcript):
                    return transcript
        return None

    def _is_long_away(self) -> bool:
        """Whether the other hosts know that this one is without the store."""
        if self._away_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._away_since >= AWAY_SECONDS

    async def keep(self, key: str, transcript: bytes, seconds: float) -> bool:
        """Keep a turn here and at other hosts; return whether enough do."""
        if not self._n_copies or not self._is_long_away():
            return False
        own = self._fleet.own
        copy = KeepCopy(key, transcript, seconds, own.ip, own.boot)
        if self._fleet.is_partitioned() or not self.keep_copy(copy):
            return False
        n_wanted = min(self._n_copies, max(1, len(self._fleet.all())))
        n_kept = await self._place(copy, n_wanted)
        self._log.info("turn_kept_in_memory", turn=key, copies=n_kept)
        return n_kept >= n_wanted

    async def _place(self, copy, n_wanted) -> int:
        """Give copies to hosts until enough have taken one; return how many have."""
        n_kept = 0
        peers = self._fleet.peers_other_zones_first()
        while peers and n_kept < n_wanted:
            n_missing = n_wanted - n_kept
            asked, peers = peers[:n_missing], peers[n_missing:]
            calls = [self._peers.call(p, copy, COPY_SECONDS) for p in asked]
            answers = await asyncio.gather(*calls)
            n_kept += sum(isinstance(a, Done) and a.ok for a in answers)
        return n_kept

    def keep_copy(self, copy: KeepCopy) -> bool:
        """Keep a turn until the store is back; return whether this host does."""
        if not self._is_long_away():
            return False
        size = len(copy.transcript)
        if copy.turn in self._waiting:
            return True
        if self._waiting_bytes + size > MAX_COPY_BYTES:
            self._log.warning("no_room_for_copy", turn=copy.turn, bytes=size)
            return False
        self._waiting_bytes += size
        self._waiting[copy.turn] = _Waiting(
            copy.transcript,
            copy.seconds,
            asyncio.get_running_loop().time() + copy.seconds,
            copy.origin,
            copy.origin_boot,
        )
        return True

    def drop_copies(self, turns: list[str]) -> None:
        """Forget turns that are stored."""
        for key in turns:
            waiting = self._waiting.pop(key, None)
            if waiting is not None:
                self._waiting_bytes -= len(waiting.transcript)

    async def run(self) -> None:
        """Store what waits whenever the store is back."""
        loop = asyncio.get_running_loop()
        while True:
            self._note_store(loop.time())
            if self._away_since is None and self._waiting:
                await self._flush()
            await asyncio.sleep(FLUSH_PAUSE_SECONDS)

    def _note_store(self, now):
        if not self._is_store_there():
            self._away_at = now
            if self._away_since is None:
                self._away_since = now
        elif self._away_since is not None:
            self._away_since = None
            self._back_at = now

    async def _flush(self):
        now = asyncio.get_running_loop().time()
        self.drop_copies([k for k, w in self._waiting.items() if w.until <= now])
        due = [k for k, w in self._waiting.items() if self._is_due(w, now)]
        stored: list[str] = []
        for i in range(0, len(due), FLUSH_AT_ONCE):
            keys = due[i : i + FLUSH_AT_ONCE]
            writes = [self._store_waiting(key) for key in keys]
            outcomes = await asyncio.gather(*writes)
            stored += [k for k, done in zip(keys, outcomes, strict=True) if done]
        if not stored:
            return
        self.drop_copies(stored)
        self._log.info("turns_stored_late", count=len(stored), waiting=len(due))
        calls = [
            self._peers.call(p, DropCopies(stored), COPY_SECONDS)
            for p in self._fleet.alive()
        ]
        await asyncio.gather(*calls)

    def _is_due(self, waiting, now) -> bool:
        own = self._fleet.own
        if (waiting.origin, waiting.origin_boot) == (own.ip, own.boot):
            return True
        if now - self._back_at < ORPHAN_SECONDS:
            return False
        return not self._fleet.is_same_process_heard(
            waiting.origin, waiting.origin_boot
        )

    async def _store_waiting(self, key) -> bool:
        waiting = self._waiting.get(key)
        if waiting is None:
            return False
        return await self._store(key, waiting.transcript, waiting.seconds)

    async def hand_over(self) -> None:
        """Give other hosts what waits here, as this one stops."""
        place = functools.partial(self._place, n_wanted=max(1, self._n_copies))
        copies = [
            KeepCopy(key, w.transcript, w.seconds, w.origin, w.origin_boot)
            for key, w in self._waiting.items()
        ]
        await asyncio.gather(*(place(copy) for copy in copies))
        if copies:
            self._log.info("copies_handed_over", count=len(copies))
