"""Speed of each target of a service, learned from the turns that it ran.

Load pattern: two thirds of the targets take 0.7 and one third 1.7 of the usual time.
In addition, each target is 2.5 times slower for 15 % of the time, in phases of 0.6 s,
which is three turns long.

Without this module, turns are placed by the number of outstanding turns alone: a slow
target gets as many as a fast one, and a target in a slow phase keeps getting turns.

The speed of a target is the usual speed of the service times the target's ratio. The
ratio is the product of a slow part, which follows tens of turns, and a fast part, which
follows the newest ones and fades within a fraction of a second. All learning is in
logarithms, so that twice and half the usual time are equally far from it.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from swifttide_core.placement._observation import SpeedEstimate, TurnObservation
from swifttide_core.placement._shared_speed import SharedSpeed

MIN_LOG_RATIO = math.log(0.2)
MAX_LOG_RATIO = math.log(10.0)
"""Bounds of a target's ratio to the usual time, as logarithms."""

FAST_HALF_LIFE_SECONDS = 0.25
"""Time after which the fast part of the ratio counts half. A slow phase lasts 0.6 s, so
that an observation says little about the target a second later."""

SLOW_HALF_LIFE_SECONDS = 15.0
"""Time after which the slow part of an unobserved target counts half, so that a target
that became fast again gets turns again."""

WEIGHT_HALF_LIFE_SECONDS = 5.0
"""Time after which earlier observations weigh half against a new one, so that few turns
show the speed of a target that had none for a while."""

FAST_GAIN = 0.8
"""Weight of one observation with many events in the fast part."""

PRIOR_WEIGHT = 2.0
"""Weight of the usual ratio for a target without observations, in observations."""

MAX_WEIGHT = 20.0
"""Maximum weight of earlier observations in the slow part, in observations. A phase of
0.6 s has some fifteen turns and must not be taken for the target's own speed."""

MAX_FAST_STEP = math.log(3.0)
"""Bound of one observation's logarithmic deviation in the fast part, slightly more than
the factor of a slow phase."""

MAX_SLOW_STEP = math.log(1.5)
"""Bound of one observation's logarithmic deviation in the slow part. With a bound of 2,
one slow phase made the target's own ratio 1.3 times as large."""

MAX_TRANSIENT = 0.3
"""Fast part beyond which no occupancy effect is learned, since the turns that avoid a
slow target lower its occupancy at the same time."""

FIRST_ONLY_WEIGHT = 0.5
"""Weight of an observation without gaps, as that of one with a single gap."""

MAX_TARGETS = 4_096
"""Maximum number of targets remembered, about 200 bytes each."""

SHARED_KEY = ""
"""Key of the shared values in a snapshot; ids of targets are not empty."""

N_SHARED_VALUES = 6
N_TARGET_VALUES = 3


@dataclass(slots=True)
class _Ratio:
    observed_at: float
    slow: float = 0.0
    fast: float = 0.0
    weight: float = PRIOR_WEIGHT
    mean_others: float = 0.0

    def fade(self, now: float) -> None:
        """Let the parts fade until `now`."""
        age = now - self.observed_at
        if age <= 0.0:
            return
        self.fast *= 0.5 ** (age / FAST_HALF_LIFE_SECONDS)
        self.slow *= 0.5 ** (age / SLOW_HALF_LIFE_SECONDS)
        decay = 0.5 ** (age / WEIGHT_HALF_LIFE_SECONDS)
        self.weight = PRIOR_WEIGHT + (self.weight - PRIOR_WEIGHT) * decay
        self.observed_at = now


class TargetSpeeds:
    """Learned speeds of the targets of one service.

    All times named ``now`` are monotonic seconds.
    """

    def __init__(self) -> None:
        self._shared = SharedSpeed()
        self._ratios: dict[str, _Ratio] = {}
        self._now = 0.0

    def observe(self, target: str, observation: TurnObservation, now: float) -> None:
        """Learn from a turn that ended; invalid times are ignored.

        A turn without gaps counts by its time to the first event, unless it may have
        waited for a slot.
        """
        shared = self._shared
        capacity = max(1, observation.capacity)
        n_others = min(max(0, observation.n_others), capacity - 1)
        growth = shared.growth(n_others)
        has_gap = observation.n_events >= 2 and _is_time(observation.gap_seconds)
        has_first = observation.n_others < capacity and _is_time(
            observation.first_seconds
        )
        if has_gap:
            n_gaps = observation.n_events - 1
            weight = n_gaps / (n_gaps + 1)
            usual = math.exp(shared.gap.log) * growth
            deviation = math.log(observation.gap_seconds / usual)
        elif has_first:
            weight = FIRST_ONLY_WEIGHT
            read_seconds = max(0, observation.read_tokens) * shared.seconds_per_token
            usual = math.exp(shared.first.log) * growth + read_seconds
            deviation = math.log(observation.first_seconds / usual)
        else:
            return
        self._now = max(self._now, now)
        known = self._ratios.get(target)
        if known is None:
            known = self._add_target(target, now)
            known.mean_others = n_others
        known.fade(now)
        if has_gap:
            if abs(known.fast) <= MAX_TRANSIENT:
                shared.learn_slowdown(
                    deviation - known.slow, n_others, known.mean_others
                )
            shared.gap.add(deviation, weight, now)
        _update_ratio(known, deviation, weight, n_others)
        if has_first:
            # Without gaps the ratio comes from the time to the first event itself.
            ratio = math.exp(known.slow + known.fast) if has_gap else 1.0
            shared.learn_first(observation, growth, ratio, now)

    def estimate(self, target: str, now: float) -> SpeedEstimate:
        """Return the speed that a turn sent now would find if it ran alone."""
        shared = self._shared
        ratio = 1.0
        known = self._ratios.get(target)
        if known is not None:
            age = max(0.0, now - known.observed_at)
            log_ratio = known.slow * 0.5 ** (age / SLOW_HALF_LIFE_SECONDS)
            log_ratio += known.fast * 0.5 ** (age / FAST_HALF_LIFE_SECONDS)
            ratio = math.exp(log_ratio)
        return SpeedEstimate(
            math.exp(shared.first.log) * ratio,
            math.exp(shared.gap.log) * ratio,
            shared.slowdown,
            shared.seconds_per_token * ratio,
        )

    def forget(self, target: str) -> None:
        """Remove all state of a target that was removed."""
        self._ratios.pop(target, None)

    def snapshot(self) -> dict[str, list[float]]:
        """Return what was learned, for `restore` at another host.

        The fast parts are left out, since they have faded when a snapshot that is sent
        once a second is needed.
        """
        values = {SHARED_KEY: self._shared.values()}
        for target, known in self._ratios.items():
            age = max(0.0, self._now - known.observed_at)
            slow = known.slow * 0.5 ** (age / SLOW_HALF_LIFE_SECONDS)
            values[target] = [slow, known.weight, known.mean_others]
        return values

    def restore(self, snapshot: Mapping[str, list[float]], now: float) -> None:
        """Take over what another host learned; malformed entries are ignored.

        Targets that the snapshot doesn't contain keep what was learned here.
        """
        self._now = max(self._now, now)
        for target, values in snapshot.items():
            is_shared = target == SHARED_KEY
            expected = N_SHARED_VALUES if is_shared else N_TARGET_VALUES
            if len(values) != expected or not all(map(math.isfinite, values)):
                continue
            if is_shared:
                self._shared.set_values(values)
                continue
            known = self._ratios.get(target) or self._add_target(target, now)
            slow, weight, mean_others = values
            known.observed_at = now
            known.slow = max(MIN_LOG_RATIO, min(MAX_LOG_RATIO, slow))
            known.fast = 0.0
            known.weight = max(PRIOR_WEIGHT, min(MAX_WEIGHT, weight))
            known.mean_others = max(0.0, mean_others)

    def _add_target(self, target: str, now: float) -> _Ratio:
        """Return a new record; the one observed least recently makes room for it."""
        if len(self._ratios) >= MAX_TARGETS:
            del self._ratios[min(self._ratios, key=self._last_observed)]
        known = self._ratios[target] = _Ratio(now)
        return known

    def _last_observed(self, target: str) -> float:
        return self._ratios[target].observed_at


def _update_ratio(known: _Ratio, deviation: float, weight: float, n_others: float):
    """Move both parts of a ratio towards an observed deviation from the usual time."""
    gain = weight / (known.weight + weight)
    known.weight = min(MAX_WEIGHT, known.weight + weight)
    known.mean_others += gain * (n_others - known.mean_others)
    step = deviation - known.slow
    known.slow += gain * max(-MAX_SLOW_STEP, min(MAX_SLOW_STEP, step))
    known.slow = max(MIN_LOG_RATIO, min(MAX_LOG_RATIO, known.slow))
    step = deviation - known.slow - known.fast
    known.fast += FAST_GAIN * weight * max(-MAX_FAST_STEP, min(MAX_FAST_STEP, step))
    known.fast = max(
        MIN_LOG_RATIO - known.slow, min(MAX_LOG_RATIO - known.slow, known.fast)
    )


def _is_time(seconds: float | None) -> bool:
    return seconds is not None and math.isfinite(seconds) and seconds > 0.0
