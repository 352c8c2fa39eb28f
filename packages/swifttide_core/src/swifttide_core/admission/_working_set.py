"""Histories of programs that a target holds, compared with the memory that it has.

If more programs are active than an engine has memory for, the history of a program is
evicted between two of its calls and computed again at the next one. This takes engine
time, so that programs stay longer and even more of them are active (thrashing). In the
benchmark, seven of ten tokens were then computed again and the engines finished a third
of what they could.

A new program is therefore admitted to a busy target only while the histories held
there, each counted at its expected final length, fit into the target's memory. Calls of
programs that have started are never held back.

References
----------
.. [1] P. J. Denning, "The Working Set Model for Program Behavior", CACM 11(5), 1968.
"""

from collections import OrderedDict
from dataclasses import dataclass

NEWEST_PROGRAM_WEIGHT = 0.05
"""Weight of the newest program in the mean history length and the mean stay."""


@dataclass(slots=True)
class _HeldHistory:
    tokens: float
    reserved_tokens: float
    first_seen_at: float
    last_seen_at: float


class WorkingSet:
    """Histories that one target holds, in tokens.

    Parameters
    ----------
    fill : float
        Fraction of the target's memory up to which expected lengths may add up.
    idle_seconds : float
        Time without a call after which a program counts as gone. Otherwise a lost
        notice of a program's end would reserve its memory for good.
    initial_stay_seconds : float
        Time from first call to end that is assumed until a program has ended.
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
        """Whether the size of the target's memory is known."""
        return self._capacity > 0

    @property
    def stay_seconds(self) -> float:
        """Mean time from a program's first call here to its end."""
        return self._stay_seconds

    @property
    def program_capacity(self) -> float:
        """Number of programs of mean length that fit into the memory, at least 1."""
        return max(
            1.0, self._fill_fraction * self._capacity / max(self._mean_tokens, 1.0)
        )

    def set_capacity(self, tokens: float) -> None:
        """Set the memory that the target reports, in tokens."""
        self._capacity = tokens

    def has_room(self, tokens: float) -> bool:
        """Return whether a program of the given expected length fits.

        A target that holds no history takes a program of any length.
        """
        if not self.is_capacity_known or not self._histories:
            return True
        return self._reserved_tokens + tokens <= self._fill_fraction * self._capacity

    def set_history(
        self, now: float, program: str, tokens: float, expected_tokens: float
    ) -> None:
        """Reserve memory for a program's history.

        The larger one of the current and the expected final length is reserved.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        program : str
            Id of the program.
        tokens, expected_tokens : float
            Current and expected final length of the history.
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
        """Remove a program that ended or left; return whether it was held here."""
        held = self._histories.pop(program, None)
        if held is None:
            return False
        self._reserved_tokens -= held.reserved_tokens
        self._stay_seconds += NEWEST_PROGRAM_WEIGHT * (
            now - held.first_seen_at - self._stay_seconds
        )
        if self._mean_tokens == 0.0:
            self._mean_tokens = held.tokens
        self._mean_tokens += NEWEST_PROGRAM_WEIGHT * (held.tokens - self._mean_tokens)
        return True

    def remove_idle(self, now: float) -> None:
        """Remove programs that had no call for the idle time."""
        while self._histories:
            program, held = next(iter(self._histories.items()))
            if held.last_seen_at + self._idle_seconds > now:
                return
            del self._histories[program]
            self._reserved_tokens -= held.reserved_tokens
