"""Reservation of tokens for turns from the budgets of programs.

Decides whether a turn of a program may start, from the tokens that this host holds for
the program, the tokens of other hosts, and the account of the program in the shared
store. Hosts acquire tokens from the account in advance, so that most turns need no
access to the store, and return them to it when a program has been idle for a while. A
host that is lost then takes few tokens with it. While the store is unavailable, missing
tokens are borrowed from the host that owns the program's slot.
"""

import asyncio
from collections.abc import Awaitable, Callable

from swifttide_core.budgets import (
    Exhausted,
    Granted,
    IdlePrograms,
    ProgramAccount,
    TurnSizeEstimate,
    grant_tokens,
)
from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.budgets._program_accounts import (
    OUTAGE_RETRY_AFTER_SECONDS,
    ProgramAccounts,
    StoreUnavailable,
)
from swifttide_daemon.gateway.budgets._reservation import (
    LocalProgramBudget,
    Reservation,
)
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._peer_messages import AskTokens, HandedTokens, Loan
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import SharedStore
from swifttide_daemon.telemetry import EventLog

MAX_GRANT_ATTEMPTS = 6
"""Attempts to acquire or charge tokens. Each conflict means that another host wrote the
account in the meantime."""

MAX_PROGRAMS = 20_000
"""Number of programs whose token pools are kept in memory, some 500 bytes each."""

ACCOUNT_READ_TIMEOUT_SECONDS = 0.08
"""Timeout of the read that checks whether a program has an account. Requests have to be
refused within 0.1 s."""

RETURN_INTERVAL_SECONDS = 0.25
"""Interval at which the tokens of idle programs are returned."""

MAX_PARALLEL_RETURNS = 8
"""Number of accounts to which a host that stops returns tokens at the same time."""

BUSY_RETRY_AFTER_SECONDS = 0.3
"""Delay before a retry while other turns of the program hold its tokens. A turn takes
some 300 ms."""


CollectTokens = Callable[[str, tuple[str, ...] | None, str], Awaitable[int]]
"""Collects the free tokens of a program from other hosts.

Takes the key of the program, the addresses of the hosts to ask (None for all hosts) and
the address of the host that asks. Returns the number of tokens that were handed over.
"""


class BudgetKeeper:
    """Reserves tokens for turns, and takes back the unused ones.

    Parameters
    ----------
    store : SharedStore
    host : str
        Address of this host, used by other hosts to request its tokens.
    collect : callable
        See `CollectTokens`.
    ask_lender : callable
        Requests tokens from the host that lends to the program while the store is
        unavailable. Returns the number of tokens.
    reaper : RowReaper
        Removes the rows of accounts after their retention time.
    log : EventLog
    is_store_available : callable
        Tokens are returned to accounts only then. In an outage programs go on with
        those that they have.
    """

    def __init__(
        self,
        store: SharedStore,
        host: str,
        collect: CollectTokens,
        ask_lender: Callable[[AskTokens], Awaitable[int]],
        reaper: RowReaper,
        log: EventLog,
        is_store_available: Callable[[], bool] = lambda: True,
    ):
        self._accounts = ProgramAccounts(store, reaper, log)
        self._host = host
        self._collect = collect
        self._ask_lender = ask_lender
        self._is_store_available = is_store_available
        self._log = log
        self._programs: dict[str, LocalProgramBudget] = {}
        self._idle = IdlePrograms()
        self._reserving: set[asyncio.Task] = set()
        self._turn_size_estimate = TurnSizeEstimate()

    async def reserve(
        self,
        request_id: str,
        customer: str,
        program: str,
        budget: int,
        max_turn_tokens: int,
    ) -> Reservation:
        """Reserve the tokens that a turn may generate.

        Parameters
        ----------
        request_id : str
        customer : str
        program : str
        budget : int
            Tokens that all turns of the program may generate.
        max_turn_tokens : int
            Tokens that this turn may generate.

        Returns
        -------
        Reservation
            Partial only if the store is unavailable.

        Raises
        ------
        Refusal
            With status 402 if the remaining budget is too small for the turn, and with
            status 503 if this cannot be determined now.
        """
        key = program_key(customer, program)
        known = self._get_or_add_program(key)
        self._idle.touch(key, asyncio.get_running_loop().time())
        if not known.lock.locked() and known.pool.reserve(max_turn_tokens):
            return Reservation(known, max_turn_tokens)
        # Completed even if the caller leaves, because tokens that were granted or
        # collected meanwhile would be lost otherwise.
        task = asyncio.create_task(
            self._reserve_locked(request_id, key, known, budget, max_turn_tokens)
        )
        self._reserving.add(task)
        task.add_done_callback(self._reserving.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._release_unused)
            raise

    def _release_unused(self, task):
        """Release what a turn has reserved whose caller has left in the meantime."""
        if not task.cancelled() and task.exception() is None:
            self.settle(task.result(), 0)

    async def _reserve_locked(
        self, request_id, key, known, budget, max_turn_tokens
    ) -> Reservation:
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
        """Reserve tokens while the store is unavailable, with a loan if necessary.

        Less than the maximum of a turn is reserved, so that the available tokens
        suffice for more turns: what few turns exceed, or else what is left, if turns
        usually need no more.
        """
        need = self._turn_size_estimate.reservation_size(max_turn_tokens)
        if known.pool.free < need:
            ask = AskTokens(key, budget, need, max_turn_tokens, self._host)
            known.pool.add(await self._ask_lender(ask))
            usual = self._turn_size_estimate.usual_size(max_turn_tokens)
            need = min(need, max(usual, known.pool.free))
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
            known = self._programs[key] = LocalProgramBudget(key)
            self._evict_oldest()
        return known

    def has_served(self, customer: str, program: str) -> bool:
        """Whether this host has served turns of a program or read its account."""
        return program_key(customer, program) in self._programs

    async def has_account(self, customer: str, program: str) -> bool:
        """Whether any host has served turns of a program, according to the store.

        A host that started later, or that receives the first turn of the program, can
        learn this only from the row of the account. Returns False as well if the store
        does not answer within `ACCOUNT_READ_TIMEOUT_SECONDS`.
        """
        key = program_key(customer, program)
        found = LocalProgramBudget(key)
        try:
            async with asyncio.timeout(ACCOUNT_READ_TIMEOUT_SECONDS):
                await self._accounts.read(found)
        except (TimeoutError, Refusal):
            return False
        if found.account is None:
            return False
        self._get_or_add_program(key)
        return True

    def settle(self, reservation: Reservation, generated: int) -> None:
        """Take back the tokens of a reservation that the turn did not generate."""
        if generated:
            self._turn_size_estimate.update(generated)
        reservation.program.pool.settle(reservation.tokens, generated)
        self._idle.touch(reservation.program.key, asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Return the tokens of idle programs to their accounts, until cancelled."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL_SECONDS)
            if self._is_store_available():
                now = asyncio.get_running_loop().time()
                for key in self._idle.pop_idle(now):
                    await self._return_tokens(key)

    async def return_all_tokens(self) -> None:
        """Return all free tokens of this host to the accounts of their programs."""
        keys = iter([k for k, known in self._programs.items() if known.pool.free > 0])

        async def return_tokens():
            for key in keys:
                await self._return_tokens(key)

        await asyncio.gather(*(return_tokens() for _ in range(MAX_PARALLEL_RETURNS)))

    async def _return_tokens(self, key):
        """Return the free tokens of a program to its account."""
        known = self._programs.get(key)
        if known is None or known.pool.free <= 0:
            return
        async with known.lock:
            try:
                if known.account is None:
                    await self._accounts.read(known)
                for _ in range(MAX_GRANT_ATTEMPTS):
                    if known.pool.reserved or await self._try_to_return(known):
                        return
            except Refusal as exc:
                self._log.info("tokens_kept", program=key, reason=exc.reason)
            if known.pool.free > 0:
                # Tried again after another while without a turn.
                self._idle.touch(key, asyncio.get_running_loop().time())

    async def _try_to_return(self, known) -> bool:
        """Return free tokens of a program; False if its account has changed.

        Raises
        ------
        Refusal
            If the account can't be written. Tokens count as spent where it may have
            been written, because they may be granted again.
        """
        account, pool = known.account, known.pool
        # Lent tokens that aren't charged yet are in no account.
        tokens = 0 if account is None else pool.withdraw(account.granted)
        if not tokens:
            return True
        rest = account.with_tokens_returned(tokens, self._host, known.moved_to)
        try:
            written = await self._accounts.write(known, rest)
        except Refusal as exc:
            if not (isinstance(exc, StoreUnavailable) and exc.may_have_applied):
                pool.add(tokens)
            raise
        if not written:
            pool.add(tokens)
            return False
        self._log.debug(
            "tokens_returned",
            program=known.key,
            tokens=tokens,
            granted=rest.granted,
            budget=rest.budget,
            version=known.version,
        )
        return True

    def withdraw(self, key: str, asker: str) -> HandedTokens:
        """Remove the free tokens of a program from this host, for the host `asker`."""
        known = self._programs.get(key)
        if known is None:
            return HandedTokens(0)
        moved_to, known.moved_to = known.moved_to, asker
        return HandedTokens(known.pool.withdraw(), moved_to)

    async def charge(self, key: str, loan: Loan) -> ProgramAccount | None:
        """Charge lent tokens to the account of a program.

        Returns
        -------
        ProgramAccount or None
            The account as written; None if it is unknown whether the write took effect.
            The caller then charges the loan again. At worst it is charged twice, which
            leaves the program fewer tokens, never more.
        """
        # The cached state of the program is not used, because it would have to be
        # locked, and the holder of its lock may be waiting for the caller (a deadlock).
        known = LocalProgramBudget(key)
        for _ in range(MAX_GRANT_ATTEMPTS):
            try:
                if not await self._accounts.read(known):
                    return None
                account = known.account or ProgramAccount(loan.budget)
                account = account.with_loans_charged(loan.lent, tuple(loan.holders))
                if await self._accounts.write(known, account):
                    return account
            except Refusal:
                return None
        return None

    async def _acquire_tokens(self, request_id, key, known, budget, max_turn_tokens):
        """Acquire tokens for a turn from other hosts, or else from the account."""
        asked: tuple[str, ...] = ()
        for _ in range(MAX_GRANT_ATTEMPTS):
            account = known.account or ProgramAccount(budget)
            holders = {*account.holders, known.moved_to} - {self._host, ""}
            others = tuple(sorted(holders))
            if others != asked:
                # A program that moved to this host left tokens at the previous hosts.
                # Collecting them needs no write, and without them the program could
                # be refused although its budget is not spent.
                asked = others
                known.pool.add(await self._collect(key, others, self._host))
                if known.pool.free >= max_turn_tokens:
                    return
            missing = max_turn_tokens - known.pool.free
            match grant_tokens(account, self._host, missing, max_turn_tokens):
                case Granted(tokens, taken):
                    if await self._accounts.write(known, taken):
                        known.pool.add(tokens)
                        self._log_grant(request_id, known, tokens)
                        if known.pool.free >= max_turn_tokens:
                            return
                        # Another host has withdrawn free tokens in the meantime.
                case Exhausted():
                    before = known.version
                    if not await self._accounts.read(known):
                        raise StoreUnavailable(
                            503, "store_unavailable", OUTAGE_RETRY_AFTER_SECONDS
                        )
                    if known.version != before:
                        continue
                    # Hosts that passed tokens on and are lost can't tell to whom.
                    known.pool.add(await self._collect(key, None, self._host))
                    if known.pool.free >= max_turn_tokens:
                        return
                    self._refuse_spent(request_id, known, account)
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

    def _refuse_spent(self, request_id, known, account):
        self._log.info(
            "budget_spent",
            request_id=request_id,
            granted=account.granted,
            budget=account.budget,
            version=known.version,
        )
        raise Refusal(402, "budget_spent")

    def _evict_oldest(self):
        """Remove the oldest programs to bound the memory.

        The free tokens of their pools are lost: the accounts count them as granted.
        """
        while len(self._programs) > MAX_PROGRAMS:
            del self._programs[next(iter(self._programs))]
