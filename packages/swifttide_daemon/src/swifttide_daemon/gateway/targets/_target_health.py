"""Which targets answer, and how much is under way at each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_daemon.gateway.targets._target_answer import MayHaveRun, NotRun

REST_SECONDS = 1.0
"""How long a target is left alone after a failure; it is tried again when no other
is usable."""

TOLD_BEACONS = 5.0
"""Another host's counts hold for so many of the pauses between its beacons."""

LAPSE_SECONDS = 0.2
"""Between looks whose counts no longer hold."""


@dataclass(slots=True)
class _State:
    outstanding: int = 0
    resting_until: float = float("-inf")
    ended: bool = False


@dataclass(frozen=True, slots=True)
class _Told:
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
        self._elsewhere: dict[str, _Told] = {}
        # Sums over all hosts: made anew for each question they would grow with hosts
        # times targets.
        self._sums: dict[str, int] = {}
        self._lapsed_at = float("-inf")

    def sent(self, target_id: str) -> None:
        """Count a request that goes to a target."""
        self._state(target_id).outstanding += 1

    def ended_request(self, target_id: str) -> None:
        """Count a request that is no longer at a target."""
        self._state(target_id).outstanding -= 1

    def answered(self, target_id: str) -> None:
        """Note a whole answer."""
        state = self._state(target_id)
        state.resting_until = float("-inf")
        state.ended = False

    def failed(self, target_id: str, outcome: NotRun | MayHaveRun) -> None:
        """Note a failure."""
        state = self._state(target_id)
        now = asyncio.get_running_loop().time()
        match outcome:
            case NotRun(reached=True, wrong_target=False):
                # Full, not broken.
                return
            case NotRun():
                state.ended = True
        state.resting_until = now + REST_SECONDS

    def ended(self, target_id: str) -> bool:
        """Whether a target's process has ended, as far as this host has seen."""
        return self._state(target_id).ended

    def usable(self, target_id: str) -> bool:
        """Whether a target isn't being left alone."""
        now = asyncio.get_running_loop().time()
        resting = now < self._state(target_id).resting_until
        return not resting and not self._is_down(target_id)

    def outstanding(self, target_id: str) -> float:
        """Return the requests under way at a target, from all hosts."""
        self._drop_lapsed(asyncio.get_running_loop().time())
        return self._state(target_id).outstanding + self._sums.get(target_id, 0)

    def told(self, host: str, counts: dict[str, int], pause_seconds: float) -> None:
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
        self._elsewhere[host] = _Told(now + TOLD_BEACONS * pause_seconds, counts)
        for target_id, count in counts.items():
            self._add(target_id, count)

    def _drop(self, host):
        told = self._elsewhere.pop(host, None)
        for target_id, count in told.counts.items() if told else ():
            self._add(target_id, -count)

    def _add(self, target_id, count):
        total = self._sums.pop(target_id, 0) + count
        if total:
            self._sums[target_id] = total

    def _drop_lapsed(self, now):
        if now - self._lapsed_at < LAPSE_SECONDS:
            return
        self._lapsed_at = now
        for host in [h for h, told in self._elsewhere.items() if told.until <= now]:
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
