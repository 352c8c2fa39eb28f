"""Turns whose history the fleet keeps."""

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
"""Transcripts kept in memory; the rest is read from the store."""

MAX_TRANSCRIPT_BYTES = 900_000
"""What one transaction and one read carry."""

ROOM = 0.9
"""Part of a row that a piece of a transcript fills; the store counts other bytes
of the row too."""

RETRY_AFTER_SECONDS = 1.2
"""When to come back while the store is away. An outage lasts seconds: who comes back
sooner has used up its tries before the store is back."""


class TurnKeeper:
    """Keeps transcripts: all inputs and outputs up to the end of a turn.

    A transcript is stored whole under its turn, so that one read serves the next
    turn at any host, whichever line it branches off to.

    Parameters
    ----------
    store : RegionalStore
    row_bytes : int
        Largest value of a row.
    fleet : Fleet
    peers : PeerClient
    n_copies : int
        Other hosts that must have a turn in memory while the store is away.
    is_store_there : callable
    is_certain : callable
        Tells whether no earlier process of this host can have kept turns in memory
        that no row has.
    reaper : RowReaper
    log : EventLog

    Attributes
    ----------
    memory : TurnMemory
        Turns that can't be stored yet.
    """

    def __init__(
        self,
        store: RegionalStore,
        row_bytes: int,
        fleet: Fleet,
        peers: PeerClient,
        n_copies: int,
        is_store_there: Callable[[], bool],
        is_certain: Callable[[], bool],
        reaper: RowReaper,
        log: EventLog,
    ):
        self._store = store
        self.memory = TurnMemory(
            fleet, peers, n_copies, is_store_there, is_certain, self._store_late, log
        )
        self._reaper = reaper
        self._piece_bytes = int(row_bytes * ROOM)
        self._log = log
        self._cache: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def transcript(
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
            For how long such turns are kept.
        homes : frozenset of str or None
            Regions whose hosts may carry it.

        Raises
        ------
        Refusal
            404 when this customer has no such turn, 503 when that can't be known.
        """
        key = turn_key(customer, turn)
        known = self.in_memory(key)
        if known is not None:
            return known
        found = await self._store_for(homes).read(TABLE, key[:2], key, key + "~")
        if isinstance(found, Rows) and found.rows:
            pieces = sorted((r.key.key, r.value or b"") for r in found.rows)
            transcript = b"".join(value for _, value in pieces)
            self._remember(key, transcript)
            return transcript
        if isinstance(found, Rows) and not self.memory.may_have_it_elsewhere(
            keep_seconds
        ):
            self._log.info("turn_unknown", request_id=request_id, turn=turn)
            raise Refusal(404, "no_such_turn")
        transcript = await self.memory.ask_peers(key)
        if transcript is not None:
            self._remember(key, transcript)
            return transcript
        # Whoever kept it in memory may be out of reach: 404 could be wrong.
        detail = found.detail if isinstance(found, Unavailable) else "no row yet"
        self._log.warning(
            "turn_unread", request_id=request_id, turn=turn, detail=detail
        )
        raise Refusal(503, "store_unavailable", RETRY_AFTER_SECONDS)

    def in_memory(self, key: str) -> bytes | None:
        """Return a transcript that this host has in memory."""
        cached = self._cache.get(key)
        if cached is not None:
            self._cache.move_to_end(key)
            return cached
        return self.memory.find(key)

    async def keep(
        self,
        customer: str,
        turn: str,
        transcript: bytes,
        seconds: float,
        homes: AllowedRegions = None,
    ) -> bool:
        """Store a turn that has ended for some time; return whether it will last.

        Writing it twice changes nothing, so a write whose answer was lost is simply
        sent again.
        """
        if len(transcript) > MAX_TRANSCRIPT_BYTES:
            self._log.warning("turn_too_long", turn=turn, bytes=len(transcript))
            return False
        key = turn_key(customer, turn)
        if await self._write(key, transcript, seconds, homes):
            self._remember(key, transcript)
            return True
        if homes is not None:
            # Other hosts would keep it in memory, in whichever region they are.
            return False
        return await self.memory.keep(key, transcript, seconds)

    async def _store_late(self, key, transcript, seconds) -> bool:
        self._remember(key, transcript)
        return await self._write(key, transcript, seconds)

    def _store_for(self, homes) -> RegionalStore | HomeStore:
        return self._store if homes is None else HomeStore(self._store, homes)

    async def _write(self, key, transcript, seconds, homes=None) -> bool:
        size = self._piece_bytes
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

    def _remember(self, key, transcript):
        self._cached_bytes -= len(self._cache.pop(key, b""))
        self._cache[key] = transcript
        self._cached_bytes += len(transcript)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def turn_key(customer: str, turn: str) -> str:
    """Return the key of a turn; another customer's turn has another one."""
    text = f"{customer}\0{turn}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
