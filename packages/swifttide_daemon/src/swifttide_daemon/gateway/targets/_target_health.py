"""Which targets answer, and how much is under way at each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_daemon.gateway.targets._target_answer import MayHaveRun, NotRun

FAILURE_REST_SECONDS = 1.0
"""How long a target is left alone after a failure; it is tried again when no other
is usable."""

COUNT_VALIDITY_BEACONS = 5.0
"""Another host's counts hold for so many of the pauses between its beacons."""

EXPIRY_CHECK_SECONDS = 0.2
"""Between looks whose counts no longer hold."""


@dataclass(slots=True)
class _State:
    outstanding: int = 0
    avoided_until: float = float("-inf")
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class _RemoteCounts:
    until: float
    counts: dict[str, int]


class TargetHealth:
    """What this host has seen of each target.

    Parameters
    ----------
    is_down : callable
        Takes a target's id and tells whether it is out of reach.
    """

    def __init__(self, is_down: Callable[[str], bool]):
        self._is_down = is_down
        self._states: dict[str, _State] = {}
        self._remote_counts: dict[str, _RemoteCounts] = {}
        # Sums over all hosts: made anew for each question they would grow with hosts
        # times targets.
        self._remote_totals: dict[str, int] = {}
        self._expiry_checked_at = float("-inf")

    def record_sent(self, target_id: str) -> None:
        """Count a request that goes to a target."""
        self._state(target_id).outstanding += 1

    def record_ended(self, target_id: str) -> None:
        """Count a request that is no longer at a target."""
        self._state(target_id).outstanding -= 1

    def record_answer(self, target_id: str) -> None:
        """Note a whole answer."""
        state = self._state(target_id)
        state.avoided_until = float("-inf")
        state.has_ended = False

    def record_failure(self, target_id: str, outcome: NotRun | MayHaveRun) -> None:
        """Note a failure."""
        state = self._state(target_id)
        now = asyncio.get_running_loop().time()
        match outcome:
            case NotRun(reached=True, wrong_target=False):
                # Full, not broken.
                return
            case NotRun():
                state.has_ended = True
        state.avoided_until = now + FAILURE_REST_SECONDS

    def has_ended(self, target_id: str) -> bool:
        """Whether a target's process has ended, as far as this host has seen."""
        return self._state(target_id).has_ended

    def usable(self, target_id: str) -> bool:
        """Whether a target isn't being left alone."""
        now = asyncio.get_running_loop().time()
        resting = now < self._state(target_id).avoided_until
        return not resting and not self._is_down(target_id)

    def outstanding(self, target_id: str) -> float:
        """Return the requests under way at a target, from all hosts."""
        self._drop_expired(asyncio.get_running_loop().time())
        return self._state(target_id).outstanding + self._remote_totals.get(
            target_id, 0
        )

    def update_remote_counts(
        self, host: str, counts: dict[str, int], pause_seconds: float
    ) -> None:
        """Take another host's requests under way, by target.

        Parameters
        ----------
        host : str
        counts : dict of str to int
        pause_seconds : float
            Until it tells again.
        """
        now = asyncio.get_running_loop().time()
        self._drop(host)
        self._remote_counts[host] = _RemoteCounts(
            now + COUNT_VALIDITY_BEACONS * pause_seconds, counts
        )
        for target_id, count in counts.items():
            self._add(target_id, count)

    def _drop(self, host):
        told = self._remote_counts.pop(host, None)
        for target_id, count in told.counts.items() if told else ():
            self._add(target_id, -count)

    def _add(self, target_id, count):
        total = self._remote_totals.pop(target_id, 0) + count
        if total:
            self._remote_totals[target_id] = total

    def _drop_expired(self, now):
        if now - self._expiry_checked_at < EXPIRY_CHECK_SECONDS:
            return
        self._expiry_checked_at = now
        for host in [h for h, told in self._remote_counts.items() if told.until <= now]:
            self._drop(host)

    def own_counts(self) -> dict[str, int]:
        """Return this host's requests under way, by target."""
        return {t: s.outstanding for t, s in self._states.items() if s.outstanding > 0}

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left."""
        state = self._states.get(target_id)
        if state is not None and not state.outstanding:
            del self._states[target_id]

    def _state(self, target_id):
        state = self._states.get(target_id)
        if state is None:
            state = self._states[target_id] = _State()
        return state
