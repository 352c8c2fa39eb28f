"""Programs whose histories a target holds, against the memory that it has.

Load pattern: more programs under way than an engine has memory for. Between two calls
of a program others push its history out; it is computed again at the next call, which
takes engine time, so that programs stay longer and still more of them are under way.
In the bench seven of ten tokens were then computed again and the engines finished a
third of what they could.

New programs therefore enter a busy target only while the histories held there, each
counted at the length that it is expected to reach, fit into its memory. Calls of
programs that are under way always pass.

References
----------
.. [1] P. J. Denning, "The Working Set Model for Program Behavior", CACM 11(5), 1968.
"""

from collections import OrderedDict
from dataclasses import dataclass

SMOOTHING = 0.05
"""Share of the newest program in the mean length and stay."""


@dataclass(slots=True)
class _HeldHistory:
    tokens: float
    reserved_tokens: float
    first_seen_at: float
    last_seen_at: float


class WorkingSet:
    """Histories held at one target.

    Parameters
    ----------
    fill : float
        Part of the memory that expected lengths may add up to.
    idle_seconds : float
        Time after which a program that was not seen counts as gone; a lost
        notice would otherwise take its room away for good.
    initial_stay_seconds : float
        Stay of a program assumed until one has ended.
    """

    def __init__(
        self, fill_fraction: float, idle_seconds: float, initial_stay_seconds: float
    ) -> None:
        self._fill_fraction = fill_fraction
        self._idle_seconds = idle_seconds
        self._histories: OrderedDict[str, _HeldHistory] = OrderedDict()
        self._reserved_tokens = 0.0
        self._capacity = 0.0
        self._mean_tokens = 0.0
        self._stay_seconds = initial_stay_seconds

    @property
    def is_capacity_known(self) -> bool:
        """Whether the target's memory is known."""
        return self._capacity > 0

    @property
    def stay_seconds(self) -> float:
        """Mean time from a program's first call here to its end."""
        return self._stay_seconds

    @property
    def program_capacity(self) -> float:
        """Programs that fit when all have the expected length."""
        return max(
            1.0, self._fill_fraction * self._capacity / max(self._mean_tokens, 1.0)
        )

    def set_capacity(self, tokens: float) -> None:
        """Take over the memory that the target reports."""
        self._capacity = tokens

    def has_room(self, tokens: float) -> bool:
        """Return whether a program of that expected length fits."""
        if not self.is_capacity_known or not self._histories:
            return True
        return self._reserved_tokens + tokens <= self._fill_fraction * self._capacity

    def set_history(
        self, now: float, program: str, tokens: float, expected_tokens: float
    ) -> None:
        """Count a program's history, at least at its expected length.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        program : str
            Its id.
        tokens, expected_tokens : float
            Present and expected final length.
        """
        held = self._histories.get(program)
        if held is None:
            held = _HeldHistory(0.0, 0.0, now, now)
            self._histories[program] = held
        held.tokens = tokens
        held.last_seen_at = now
        self._reserved_tokens -= held.reserved_tokens
        held.reserved_tokens = max(tokens, expected_tokens)
        self._reserved_tokens += held.reserved_tokens
        self._histories.move_to_end(program)

    def remove(self, now: float, program: str) -> bool:
        """Forget a program that ended or left; return whether it was held."""
        held = self._histories.pop(program, None)
        if held is None:
            return False
        self._reserved_tokens -= held.reserved_tokens
        self._stay_seconds += SMOOTHING * (
            now - held.first_seen_at - self._stay_seconds
        )
        if self._mean_tokens == 0.0:
            self._mean_tokens = held.tokens
        self._mean_tokens += SMOOTHING * (held.tokens - self._mean_tokens)
        return True

    def remove_idle(self, now: float) -> None:
        """Forget programs that were not seen for the idle time."""
        while self._histories:
            program, held = next(iter(self._histories.items()))
            if held.last_seen_at + self._idle_seconds > now:
                return
            del self._histories[program]
            self._reserved_tokens -= held.reserved_tokens
