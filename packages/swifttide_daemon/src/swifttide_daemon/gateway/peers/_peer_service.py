"""Carries out requests of other hosts, and sends requests that may need several hosts.

The requests concern tokens and loans of programs, copies of turns in memory, relayed
store calls and cached tables.
"""

import asyncio
from collections.abc import Callable

from swifttide_core.budgets import slot_of
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    AskRelease,
    AskTokens,
    Done,
    DropCopies,
    FollowTable,
    FoundTurn,
    FoundVersions,
    HandedTokens,
    HandSlots,
    KeepCopy,
    PeerAnswer,
    PeerRequest,
    ReadCopy,
    ReadStreamOrigin,
    ReadTurn,
    ReadTurnEvents,
    ReadVersions,
    RelayChanges,
    RelayCommit,
    RelayRead,
    Released,
    StoreOutcome,
    TakeTokens,
)
from swifttide_daemon.gateway.store._shared_store import Rows, SharedStore, Unavailable
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._turn_events import TurnEvents
from swifttide_daemon.gateway.turns._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

MAX_PEERS_ASKED = 3
"""Upper limit of hosts that are asked for a table copy, of which the newest is used, or
that are asked to take slots over."""

READ_COPY_TIMEOUT_SECONDS = 0.3
"""Timeout for a request for a copy of a table."""


TAKE_TOKENS_TIMEOUT_SECONDS = 0.1
"""Timeout for another host to hand over tokens from memory. It is about twenty times
the duration of a call, and a fraction of the delay that a caller tolerates."""

MAX_TOKEN_REDIRECTS = 4
"""Upper limit of rounds in which a program's tokens are followed from host to host."""

ASK_TOKENS_TIMEOUT_SECONDS = 0.3
"""Timeout for the lender of a program's slot, which itself asks other hosts first."""

HAND_SLOTS_TIMEOUT_SECONDS = 0.5
"""Timeout for another host to take slots over."""


class PeerService:
    """Carries out requests of other hosts, and sends those that may need several hosts.

    Parameters
    ----------
    direct : SharedStore
        Direct connection to the store. Relayed calls use it, so that they are not
        relayed a second time.
    fleet : Fleet
    peers : PeerClient
    budgets : callable
        Returns the `BudgetKeeper` that holds this host's tokens.
    lender : callable
        Returns the `TokenLender` that lends tokens while the store is unavailable.
    turns : callable
        Returns the `TurnKeeper`.
    origins : callable
        Returns the `StreamOrigins`.
    turn_events : callable
        Returns the `TurnEvents`.
    watch_of : callable
        Takes the name of a table; returns the `TableWatch` that follows it, or None.
    log : EventLog
    """

    def __init__(
        self,
        direct: SharedStore,
        fleet: Fleet,
        peers: PeerClient,
        budgets: Callable[[], BudgetKeeper],
        lender: Callable[[], TokenLender],
        turns: Callable[[], TurnKeeper],
        origins: Callable[[], StreamOrigins],
        turn_events: Callable[[], TurnEvents],
        watch_of: Callable[[str], TableWatch | None],
        log: EventLog,
    ):
        self._direct = direct
        self._fleet = fleet
        self._peers = peers
        self._budgets = budgets
        self._lender = lender
        self._turns = turns
        self._origins = origins
        self._turn_events = turn_events
        self._watch_of = watch_of
        self._log = log

    async def answer(self, request: PeerRequest) -> PeerAnswer:
        """Carry out another host's request and return the answer."""
        store = self._direct
        match request:
            case TakeTokens(program, asker):
                return self._budgets().withdraw(program, asker)
            case AskTokens():
                return HandedTokens(await self._lender().lend(request))
            case AskRelease():
                return Released()
            case HandSlots():
                return Done(self._lender().take_over(request))
            case KeepCopy():
                return Done(self._turns().memory.accept_copy(request))
            case DropCopies(turns):
                self._turns().memory.drop_copies(turns)
                return Done(True)
            case ReadTurn(turn):
                return FoundTurn(self._turns().in_memory(turn))
            case ReadStreamOrigin():
                return self._origins().answer(request)
            case ReadVersions(service, seconds):
                seen = await self._origins().versions_within(service, seconds)
                return FoundVersions(seen)
            case ReadTurnEvents():
                return self._turn_events().answer(request)
            case RelayCommit(tx):
                return StoreOutcome.of(await store.commit(tx))
            case RelayRead(table, part, start, end):
                return StoreOutcome.of(await store.read(table, part, start, end))
            case RelayChanges(table, after, seconds):
                return StoreOutcome.of(await store.changes(table, after, seconds))
            case ReadCopy(table):
                watch = self._watch_of(table)
                found = watch.copy() if watch else None
                found = found or Unavailable("no copy of this table on the peer")
                return StoreOutcome.of(found)
            case FollowTable(table, after, seconds):
                watch = self._watch_of(table)
                if watch is None:
                    return StoreOutcome.of(
                        Unavailable("peer does not follow this table")
                    )
                return StoreOutcome.of(await watch.changes_after(after, seconds))

    async def find_copy(self, table: str) -> Rows | None:
        """Return the newest copy of a table among some heard hosts, or None."""
        peers = self._fleet.alive()[:MAX_PEERS_ASKED]
        calls = [
            self._peers.call(p, ReadCopy(table), READ_COPY_TIMEOUT_SECONDS)
            for p in peers
        ]
        answers = await asyncio.gather(*calls)
        copies = [
            found
            for answer in answers
            if isinstance(answer, StoreOutcome)
            and isinstance(found := answer.unwrap(), Rows)
        ]
        return max(copies, key=lambda rows: rows.version, default=None)

    async def ask_lender(self, ask: AskTokens) -> int:
        """Borrow tokens from the host that lends to a program.

        Returns the number of tokens, 0 if there is no lender or no answer.
        """
        slot = slot_of(ask.program)
        lender = self._lender()
        if slot in lender.lending_slots():
            return await lender.lend(ask)
        peer = self._fleet.lender_of(slot)
        if peer is None:
            self._log.info("no_lender", program=ask.program, slot=slot)
            return 0
        match await self._peers.call(peer, ask, ASK_TOKENS_TIMEOUT_SECONDS):
            case HandedTokens(tokens):
                return max(0, tokens)
        return 0

    async def collect_tokens(
        self, program: str, ips: tuple[str, ...] | None, asker: str
    ) -> int:
        """Take a program's free tokens from other hosts; return their number.

        Tokens may have been moved to further hosts since. Those hosts are asked as
        well.

        Parameters
        ----------
        program : str
            Key of the program.
        ips : tuple of str or None
            IP addresses of the hosts to ask. None asks all heard hosts and this host.
        asker : str
            IP address of the host that takes the tokens.
        """
        asked = {asker}
        wanted = {p.ip for p in self._fleet.alive()} | {self._fleet.own.ip}
        wanted = wanted if ips is None else set(ips)
        found = 0
        for _ in range(MAX_TOKEN_REDIRECTS):
            wanted -= asked
            if not wanted:
                break
            answers = await self._take_tokens(program, wanted, asker)
            found += sum(max(0, answer.tokens) for answer in answers)
            asked |= wanted
            wanted = {answer.moved_to for answer in answers if answer.moved_to}
        return found

    async def _take_tokens(self, program, ips, asker) -> list[HandedTokens]:
        """Ask hosts for their free tokens; hosts that are not heard are left out."""
        own = self._fleet.own.ip
        found = [self._budgets().withdraw(program, asker)] if own in ips else []
        request = TakeTokens(program, asker)
        calls = [
            self._peers.call(p, request, TAKE_TOKENS_TIMEOUT_SECONDS)
            for p in self._fleet.alive()
            if p.ip in ips
        ]
        answers = await asyncio.gather(*calls)
        return found + [a for a in answers if isinstance(a, HandedTokens)]

    async def hand_slots(self, handed: HandSlots) -> bool:
        """Hand lending for this host's slots to another host.

        Returns whether a host has taken them over. If a host does not answer, no
        further host is asked: the silent host may have taken the slots over, and two
        hosts could then lend to the same program.
        """
        for peer in self._fleet.alive()[:MAX_PEERS_ASKED]:
            match await self._peers.call(peer, handed, HAND_SLOTS_TIMEOUT_SECONDS):
                case Done(ok=False):
                    continue
                case answer:
                    return answer is not None
        return False
