"""Loans of tokens to programs while the store is unavailable.

Decides how many tokens the turn of a program gets during an outage, from the tokens
that other hosts have free and the loans that the program got before. It serves a load
in which the store is down for all hosts for seconds while new programs continue to
arrive.

Without it, each new program would be refused until the store is back, because no host
could tell whether another host lets the same program spend its budget.

A program may generate the tokens of its budget and, in addition, those of one turn of
maximum size. Accounts in the store grant the budget. The owner of the program's slot
lends the tokens of one turn without a row in the store. Turns generate a quarter of
their maximum on average, so that these tokens suffice for some turns. When the store is
back, the loan is charged to the account. If the lender fails before that, the account
grants the whole budget all the same, and nobody lends again until it is certain that
the loan is no longer in use.

Tokens that were granted earlier move to the host that needs them. They are removed from
one host before the other receives them, so that they are never counted twice.
"""

import asyncio
import copy
from collections.abc import Awaitable, Callable

from swifttide_core.budgets import N_SLOTS, ProgramAccount, slot_of
from swifttide_daemon.gateway.budgets._budget_keeper import CollectTokens
from swifttide_daemon.gateway.peers._peer_messages import AskTokens, HandSlots, Loan
from swifttide_daemon.telemetry import EventLog

MAX_LOANS = 20_000
"""Largest number of programs with loans in memory, some 300 bytes each. Beyond it, no
loans are made to further programs. Evicting a loan would allow lending the same tokens
twice."""

CHARGE_INTERVAL_SECONDS = 0.1
"""Interval at which the lender checks whether the store is available again."""

ChargeLoan = Callable[[str, Loan], Awaitable[ProgramAccount | None]]
"""Charges a loan to the account of a program.

Takes the key of the program and the loan. Returns the account as written, or None if it
is not known to be written.
"""


class TokenLender:
    """Lends tokens to programs whose slots this host owns or has taken over.

    Parameters
    ----------
    own_slots : callable
        Returns the slots that this host owns.
    seconds_until_lending : callable
        Returns the seconds until this host may lend from its own slots; None if this
        cannot be foreseen.
    is_store_unavailable : callable
    collect : callable
        See `CollectTokens`.
    charge : callable
        See `ChargeLoan`.
    log : EventLog
    """

    def __init__(
        self,
        own_slots: Callable[[], frozenset[int]],
        seconds_until_lending: Callable[[], float | None],
        is_store_unavailable: Callable[[], bool],
        collect: CollectTokens,
        charge: ChargeLoan,
        log: EventLog,
    ):
        self._own_slots = own_slots
        self._seconds_until_lending = seconds_until_lending
        self._is_store_unavailable = is_store_unavailable
        self._collect = collect
        self._charge = charge
        self._log = log
        self._loans: dict[str, Loan] = {}
        self._locks = tuple(asyncio.Lock() for _ in range(N_SLOTS))
        # Monotonic times from which this host may lend, by slot, in seconds.
        self._taken_over_slots: dict[int, float] = {}
        self._stopped = False

    def lending_slots(self) -> frozenset[int]:
        """Return the slots whose programs this host lends to at this moment."""
        if self._stopped or not self._is_store_unavailable():
            return frozenset()
        own = self._own_slots() if self._seconds_until_lending() == 0 else frozenset()
        now = asyncio.get_running_loop().time()
        return own | {
            slot for slot, since in self._taken_over_slots.items() if now >= since
        }

    def has_uncharged_loans(self) -> bool:
        """Whether there are loans that are not charged to their accounts yet."""
        return any(loan.lent for loan in self._loans.values())

    def overdrawn_programs(self) -> tuple[str, ...]:
        """Return the keys of programs to which nothing more may be lent."""
        return tuple(k for k, loan in self._loans.items() if loan.released)

    def restore_overdrawn_programs(self, overdrawn: tuple[str, ...]) -> None:
        """Restore the overdrawn programs from the lending record of a predecessor.

        Parameters
        ----------
        overdrawn : tuple of str
            Keys of programs to which nothing may be lent.
        """
        for key in overdrawn:
            self._loans.setdefault(key, Loan(0, released=True))

    def _lock(self, key) -> asyncio.Lock:
        return self._locks[slot_of(key)]

    async def lend(self, ask: AskTokens) -> int:
        """Return tokens for a turn, from other hosts or by a loan.

        Returns
        -------
        int
            Free tokens collected from other hosts, plus a loan if they are too few. 0
            if this host does not lend to the program.
        """
        key = ask.program
        if slot_of(key) not in self.lending_slots():
            return 0
        async with self._lock(key):
            loan = self._loans.get(key)
            holders = (tuple(loan.holders) if loan else ()) or None
            tokens = await self._collect(key, holders, ask.asker)
            if slot_of(key) not in self.lending_slots():
                # The slot was handed to another host in the meantime, or the store is
                # available again.
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
        loan = self._loans[key] = Loan(ask.budget, ask.most)
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
        """Charge loans whenever the store is available, until cancelled."""
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
        if account.is_overdrawn:
            loan.released, loan.left = True, 0
        elif not loan.lent:
            # The budget holds what was lent, so that one turn may be lent again.
            del self._loans[key]

    def hand_over(self) -> HandSlots | None:
        """Stop lending, and return the slots and loans for another host.

        Returns
        -------
        HandSlots or None
            None if there is nothing to hand over.
        """
        if self._stopped or not self._is_store_unavailable():
            return None
        now = asyncio.get_running_loop().time()
        waits = {
            slot: max(0.0, since - now)
            for slot, since in self._taken_over_slots.items()
        }
        if self._seconds_until_lending() == 0:
            # Own slots are not handed over before this host may lend from them. Until
            # then its record tells its next process that nothing was lent, so that
            # process and the other host would both lend the same tokens.
            waits |= dict.fromkeys(self._own_slots(), 0.0)
        self._stopped = True
        loans = {k: v for k, v in self._loans.items() if slot_of(k) in waits}
        return HandSlots(waits, loans) if waits else None

    def take_over(self, handed: HandSlots) -> bool:
        """Take over the slots and loans of a stopping host; return whether it did."""
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
