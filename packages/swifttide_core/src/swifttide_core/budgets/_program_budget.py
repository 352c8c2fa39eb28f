"""Budget of a root program and all its sub-agents.

Load pattern: programs whose graph nobody knows ahead of time start sub-agents in
parallel, loop without end, and lose the answers of calls that ran.

Without it: parallel turns each see the whole rest and overspend it together; a
turn whose answer was lost is never counted; a program in a loop holds its
customer's share and its targets' memory for good.

Grounds: the maximum is reserved before a turn is dispatched, so that used plus
reserved never exceeds the limit whatever the answers say; an unknown outcome
keeps its reservation. Turns, calls and time bound loops that use few tokens.
"""

from collections.abc import Mapping

from swifttide_core.budgets._budget_answers import (
    BudgetLimit,
    BudgetRefused,
    Reserved,
)
from swifttide_core.budgets._budget_limits import BudgetLimits
from swifttide_core.budgets._reservation import Reservation


class ProgramBudget:
    """Account of one root program, kept where its slot is held.

    Parameters
    ----------
    limits : BudgetLimits
        Of the root's profile; a sub-agent's own profile grants nothing more.
    started_at : float
        Monotonic seconds of the root's first turn.
    """

    def __init__(self, limits, started_at):
        self.limits = limits
        self.started_at = started_at
        self.used_tokens = 0
        self.n_turns = 0
        self.n_calls = 0
        self._reservations = {}

    @classmethod
    def from_config(cls, profile, now: float) -> "ProgramBudget":
        """Open the account of a program that starts."""
        return cls(BudgetLimits.from_config(profile), now)

    @classmethod
    def from_row(
        cls, limits: BudgetLimits, value: Mapping, now: float
    ) -> "ProgramBudget":
        """Open an account that another host has kept.

        Parameters
        ----------
        limits : BudgetLimits
            Of the root's profile.
        value : mapping
            From ``to_row``.
        now : float
            Monotonic seconds.

        Notes
        -----
        What was in flight at the former holder has an unknown outcome here.
        """
        budget = cls(limits, now - float(value["age_seconds"]))
        budget.used_tokens = int(value["used_tokens"])
        budget.n_turns = int(value["n_turns"])
        budget.n_calls = int(value["n_calls"])
        budget._reservations = {
            call_id: Reservation(int(tokens), True)
            for call_id, tokens in value["reserved"].items()
        }
        return budget

    def to_row(self, now: float) -> dict:
        """Return what the program's row keeps of the account."""
        return {
            "age_seconds": now - self.started_at,
            "used_tokens": self.used_tokens,
            "n_turns": self.n_turns,
            "n_calls": self.n_calls,
            "reserved": {c: r.tokens for c, r in self._reservations.items()},
        }

    @property
    def reserved_tokens(self) -> int:
        """Tokens held for turns in flight or of unknown outcome."""
        return sum(r.tokens for r in self._reservations.values())

    def set_limits(self, limits: BudgetLimits) -> None:
        """Put an edited profile in force; what is reserved stays reserved."""
        self.limits = limits

    def reserve_turn(
        self, now: float, call_id: str, tokens: int
    ) -> Reserved | BudgetRefused:
        """Reserve the maximum of a chat turn before it is dispatched.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        call_id : str
            Of this turn, whichever sub-agent takes it; the same id again is the
            same reservation.
        tokens : int
            Prompt tokens plus the most that the engine may generate.

        Returns
        -------
        Reserved or BudgetRefused
        """
        known = self._reservations.get(call_id)
        if known is not None:
            return Reserved(known.tokens)
        if tokens < 0:
            raise ValueError(f"got tokens={tokens}, expected at least 0")
        refused = self._check_time(now) or self._check_turns()
        refused = refused or self._check_tokens(tokens)
        if refused is not None:
            return refused
        self._reservations[call_id] = Reservation(tokens)
        self.n_turns += 1
        return Reserved(tokens)

    def reserve_call(self, now: float) -> Reserved | BudgetRefused:
        """Count a call of a plain service before it is dispatched."""
        refused = self._check_time(now) or self._check_calls()
        if refused is not None:
            return refused
        self.n_calls += 1
        return Reserved(0)

    def settle(self, call_id: str, used_tokens: int) -> None:
        """Replace a reservation by what was used; a second time changes nothing.

        A call that is settled with more than was reserved is counted whole.
        """
        reservation = self._reservations.pop(call_id, None)
        if reservation is not None:
            self.used_tokens += max(0, used_tokens)

    def not_run(self, call_id: str) -> None:
        """Take back the reservation of a turn that has certainly not run."""
        if self._reservations.pop(call_id, None) is not None:
            self.n_turns -= 1

    def lose(self, call_id: str) -> None:
        """Keep the reservation of a turn whose outcome is unknown."""
        reservation = self._reservations.get(call_id)
        if reservation is not None:
            self._reservations[call_id] = Reservation(reservation.tokens, True)

    def _check_time(self, now):
        age = now - self.started_at
        if age < self.limits.max_seconds:
            return None
        detail = f"program is {age:.0f} s old, of {self.limits.max_seconds:.0f} s"
        return BudgetRefused(BudgetLimit.TIME, detail, True)

    def _check_turns(self):
        if self.n_turns < self.limits.max_turns:
            return None
        detail = f"{self.n_turns} turns taken, of {self.limits.max_turns}"
        return BudgetRefused(BudgetLimit.TURNS, detail, True)

    def _check_calls(self):
        if self.n_calls < self.limits.max_calls:
            return None
        detail = f"{self.n_calls} calls made, of {self.limits.max_calls}"
        return BudgetRefused(BudgetLimit.CALLS, detail, True)

    def _check_tokens(self, tokens):
        rest = self.limits.max_tokens - self.used_tokens - self.reserved_tokens
        if tokens <= rest:
            return None
        detail = f"{tokens} tokens wanted, {rest} of {self.limits.max_tokens} left"
        running = any(not r.unknown for r in self._reservations.values())
        return BudgetRefused(BudgetLimit.TOKENS, detail, not running)
