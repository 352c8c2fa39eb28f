"""What hosts do for each other."""

import asyncio
from collections.abc import Awaitable, Callable

from swifttide_daemon.gateway._fleet import Fleet
from swifttide_daemon.gateway._peer_client import PeerClient
from swifttide_daemon.gateway._peer_messages import (
    Done,
    GiveBackTokens,
    PeerAnswer,
    PeerRequest,
    ReadCopy,
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway._shared_store import Rows, SharedStore, Unavailable

MAX_COPIES = 3
"""Hosts that are asked for what they know; the newest copy is taken."""

COPY_SECONDS = 0.3
"""Time for a copy of a table."""

GIVE_BACK_SECONDS = 1.0
"""Time for another host to write a program's free tokens back; half a second while the
store is slow."""


class PeerService:
    """Carries out calls of other hosts, and makes those that go to several.

    Parameters
    ----------
    direct : SharedStore
        The store without a relay: a call that was relayed isn't relayed again.
    fleet : Fleet
    peers : PeerClient
    give_back : callable
        Returns a program's free tokens to its account.
    copy_of : callable
        Returns the rows of a table as this host knows them, or None.
    """

    def __init__(
        self,
        direct: SharedStore,
        fleet: Fleet,
        peers: PeerClient,
        give_back: Callable[[str], Awaitable[bool]],
        copy_of: Callable[[str], Rows | None],
    ):
        self._direct = direct
        self._fleet = fleet
        self._peers = peers
        self._give_back = give_back
        self._copy_of = copy_of

    async def answer(self, request: PeerRequest) -> PeerAnswer:
        """Carry out another host's call."""
        store = self._direct
        match request:
            case GiveBackTokens(program):
                return Done(await self._give_back(program))
            case RelayCommit(tx):
                return StoreOutcome.of(await store.commit(tx))
            case RelayRead(table, part, start, end):
                return StoreOutcome.of(await store.read(table, part, start, end))
            case RelayChanges(table, after, seconds):
                return StoreOutcome.of(await store.changes(table, after, seconds))
            case ReadCopy(table):
                found = self._copy_of(table) or Unavailable("not known here")
                return StoreOutcome.of(found)

    async def find_copy(self, table: str) -> Rows | None:
        """Return the newest of what some other hosts know of a table."""
        peers = self._fleet.alive()[:MAX_COPIES]
        calls = [self._peers.call(p, ReadCopy(table), COPY_SECONDS) for p in peers]
        answers = await asyncio.gather(*calls)
        copies = [
            found
            for answer in answers
            if isinstance(answer, StoreOutcome)
            and isinstance(found := answer.unwrap(), Rows)
        ]
        return max(copies, key=lambda rows: rows.version, default=None)

    async def ask_holders(self, ips: tuple[str, ...], program: str) -> bool:
        """Ask hosts to give a program's free tokens back; whether one did."""
        peers = [p for ip in ips if (p := self._fleet.by_ip(ip)) is not None]
        calls = [
            self._peers.call(p, GiveBackTokens(program), GIVE_BACK_SECONDS)
            for p in peers
        ]
        answers = await asyncio.gather(*calls)
        return any(isinstance(a, Done) and a.ok for a in answers)
