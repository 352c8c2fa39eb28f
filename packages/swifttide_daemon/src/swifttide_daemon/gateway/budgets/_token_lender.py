"""Lending tokens to programs while the store is away.

Load pattern: the store is down for all hosts for seconds, and new programs arrive all
the while.

Without it: each new program is refused until the store is back, as no host can tell
whether another one lets the same program spend its budget.

Grounds: a program may generate its budget and the most of one turn. Rows grant the
budget but for what is held back of large ones; that and the one turn more are what the
owner of the program's slot lends without a row. Turns generate a quarter of their most
on average, so that this carries most programs to their end. When the store is back the
loan is charged to the account: a program exceeds its budget only if its lender died
before.
Tokens granted earlier move to the host that needs them: they leave one host before they
reach the other.
"""

import asyncio
import copy
from collections.abc import Awaitable, Callable

from swifttide_core.budgets import (
    N_SLOTS,
    ProgramAccount,
    ReleaseVerdict,
    outage_reserve,
    slot_of,
)
from swifttide_daemon.gateway.budgets._budget_keeper import CollectTokens
from swifttide_daemon.gateway.peers._peer_messages import AskTokens, HandSlots, Loan
from swifttide_daemon.telemetry import EventLog

MAX_LOANS = 20_000
"""Programs whose loans are remembered, some 300 bytes each; beyond, none are made. One
that was forgotten could be made twice."""

CHARGE_INTERVAL_SECONDS = 0.1
"""Between looks whether the store is back."""

ChargeLoan = Callable[[str, Loan], Awaitable[ProgramAccount | None]]
"""Takes a program's key and what was lent to it; returns the account as written, None
when it wasn't."""


class TokenLender:
    """Lends tokens to the programs of this host's slots.

    Parameters
    ----------
    own_slots : callable
        Returns the slots that this host owns.
    lends_in : callable
        Returns the seconds until no predecessor of this host can have lent as well;
        None if that isn't foreseen.
    is_in_doubt : callable
        Tells whether a predecessor of this host may have lent, and nobody knows.
    is_store_away : callable
    collect : callable
        See `Collect`.
    charge : callable
        See `Charge`.
    record : callable
        Writes this host's record, which names the released programs; returns whether
        it stands.
    log : EventLog
    """

    def __init__(
        self,
        own_slots: Callable[[], frozenset[int]],
        seconds_until_lending: Callable[[], float | None],
        may_have_unknown_loans: Callable[[], bool],
        is_store_unavailable: Callable[[], bool],
        collect: CollectTokens,
        charge: ChargeLoan,
        write_record: Callable[[], Awaitable[bool]],
        log: EventLog,
    ):
        self._own_slots = own_slots
        self._seconds_until_lending = seconds_until_lending
        self._may_have_unknown_loans = may_have_unknown_loans
        self._is_store_unavailable = is_store_unavailable
        self._collect = collect
        self._charge = charge
        self._write_record = write_record
        self._log = log
        self._loans: dict[str, Loan] = {}
        self._locks = tuple(asyncio.Lock() for _ in range(N_SLOTS))
        self._taken_over_slots: dict[int, float] = {}
        self._stopped = False

    def lending_slots(self) -> frozenset[int]:
        """Return the slots from which this host lends now."""
        if self._stopped or not self._is_store_unavailable():
            return frozenset()
        own = self._own_slots() if self._seconds_until_lending() == 0 else frozenset()
        now = asyncio.get_running_loop().time()
        return own | {
            slot for slot, since in self._taken_over_slots.items() if now >= since
        }

    def has_uncharged_loans(self) -> bool:
        """Whether something was lent that isn't charged to its account yet."""
        return any(loan.lent for loan in self._loans.values())

    def released_programs(self) -> tuple[str, ...]:
        """Return the programs to which nothing may be lent."""
        return tuple(k for k, loan in self._loans.items() if loan.released)

    def restore_released_programs(self, released: tuple[str, ...]) -> None:
        """Take over from a predecessor to which programs nothing may be lent."""
        for key in released:
            self._loans.setdefault(key, Loan(0, released=True))

    async def release(self, key: str, budget: int) -> ReleaseVerdict:
        """Lend nothing to a program any more; return whether that is sure."""
        async with self._lock(key):
            if self._stopped or slot_of(key) not in self._own_slots():
                # Looked up under the lock: given up meanwhile, the slot's next owner
                # would lend to the program without knowing of this.
                return ReleaseVerdict.LATER
            if self._may_have_unknown_loans():
                return ReleaseVerdict.DOUBTFUL
            if self._seconds_until_lending() is None:
                return ReleaseVerdict.LATER
            loan = self._loans.get(key)
            if loan is not None and loan.lent:
                # Until that is charged the account doesn't know of it.
                return ReleaseVerdict.LATER
            if loan is None:
                loan = self._loans[key] = Loan(budget)
            # Before it is written: whatever becomes of that, nothing is lent.
            loan.released, loan.left = True, 0
            stands = await self._write_record()
        return ReleaseVerdict.RELEASED if stands else ReleaseVerdict.LATER

    def _lock(self, key) -> asyncio.Lock:
        return self._locks[slot_of(key)]

    async def lend(self, ask: AskTokens) -> int:
        """Return tokens for a turn: those that other hosts have free, or a loan."""
        key = ask.program
        if slot_of(key) not in self.lending_slots():
            return 0
        async with self._lock(key):
            loan = self._loans.get(key)
            holders = (tuple(loan.holders) if loan else ()) or None
            tokens = await self._collect(key, holders, ask.asker)
            if slot_of(key) not in self.lending_slots():
                # Handed to another host meanwhile, or the store is back.
                return tokens
            if loan is None:
                loan = self._open_loan(key, ask)
            if loan is not None:
                tokens += self._lend_more(key, loan, ask, tokens)
        return tokens

    def _open_loan(self, key, ask) -> Loan | None:
        if len(self._loans) >= MAX_LOANS:
            self._log.warning("too_many_loans", program=key)
            return None
        held = outage_reserve(ask.budget, ask.most)
        loan = self._loans[key] = Loan(ask.budget, held, held + ask.most)
        return loan

    def _lend_more(self, key, loan, ask, found_tokens) -> int:
        loan.holders = sorted({*loan.holders, ask.asker})
        if found_tokens >= ask.need:
            return 0
        tokens = min(loan.left, max(ask.need, ask.most))
        loan.left -= tokens
        loan.lent += tokens
        self._log.info(
            "tokens_lent", program=key, tokens=tokens, left=loan.left, to=ask.asker
        )
        return tokens

    async def run(self) -> None:
        """Charge loans to their accounts whenever the store is back."""
        while True:
            await asyncio.sleep(CHARGE_INTERVAL_SECONDS)
            if self._is_store_unavailable():
                continue
            self._taken_over_slots.clear()
            for key in list(self._loans):
                async with self._lock(key):
                    if key in self._loans:
                        await self._charge_loan(key, self._loans[key])

    async def _charge_loan(self, key, loan):
        if loan.released:
            return
        if not loan.lent:
            del self._loans[key]
            return
        tokens = loan.lent
        account = await self._charge(key, copy.copy(loan))
        if account is None:
            return
        loan.lent -= tokens
        self._log.info(
            "loan_charged", program=key, tokens=tokens, granted=account.granted
        )
        if account.released:
            loan.released, loan.left = True, 0
        elif not loan.lent:
            # What is held back is whole again.
            del self._loans[key]

    def hand_over(self) -> HandSlots | None:
        """Stop lending; return what another host needs to go on, None if nothing."""
        if self._stopped or not self._is_store_unavailable():
            return None
        now = asyncio.get_running_loop().time()
        waits = {
            slot: max(0.0, since - now)
            for slot, since in self._taken_over_slots.items()
        }
        if self._seconds_until_lending() == 0:
            # Not sooner: this host's record would still tell its next process that
            # nothing can have been lent.
            waits |= dict.fromkeys(self._own_slots(), 0.0)
        self._stopped = True
        loans = {k: v for k, v in self._loans.items() if slot_of(k) in waits}
        return HandSlots(waits, loans) if waits else None

    def take_over(self, handed: HandSlots) -> bool:
        """Go on for a host that stops; return whether this host does."""
        if self._stopped or not self._is_store_unavailable():
            return False
        now = asyncio.get_running_loop().time()
        self._loans.update(handed.loans)
        self._taken_over_slots |= {
            slot: now + wait for slot, wait in handed.waits.items()
        }
        self._log.info(
            "slots_taken_over", slots=sorted(handed.waits), loans=len(handed.loans)
        )
        return True
