"""Stores and reads the transcripts of turns.

A transcript is written to the rows of the store when its turn ends. While the store is
unreachable, it may be held in the memory of several hosts instead (`TurnMemory`).
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

from swifttide_core.forwarding import AllowedRegions
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.store._home_store import HomeStore, RegionalStore
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Put,
    RowKey,
    Rows,
    Transaction,
    Unavailable,
)
from swifttide_daemon.gateway.turns._turn_memory import TurnMemory
from swifttide_daemon.telemetry import EventLog

TABLE = "turns"

MAX_CACHE_BYTES = 16_777_216
"""Size of the cache of transcripts that are in the store; others are read from
there."""

MAX_TRANSCRIPT_BYTES = 900_000
"""Largest transcript; it has to fit into one transaction and one read."""

ROW_FILL_FRACTION = 0.9
"""Fraction of the largest row value that a chunk of a transcript fills. The store
counts other bytes of the row too."""

STORE_RETRY_AFTER_SECONDS = 1.2
"""Retry delay sent to the caller while the store is unreachable. An outage lasts
seconds; callers that retry sooner use up their attempts before it ends."""


class TurnKeeper:
    """Stores transcripts: all inputs and outputs up to the end of a turn.

    The complete transcript is stored under each turn, so that one read suffices for
    the next turn, at any host and in any branch that continues from it.

    Parameters
    ----------
    store : RegionalStore
    row_bytes : int
        Size of the largest value of a row.
    fleet : Fleet
        The other hosts, as their beacons (periodic status messages) tell.
    peers : PeerClient
        Calls to other hosts.
    n_copies : int
        Number of other hosts that must hold a turn in memory while the store is
        unreachable; 0 disables this.
    is_store_reachable : callable
        Returns whether this host reaches the store.
    no_prior_unstored_turns : callable
        Returns whether it is certain that no earlier process of this host held turns
        in memory that were never stored.
    reaper : RowReaper
        Removes rows once they have expired.
    log : EventLog

    Attributes
    ----------
    memory : TurnMemory
        Turns that couldn't be stored yet.
    """

    def __init__(
        self,
        store: RegionalStore,
        row_bytes: int,
        fleet: Fleet,
        peers: PeerClient,
        n_copies: int,
        is_store_reachable: Callable[[], bool],
        no_prior_unstored_turns: Callable[[], bool],
        reaper: RowReaper,
        log: EventLog,
    ):
        self._store = store
        self.memory = TurnMemory(
            fleet,
            peers,
            n_copies,
            is_store_reachable,
            no_prior_unstored_turns,
            self._store_after_outage,
            log,
        )
        self._reaper = reaper
        self._chunk_bytes = int(row_bytes * ROW_FILL_FRACTION)
        self._log = log
        self._cache: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def read_transcript(
        self,
        request_id: str,
        customer: str,
        turn: str,
        keep_seconds: float,
        homes: AllowedRegions = None,
    ) -> bytes:
        """Return the transcript up to the end of a turn.

        Parameters
        ----------
        request_id, customer, turn : str
        keep_seconds : float
            Retention period of the route's turns. An outage within it may have left
            the turn in some host's memory only.
        homes : frozenset of str or None
            Regions in which the transcript may be stored; None for any.

        Raises
        ------
        Refusal
            404 if this customer has no such turn, 503 if that can't be determined.
        """
        key = turn_key(customer, turn)
        known = self.in_memory(key)
        if known is not None:
            return known
        found = await self._store_for(homes).read(TABLE, key[:2], key, key + "~")
        if isinstance(found, Rows) and any(r.value is None for r in found.rows):
            # A transcript without one of its pieces would change the history.
            self._log.warning("turn_unreadable", request_id=request_id, turn=turn)
            raise Refusal(503, "turn_unreadable", STORE_RETRY_AFTER_SECONDS)
        if isinstance(found, Rows) and found.rows:
            pieces = sorted((r.key.key, r.value) for r in found.rows)
            transcript = b"".join(value for _, value in pieces)
            self._cache_transcript(key, transcript)
            return transcript
        if isinstance(found, Rows) and not self.memory.may_be_held_in_memory(
            keep_seconds
        ):
            self._log.info("turn_unknown", request_id=request_id, turn=turn)
            raise Refusal(404, "no_such_turn")
        transcript = await self.memory.fetch_from_peers(key)
        if transcript is not None:
            self._cache_transcript(key, transcript)
            return transcript
        # A host that holds the turn in memory may be unreachable, so 404 could be
        # wrong.
        detail = (
            found.detail
            if isinstance(found, Unavailable)
            else "the store has no row of the turn"
        )
        self._log.warning(
            "turn_unread", request_id=request_id, turn=turn, detail=detail
        )
        raise Refusal(503, "store_unavailable", STORE_RETRY_AFTER_SECONDS)

    def in_memory(self, key: str) -> bytes | None:
        """Return a transcript from this host's memory; None if it isn't there."""
        cached = self._cache.get(key)
        if cached is not None:
            self._cache.move_to_end(key)
            return cached
        return self.memory.find(key)

    async def save(
        self,
        customer: str,
        turn: str,
        transcript: bytes,
        seconds: float,
        homes: AllowedRegions = None,
    ) -> bool:
        """Store a turn that has ended; return whether it is safely kept.

        It counts as safe when it is in the store or, during an outage, when enough
        hosts hold it in memory. Writing a turn twice changes nothing, so a write whose
        answer was lost can be repeated.

        Parameters
        ----------
        customer, turn : str
        transcript : bytes
        seconds : float
            Retention period.
        homes : frozenset of str or None
            Regions in which the transcript may be stored; None for any.
        """
        if len(transcript) > MAX_TRANSCRIPT_BYTES:
            self._log.warning("turn_too_long", turn=turn, bytes=len(transcript))
            return False
        key = turn_key(customer, turn)
        if await self._write(key, transcript, seconds, homes):
            self._cache_transcript(key, transcript)
            return True
        if homes is not None:
            # The copies could be held by hosts of regions that aren't allowed.
            return False
        return await self.memory.replicate(key, transcript, seconds)

    async def _store_after_outage(self, key, transcript, seconds) -> bool:
        self._cache_transcript(key, transcript)
        return await self._write(key, transcript, seconds)

    def _store_for(self, homes) -> RegionalStore | HomeStore:
        return self._store if homes is None else HomeStore(self._store, homes)

    async def _write(self, key, transcript, seconds, homes=None) -> bool:
        size = self._chunk_bytes
        pieces = [transcript[i : i + size] for i in range(0, len(transcript), size)]
        puts = tuple(
            Put(RowKey(TABLE, key[:2], f"{key}.{i:03}"), piece)
            for i, piece in enumerate(pieces or [b""])
        )
        match await self._store_for(homes).commit(Transaction(puts=puts)):
            case Applied(version):
                for put in puts:
                    self._reaper.remove_after(put.key, version, seconds)
                return True
            case _:
                return False

    def _cache_transcript(self, key, transcript):
        self._cached_bytes -= len(self._cache.pop(key, b""))
        self._cache[key] = transcript
        self._cached_bytes += len(transcript)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def turn_key(customer: str, turn: str) -> str:
    """Return the store's key of a turn; turns of two customers never share one."""
    text = f"{customer}\0{turn}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
