"""Token budgets of programs, granted through the shared store."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import replace

from swifttide_core.budgets import (
    Exhausted,
    Granted,
    ProgramAccount,
    ReleaseVerdict,
    TurnSizeEstimate,
    grant_tokens,
)
from swifttide_daemon.gateway.budgets._account_rows import (
    TABLE,
    account_row_key,
    decode_account,
    encode_account,
    program_key,
)
from swifttide_daemon.gateway.budgets._reservation import (
    LocalProgramBudget,
    Reservation,
)
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._peer_messages import AskTokens, HandedTokens, Loan
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Conflict,
    Put,
    Rows,
    SharedStore,
    StoredRow,
    Transaction,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

MAX_GRANT_ATTEMPTS = 6
"""Transactions for one grant; each conflict means that another host went ahead."""

MAX_PROGRAMS = 20_000
"""Programs whose pools are kept, some 500 bytes each."""

ACCOUNT_READ_TIMEOUT_SECONDS = 0.08
"""Longest wait to learn whether a program has an account: refusals are to be told in
a tenth of a second."""

ACCOUNT_RETENTION_SECONDS = 7_200.0
"""How long an account is kept after its last change. Its tokens move between hosts
without a write, and a program that was stopped may come back."""

OUTAGE_RETRY_AFTER_SECONDS = 1.2
"""When to come back while the store is away. An outage lasts seconds: who comes back
sooner has used up its tries before the store is back."""

BUSY_RETRY_AFTER_SECONDS = 0.3
"""When to come back while other turns of the program hold its tokens; one takes some
300 ms."""


CollectTokens = Callable[[str, tuple[str, ...] | None, str], Awaitable[int]]
"""Takes a program's key, the hosts to ask (None: all) and the one that asks; returns
the tokens that they handed over."""


class StoreUnavailable(Refusal):
    """The account can't be read or written now."""


class BudgetKeeper:
    """Reserves and settles the tokens of turns.

    Parameters
    ----------
    store : SharedStore
    host : str
        Address of this host, under which others ask for its tokens.
    collect : callable
        See `Collect`.
    ask_lender : callable
        Finds tokens while the store is away; returns how many.
    ask_release : callable
        Takes a program's key and budget, and asks the owner of its slot to lend
        nothing to it; returns a `ReleaseVerdict`.
    reaper : RowReaper
    log : EventLog
    """

    def __init__(
        self,
        store: SharedStore,
        host: str,
        collect: CollectTokens,
        ask_lender: Callable[[AskTokens], Awaitable[int]],
        ask_release: Callable[[str, int], Awaitable[ReleaseVerdict]],
        reaper: RowReaper,
        log: EventLog,
    ):
        self._store = store
        self._host = host
        self._collect = collect
        self._ask_lender = ask_lender
        self._ask_release = ask_release
        self._reaper = reaper
        self._log = log
        self._programs: dict[str, LocalProgramBudget] = {}
        self._turn_size_estimate = TurnSizeEstimate()

    async def reserve(
        self,
        request_id: str,
        customer: str,
        program: str,
        budget: int,
        max_turn_tokens: int,
    ) -> Reservation:
        """Set aside the most that a turn may generate.

        Raises
        ------
        Refusal
            402 when the budget doesn't hold the turn, 503 when that can't be known.
        """
        key = program_key(customer, program)
        known = self._get_or_add_program(key)
        async with known.lock:
            if known.pool.reserve(max_turn_tokens):
                return Reservation(known, max_turn_tokens)
            try:
                await self._acquire_tokens(
                    request_id, key, known, budget, max_turn_tokens
                )
            except StoreUnavailable:
                return await self._reserve_in_outage(
                    request_id, key, known, budget, max_turn_tokens
                )
            if not known.pool.reserve(max_turn_tokens):
                raise Refusal(503, "budget_contended", OUTAGE_RETRY_AFTER_SECONDS)
        return Reservation(known, max_turn_tokens)

    async def _reserve_in_outage(
        self, request_id, key, known, budget, max_turn_tokens
    ) -> Reservation:
        """Reserve tokens while the store is away: what is free here, or a loan.

        Only what a turn usually generates is set aside, so that the tokens at hand
        carry more turns.
        """
        need = self._turn_size_estimate.reservation_size(max_turn_tokens)
        if known.pool.free < need:
            ask = AskTokens(key, budget, need, max_turn_tokens, self._host)
            known.pool.add(await self._ask_lender(ask))
        if not known.pool.reserve(need):
            self._log.info(
                "no_tokens_in_outage",
                request_id=request_id,
                program=key,
                need=need,
                free=known.pool.free,
                reserved=known.pool.reserved,
            )
            wait = (
                BUSY_RETRY_AFTER_SECONDS
                if known.pool.reserved
                else OUTAGE_RETRY_AFTER_SECONDS
            )
            raise StoreUnavailable(503, "store_unavailable", wait)
        return Reservation(known, need, need < max_turn_tokens)

    def _get_or_add_program(self, key) -> LocalProgramBudget:
        known = self._programs.get(key)
        if known is None:
            known = self._programs[key] = LocalProgramBudget()
            self._evict_oldest()
        return known

    def has_served(self, customer: str, program: str) -> bool:
        """Whether turns of a program have been served here."""
        return program_key(customer, program) in self._programs

    async def has_account(self, customer: str, program: str) -> bool:
        """Whether turns of a program have been served by any host.

        Hosts that have started since, or that the program reaches for the first time,
        know it only from its row. False also where the store doesn't say in time.
        """
        key = program_key(customer, program)
        found = LocalProgramBudget()
        try:
            async with asyncio.timeout(ACCOUNT_READ_TIMEOUT_SECONDS):
                await self._read_account(key, found)
        except TimeoutError:
            return False
        if found.account is None:
            return False
        self._get_or_add_program(key)
        return True

    def settle(self, reservation: Reservation, generated: int) -> None:
        """Return what a turn didn't generate."""
        if generated:
            self._turn_size_estimate.update(generated)
        reservation.program.pool.settle(reservation.tokens, generated)

    def withdraw(self, key: str, asker: str) -> HandedTokens:
        """Take out this host's free tokens of a program, for another host."""
        known = self._programs.get(key)
        if known is None:
            return HandedTokens(0)
        moved_to, known.moved_to = known.moved_to, asker
        return HandedTokens(known.pool.withdraw(), moved_to)

    async def charge(self, key: str, loan: Loan) -> ProgramAccount | None:
        """Charge tokens that were lent to an account.

        Returns
        -------
        ProgramAccount or None
            The account as written; None when that isn't known. Charged once more
            then, the program has less than it might: never more.
        """
        # Not what is known here: whoever holds its lock may be asking the caller.
        known = LocalProgramBudget()
        for _ in range(MAX_GRANT_ATTEMPTS):
            if not await self._read_account(key, known):
                return None
            account = known.account or ProgramAccount(loan.budget, held=loan.held)
            account = account.with_loans_charged(loan.lent, tuple(loan.holders))
            try:
                if await self._write_account(key, known, account):
                    return account
            except StoreUnavailable:
                return None
        return None

    async def _acquire_tokens(self, request_id, key, known, budget, max_turn_tokens):
        """Get a turn's tokens: from hosts that hold some, else from the account."""
        asked: tuple[str, ...] = ()
        for _ in range(MAX_GRANT_ATTEMPTS):
            account = known.account or ProgramAccount.open(budget, max_turn_tokens)
            holders = {*account.holders, known.moved_to} - {self._host, ""}
            others = tuple(sorted(holders))
            if others != asked:
                # A program that has moved left its tokens where it was: taken from
                # there they cost no write, and a program in good order isn't stopped.
                asked = others
                known.pool.add(await self._collect(key, others, self._host))
                if known.pool.free >= max_turn_tokens:
                    return
            missing = max_turn_tokens - known.pool.free
            match grant_tokens(account, self._host, missing, max_turn_tokens):
                case Granted(tokens, taken):
                    if await self._write_account(key, known, taken):
                        known.pool.add(tokens)
                        self._log_grant(request_id, known, tokens)
                        if known.pool.free >= max_turn_tokens:
                            return
                        # Another host has taken what was free here meanwhile.
                case Exhausted():
                    before = known.version
                    if not await self._read_account(key, known):
                        raise StoreUnavailable(
                            503, "store_unavailable", OUTAGE_RETRY_AFTER_SECONDS
                        )
                    if known.version == before:
                        await self._release_reserve(request_id, key, known, account)
        raise Refusal(503, "budget_contended", OUTAGE_RETRY_AFTER_SECONDS)

    def _log_grant(self, request_id, known, tokens):
        self._log.debug(
            "budget_granted",
            request_id=request_id,
            tokens=tokens,
            granted=known.account.granted,
            budget=known.account.budget,
            version=known.version,
        )

    async def _release_reserve(self, request_id, key, known, account):
        """Make what is held back grantable; raises `Refusal`, 402 if it is spent.

        Where nobody can say that it wasn't lent, it is charged as if it had been: the
        row then tells the truth for good.
        """
        if not account.has_reserve:
            self._log.info(
                "budget_spent",
                request_id=request_id,
                granted=account.granted,
                budget=account.budget,
                version=known.version,
            )
            raise Refusal(402, "budget_spent")
        match await self._ask_release(key, account.budget):
            case ReleaseVerdict.RELEASED:
                known.account = replace(account, released=True)
            case ReleaseVerdict.DOUBTFUL:
                self._log.warning(
                    "held_back_charged",
                    request_id=request_id,
                    program=key,
                    tokens=account.held,
                    granted=account.granted,
                )
                await self._write_account(key, known, account.with_reserve_charged())
            case ReleaseVerdict.LATER:
                self._log.info("budget_held_back", request_id=request_id, program=key)
                raise Refusal(503, "budget_held_back", BUSY_RETRY_AFTER_SECONDS)

    async def _write_account(self, key, known, account) -> bool:
        """Write an account under the version known; return whether it took effect.

        On a conflict the account that stands there is taken in. Raises `StoreAway`
        when the store gives no answer.
        """
        mark = uuid.uuid4().hex[:16]
        place = account_row_key(key)
        tx = Transaction(
            conditions=(Condition(place, known.version),),
            puts=(Put(place, encode_account(account, mark)),),
        )
        match await self._store.commit(tx):
            case Applied(version, _):
                known.account, known.version = account, version
                self._reaper.remove_after(place, version, ACCOUNT_RETENTION_SECONDS)
                return True
            case Conflict(rows):
                return self._apply_stored_account(known, rows, mark)
            case Unavailable():
                # It may take effect later still. Then the version has moved on, and
                # the next transaction of this host conflicts and reads the account.
                raise StoreUnavailable(
                    503, "store_unavailable", OUTAGE_RETRY_AFTER_SECONDS
                )

    async def _read_account(self, key, known) -> bool:
        place = account_row_key(key)
        match await self._store.read(TABLE, place.part, key, key + "\0"):
            case Rows(rows):
                self._apply_stored_account(known, rows, "")
                return True
            case Unavailable():
                return False

    def _apply_stored_account(
        self, known, rows: tuple[StoredRow, ...], mark: str
    ) -> bool:
        """Take in the account that stands in the store; return whether it is ours."""
        found = next((r for r in rows if r.value is not None), None)
        if found is None:
            known.account, known.version = None, 0
            return False
        known.account, found_mark = decode_account(found.value)
        known.version = found.version
        return bool(mark) and found_mark == mark

    def _evict_oldest(self):
        """Keep the memory bounded; tokens of forgotten pools stay spent."""
        while len(self._programs) > MAX_PROGRAMS:
            del self._programs[next(iter(self._programs))]
