"""Tests the state that a scheduler's host sends to its successors."""

import pytest

from swifttide_core.placement import TargetSpeeds, TurnObservation
from swifttide_daemon.gateway.targets._scheduler_states import (
    ReceivedStates,
    split_snapshot,
)


class TestReceivedStates:
    """State that is merged from its parts."""

    def test_speed_that_targets_share_is_restored(self):
        """Guards against a successor that predicts times by the priors again."""
        speeds = TargetSpeeds()
        for second in range(40):
            observed = TurnObservation(0.3, 0.2, 8, 4_000, 0, 6)
            speeds.observe("engine-0", observed, float(second))
        states = ReceivedStates()
        for part in split_snapshot("chat", {"targets": speeds.snapshot()}):
            states.add(part, {})
        restored = TargetSpeeds()
        restored.restore(states.take("chat")["targets"], 40.0)
        found, expected = (s.estimate("other", 40.0) for s in (restored, speeds))
        assert found.gap_seconds == pytest.approx(expected.gap_seconds, rel=0.01)
        assert found.seconds_per_token == pytest.approx(
            expected.seconds_per_token, rel=0.01
        )
