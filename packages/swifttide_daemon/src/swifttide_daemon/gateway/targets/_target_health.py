"""Tracks which targets can be used and how many requests are under way at each.

The state comes from the results of this host's requests, from the prober and from the
counts that other hosts report in their beacons.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_daemon.gateway.targets._target_answer import MayHaveRun, NotRun

FAILURE_REST_SECONDS = 1.0
"""Time for which a target is avoided after a failure. It is used earlier if no other
target is usable."""

COUNT_VALIDITY_BEACONS = 5.0
"""Validity of another host's counts, in intervals between its beacons."""

EXPIRY_CHECK_SECONDS = 0.2
"""Time between two checks for expired counts of other hosts."""


@dataclass(slots=True)
class _State:
    """Requests of this host at a target, and the target's state after failures."""

    outstanding: int = 0
    avoided_until: float = float("-inf")
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class _RemoteCounts:
    """Requests under way that another host reported, with the end of their validity."""

    until: float
    counts: dict[str, int]


class TargetHealth:
    """Health and requests under way of each target, as known at this host.

    Parameters
    ----------
    is_down : callable
        Takes a target's id and returns whether the target is unreachable.
    """

    def __init__(self, is_down: Callable[[str], bool]):
        self._is_down = is_down
        self._states: dict[str, _State] = {}
        self._remote_counts: dict[str, _RemoteCounts] = {}
        # Sums over all other hosts are updated with each report: summing them for each
        # question would cost time in proportion to hosts times targets.
        self._remote_totals: dict[str, int] = {}
        self._expiry_checked_at = float("-inf")

    def record_sent(self, target_id: str) -> None:
        """Count a request that is sent to a target."""
        self._state(target_id).outstanding += 1

    def record_ended(self, target_id: str) -> None:
        """Stop counting a request that is no longer at a target."""
        self._state(target_id).outstanding -= 1

    def record_answer(self, target_id: str) -> None:
        """Record a complete answer of a target."""
        state = self._state(target_id)
        state.avoided_until = float("-inf")
        state.has_ended = False

    def record_failure(self, target_id: str, outcome: NotRun | MayHaveRun) -> None:
        """Record a failed request, and avoid the target unless it was only full."""
        state = self._state(target_id)
        now = asyncio.get_running_loop().time()
        match outcome:
            case NotRun(reached=True, wrong_target=False):
                # The target is overloaded, not faulty.
                return
            case NotRun():
                state.has_ended = True
        state.avoided_until = now + FAILURE_REST_SECONDS

    def has_ended(self, target_id: str) -> bool:
        """Return whether a target's process has ended, as far as this host knows."""
        return self._state(target_id).has_ended

    def usable(self, target_id: str) -> bool:
        """Return whether a target is reachable and not avoided after a failure."""
        now = asyncio.get_running_loop().time()
        is_avoided = now < self._state(target_id).avoided_until
        return not is_avoided and not self._is_down(target_id)

    def outstanding(self, target_id: str) -> float:
        """Return the number of requests under way at a target from all hosts."""
        self._drop_expired(asyncio.get_running_loop().time())
        return self._state(target_id).outstanding + self._remote_totals.get(
            target_id, 0
        )

    def update_remote_counts(
        self, host: str, counts: dict[str, int], pause_seconds: float
    ) -> None:
        """Replace another host's counts of requests under way.

        Parameters
        ----------
        host : str
        counts : dict of str to int
            Requests under way by target id.
        pause_seconds : float
            Time until the host's next beacon.
        """
        now = asyncio.get_running_loop().time()
        self._drop(host)
        self._remote_counts[host] = _RemoteCounts(
            now + COUNT_VALIDITY_BEACONS * pause_seconds, counts
        )
        for target_id, count in counts.items():
            self._add(target_id, count)

    def _drop(self, host):
        remote = self._remote_counts.pop(host, None)
        for target_id, count in remote.counts.items() if remote else ():
            self._add(target_id, -count)

    def _add(self, target_id, count):
        total = self._remote_totals.pop(target_id, 0) + count
        if total:
            self._remote_totals[target_id] = total

    def _drop_expired(self, now):
        if now - self._expiry_checked_at < EXPIRY_CHECK_SECONDS:
            return
        self._expiry_checked_at = now
        for host in [
            h for h, remote in self._remote_counts.items() if remote.until <= now
        ]:
            self._drop(host)

    def own_counts(self) -> dict[str, int]:
        """Return this host's requests under way by target id."""
        return {t: s.outstanding for t, s in self._states.items() if s.outstanding > 0}

    def forget(self, target_id: str) -> None:
        """Remove the state of a target that has left and has no requests under way."""
        state = self._states.get(target_id)
        if state is not None and not state.outstanding:
            del self._states[target_id]

    def _state(self, target_id):
        state = self._states.get(target_id)
        if state is None:
            state = self._states[target_id] = _State()
        return state
