"""What hosts do for each other."""

import asyncio
from collections.abc import Callable

from swifttide_core.budgets import ReleaseVerdict, slot_of
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
    HandedTokens,
    HandSlots,
    KeepCopy,
    PeerAnswer,
    PeerRequest,
    ReadCopy,
    ReadTurn,
    RelayChanges,
    RelayCommit,
    RelayRead,
    Released,
    StoreOutcome,
    TakeTokens,
)
from swifttide_daemon.gateway.store._shared_store import Rows, SharedStore, Unavailable
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_daemon.gateway.turns._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

MAX_PEERS_ASKED = 3
"""Hosts that are asked for what they know; the newest copy is taken."""

READ_COPY_TIMEOUT_SECONDS = 0.3
"""Time for a copy of a table."""


TAKE_TOKENS_TIMEOUT_SECONDS = 0.1
"""Time for another host to hand tokens over from memory: some twenty times what a call
takes, a part of what a turn's caller bears."""

MAX_TOKEN_REDIRECTS = 4
"""Hosts in a row that are asked where a program's tokens have gone."""

ASK_TOKENS_TIMEOUT_SECONDS = 0.3
"""Time for the lender of a program's slot, which asks other hosts first."""

RELEASE_TIMEOUT_SECONDS = 0.5
"""Time for the owner of a slot, which writes a row first: 13 ms while the store is
well."""

OWNER_LOST_SECONDS = 2.0
"""An owner that wasn't heard for so long may not come back: ten beacons."""

HAND_SLOTS_TIMEOUT_SECONDS = 0.5
"""Time for another host to take slots over."""


class PeerService:
    """Carries out calls of other hosts, and makes those that go to several.

    Parameters
    ----------
    direct : SharedStore
        The store without a relay: a call that was relayed isn't relayed again.
    fleet : Fleet
    peers : PeerClient
    budgets : callable
        Returns the keeper of this host's tokens.
    lender : callable
        Returns what lends tokens while the store is away.
    turns : callable
        Returns the keeper of turns.
    owner_of : callable
        Returns the IP of the host that owns a slot, None where there is none.
    watch_of : callable
        Returns what follows a table here, or None.
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
        owner_of: Callable[[int], str | None],
        watch_of: Callable[[str], TableWatch | None],
        log: EventLog,
    ):
        self._direct = direct
        self._fleet = fleet
        self._peers = peers
        self._budgets = budgets
        self._lender = lender
        self._turns = turns
        self._owner_of = owner_of
        self._watch_of = watch_of
        self._log = log

    async def answer(self, request: PeerRequest) -> PeerAnswer:
        """Carry out another host's call."""
        store = self._direct
        match request:
            case TakeTokens(program, asker):
                return self._budgets().withdraw(program, asker)
            case AskTokens():
                return HandedTokens(await self._lender().lend(request))
            case AskRelease(program, budget):
                return Released(await self._lender().release(program, budget))
            case HandSlots():
                return Done(self._lender().take_over(request))
            case KeepCopy():
                return Done(self._turns().memory.keep_copy(request))
            case DropCopies(turns):
                self._turns().memory.drop_copies(turns)
                return Done(True)
            case ReadTurn(turn):
                return FoundTurn(self._turns().in_memory(turn))
            case RelayCommit(tx):
                return StoreOutcome.of(await store.commit(tx))
            case RelayRead(table, part, start, end):
                return StoreOutcome.of(await store.read(table, part, start, end))
            case RelayChanges(table, after, seconds):
                return StoreOutcome.of(await store.changes(table, after, seconds))
            case ReadCopy(table):
                watch = self._watch_of(table)
                found = watch.copy() if watch else None
                found = found or Unavailable("not known here")
                return StoreOutcome.of(found)
            case FollowTable(table, after, seconds):
                watch = self._watch_of(table)
                if watch is None:
                    return StoreOutcome.of(Unavailable("not followed here"))
                return StoreOutcome.of(await watch.changes_after(after, seconds))

    async def find_copy(self, table: str) -> Rows | None:
        """Return the newest of what some other hosts know of a table."""
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
        """Ask the host that lends to a program for tokens."""
        slot = slot_of(ask.program)
        lender = self._lender()
        if slot in lender.slots():
            return await lender.lend(ask)
        peer = self._fleet.lender_of(slot)
        if peer is None:
            self._log.info("no_lender", program=ask.program, slot=slot)
            return 0
        match await self._peers.call(peer, ask, ASK_TOKENS_TIMEOUT_SECONDS):
            case HandedTokens(tokens):
                return max(0, tokens)
        return 0

    async def ask_release(self, program: str, budget: int) -> ReleaseVerdict:
        """Ask the owner of a program's slot to lend nothing to it any more."""
        ip = self._owner_of(slot_of(program))
        if ip is None:
            # Free, as in a fleet that has just started: somebody takes it soon.
            return ReleaseVerdict.LATER
        if ip == self._fleet.own.ip:
            return await self._lender().release(program, budget)
        peer = self._fleet.by_ip(ip)
        if peer is not None:
            ask = AskRelease(program, budget)
            match await self._peers.call(peer, ask, RELEASE_TIMEOUT_SECONDS):
                case Released(verdict):
                    return verdict
        if self._fleet.seconds_since_heard(ip) >= OWNER_LOST_SECONDS:
            return ReleaseVerdict.DOUBTFUL
        return ReleaseVerdict.LATER

    async def collect_tokens(
        self, program: str, ips: tuple[str, ...] | None, asker: str
    ) -> int:
        """Take a program's free tokens from hosts; from all that are heard if None.

        They may have moved on from there; whoever took them is asked as well.
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
        """Ask hosts for their tokens; those that aren't heard are left out."""
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
        """Have another host lend from this host's slots; return whether one does.

        A host that doesn't answer may lend from now on: to ask another one then could
        have two lend to the same program.
        """
        for peer in self._fleet.alive()[:MAX_PEERS_ASKED]:
            match await self._peers.call(peer, handed, HAND_SLOTS_TIMEOUT_SECONDS):
                case Done(ok=False):
                    continue
                case answer:
                    return answer is not None
        return False
