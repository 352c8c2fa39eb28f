"""Decides which connections may buffer more bytes within the memory of a host.

The load: callers and targets that read slowly, on hosts with 128 to 552 MB of memory. A
process over its limit is killed with all its requests, while a target cuts off an
answer that a host doesn't read for some seconds.
"""

from collections.abc import Hashable
from dataclasses import dataclass

BUDGET_FRACTION = 0.25
"""Fraction of a host's memory that connections may hold. On the smallest host, with
128 MB, the imported modules take 32 MB and kept turns up to 34 MB; the rest is for the
process's other state and for copies in transit."""

PAUSE_FRACTION = 0.75
"""Fraction of the budget from which connections over their share are paused. The rest
is one answer of 8 MB that is read whole, on the smallest host."""

STOP_FRACTION = 0.9
"""Fraction of the budget from which all connections are paused and stalled readers are
given up. Only an answer that is being read whole may take the rest: a connection learns
of the pause after a piece of 64 KB."""

REQUESTS_FRACTION = 0.5
"""Fraction of the budget that the bodies of callers' requests may take, so that there
is always room for answers."""

UNSENT_FRACTION = 0.125
"""Fraction of the budget for bodies that one target hasn't read yet: one body of 4 MB,
the largest that a request may have, on the smallest host."""

STALL_SECONDS = 1.0
"""Time without `PROGRESS_BYTES` after which a reader counts as stalled. It is half of
the TCP user timeout, after which the kernel closes a connection whose peer reads
nothing."""

PROGRESS_BYTES = 16_384
"""Bytes by which a reader makes progress; per `STALL_SECONDS` they are a hundredth of
the slowest link of a host, 11 Mbit/s."""

MAX_PAUSE_SECONDS = 1.0
"""Longest pause of a connection while another reader is stalled. Targets cut off
answers that aren't read for some seconds."""


@dataclass(frozen=True, slots=True)
class ReadOn:
    """The connection may read more from its target."""


@dataclass(frozen=True, slots=True)
class Pause:
    """The connection must not read from its target until others released bytes."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """A reader is to be aborted, after which the decision should be asked again.

    Parameters
    ----------
    reader : hashable
    held_bytes : int
        Bytes that the host held for the reader.
    stalled_seconds : float
        Time since the reader last made progress.
    """

    reader: Hashable
    held_bytes: int
    stalled_seconds: float


@dataclass(slots=True)
class _Reader:
    opened: int
    progress_at: float
    unsent_bytes: int = 0
    collected_bytes: int = 0
    goal_bytes: int = 0
    paused_at: float | None = None

    @property
    def held_bytes(self) -> int:
        return self.unsent_bytes + self.collected_bytes


class MemoryBudget:
    """Bytes that all connections of a host may hold together.

    Parameters
    ----------
    memory_bytes : int
        Memory limit of the host, of which `BUDGET_FRACTION` is the budget.
    """

    def __init__(self, memory_bytes: int):
        self.total_bytes = int(memory_bytes * BUDGET_FRACTION)
        self._readers: dict[Hashable, _Reader] = {}
        self._n_opened = 0
        self._answer_bytes = 0
        self._request_bytes = 0
        self._upload_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now, of answers and of requests."""
        return self._answer_bytes + self._request_bytes + self._upload_bytes

    @property
    def max_request_bytes(self) -> int:
        """Maximum size of all callers' request bodies together."""
        return int(self.total_bytes * REQUESTS_FRACTION)

    @property
    def max_unsent_bytes(self) -> int:
        """Maximum size of the request bodies that one target hasn't read yet."""
        return int(self.total_bytes * UNSENT_FRACTION)

    def set_request_bytes(self, n_bytes: int) -> None:
        """Set the size of the callers' request bodies, whole or partly read."""
        self._request_bytes = n_bytes

    def set_upload_bytes(self, n_bytes: int) -> None:
        """Set the size of the copies of bodies that targets haven't read yet."""
        self._upload_bytes = n_bytes

    def update(
        self,
        reader: Hashable,
        unsent_bytes: int,
        sent_bytes: int,
        collected_bytes: int,
        now: float,
    ) -> None:
        """Set what the connection of a reader holds.

        Parameters
        ----------
        reader : hashable
        unsent_bytes : int
            Bytes of answers that the reader hasn't taken yet.
        sent_bytes : int
            Bytes that the reader has taken since its connection was opened.
        collected_bytes : int
            Bytes of an answer that is read whole before it is forwarded.
        now : float
            Monotonic time in seconds.
        """
        state = self._readers.get(reader)
        if state is None:
            self._n_opened += 1
            state = self._readers[reader] = _Reader(self._n_opened, now)
        self._answer_bytes += unsent_bytes + collected_bytes - state.held_bytes
        state.unsent_bytes = unsent_bytes
        if collected_bytes and not state.collected_bytes:
            self._n_opened += 1
            state.opened = self._n_opened
        state.collected_bytes = collected_bytes
        if sent_bytes >= state.goal_bytes:
            # A reader that has taken all that was held for it isn't stalled either.
            state.progress_at = now
            state.goal_bytes = sent_bytes + min(PROGRESS_BYTES, unsent_bytes)

    def forget(self, reader: Hashable) -> None:
        """Release what the connection of a reader held."""
        state = self._readers.pop(reader, None)
        if state is not None:
            self._answer_bytes -= state.held_bytes

    def decide(self, reader: Hashable, now: float) -> ReadOn | Pause | GiveUp:
        """Decide whether the connection of a reader may read on at its target.

        Parameters
        ----------
        reader : hashable
            A reader given to `update` before.
        now : float
            Monotonic time in seconds.
        """
        state = self._readers[reader]
        if self._may_read_on(state):
            state.paused_at = None
            return ReadOn()
        if state.paused_at is None:
            state.paused_at = now
        is_short = self.held_bytes >= self.total_bytes * STOP_FRACTION
        if is_short or now - state.paused_at >= MAX_PAUSE_SECONDS:
            stalled = self._most_stalled(now)
            if stalled is not None:
                return stalled
        return Pause()

    def _may_read_on(self, state) -> bool:
        if self.held_bytes <= self.total_bytes * PAUSE_FRACTION:
            return True
        if self.held_bytes < self.total_bytes * STOP_FRACTION:
            return state.held_bytes <= self._share_bytes() or self._is_first(state)
        return self.held_bytes <= self.total_bytes and self._is_first(state)

    def _is_first(self, state) -> bool:
        """Return whether an answer is the one that was begun first of those read whole.

        Answers that are read whole release nothing before their end. If all of them
        were paused, none would end.
        """
        collecting = (r.opened for r in self._readers.values() if r.collected_bytes)
        return state.collected_bytes > 0 and state.opened == min(collecting)

    def _share_bytes(self) -> float:
        n_holding = sum(1 for r in self._readers.values() if r.held_bytes)
        left = self.total_bytes * PAUSE_FRACTION
        left -= self._request_bytes + self._upload_bytes
        return max(0.0, left) / max(1, n_holding)

    def _most_stalled(self, now) -> GiveUp | None:
        """Return the reader without progress for the longest, None without any.

        Readers over their share are given up first, since others release little.
        """
        share = self._share_bytes()
        found = None
        for reader, state in self._readers.items():
            seconds = now - state.progress_at
            if not state.unsent_bytes or seconds < STALL_SECONDS:
                continue
            order = (state.held_bytes > share, seconds, state.held_bytes)
            if found is None or order > found[0]:
                found = (order, GiveUp(reader, state.held_bytes, seconds))
        return found[1] if found else None
