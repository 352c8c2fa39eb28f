"""Programs whose tokens a host may return, because none of their turns comes.

It serves a load in which most programs end without a word, and some that were stopped
continue much later at other hosts. The tokens that were granted for their next turns
would be lost with the host that holds them.
"""

from collections import OrderedDict
from collections.abc import Iterator

IDLE_SECONDS = 1.0
"""Time without a turn after which a program is idle. Between two turns of a program,
calls of tools take some 0.3 s."""


class IdlePrograms:
    """Orders programs by the time of their last turn at this host."""

    def __init__(self):
        self._used_at: OrderedDict[str, float] = OrderedDict()

    def touch(self, key: str, now: float) -> None:
        """Note that a turn of a program begins or ends.

        Parameters
        ----------
        key : str
        now : float
            Time in seconds, not less than in earlier calls.
        """
        self._used_at[key] = now
        self._used_at.move_to_end(key)

    def pop_idle(self, now: float) -> Iterator[str]:
        """Remove the programs that are idle, and return them, the longest idle first.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        while self._used_at:
            key, used_at = next(iter(self._used_at.items()))
            if now - used_at < IDLE_SECONDS:
                return
            del self._used_at[key]
            yield key
