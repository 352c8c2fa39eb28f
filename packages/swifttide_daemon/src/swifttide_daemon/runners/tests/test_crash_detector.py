"""Whether a target died under a request, or only its connection broke."""

import pytest

from swifttide_core.documents import Target, TargetKind
from swifttide_core.strikes import Strike
from swifttide_daemon.runners import CrashDetector
from swifttide_daemon.runners import _crash_detector as module

TARGET = Target("e", TargetKind.ENGINE, "z", "http://127.0.0.1:1", "m")


class Engines:
    """Answers load reports under the given incarnations, None for no answer."""

    def __init__(self, *incarnations):
        self.incarnations = list(incarnations)

    def load(self, target):
        found = self.incarnations.pop(0)
        return None if found is None else {"incarnation": found}


class Strikes:
    def __init__(self):
        self.reported = []

    def report(self, strike):
        self.reported.append(strike)


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch):
    monkeypatch.setattr(module, "LOOK_PAUSE_SECONDS", 0.0)


def detector(*incarnations):
    return CrashDetector(Engines(*incarnations), Strikes())


class TestCrashDetector:
    def test_cut_is_no_crash(self):
        """A link flaps. Healthy requests would collect strikes and be refused."""
        found = detector("one")
        assert not found.broke(TARGET, "f", "one")
        assert found.strikes.reported == []

    def test_new_incarnation_is_a_crash(self):
        found = detector(None, "two")
        assert found.broke(TARGET, "f", "one")
        assert found.strikes.reported == [Strike("f", "e", "one")]

    def test_target_that_stays_away_is_a_crash(self):
        """The request took the engine down for good. Taken for a cut, it would go on
        to the next engine, and the next.
        """
        found = detector(None, None, None)
        assert found.broke(TARGET, "f", "one")
        assert found.strikes.reported == [Strike("f", "e", "one")]

    def test_request_beside_the_crash_is_judged_by_the_next_answer(self):
        """Two requests broke with one engine; the second found nothing out itself."""
        found = detector(None, None, None, "two")
        found.broke(TARGET, "f", "one")
        found.incarnation(TARGET)
        assert found.strikes.reported == [Strike("f", "e", "one")] * 2
