"""Tests for telling a crash of an engine from a broken connection."""

import pytest

from swifttide_core.documents import Target, TargetKind
from swifttide_core.strikes import Strike
from swifttide_daemon.runners import CrashDetector
from swifttide_daemon.runners import _crash_detector as module

TARGET = Target("e", TargetKind.ENGINE, "z", "http://127.0.0.1:1", "m")


class FakeEngineClient:
    """Returns load reports with the given incarnations, None for no answer."""

    def __init__(self, *incarnations):
        self.incarnations = list(incarnations)

    def load(self, target):
        found = self.incarnations.pop(0)
        return None if found is None else {"incarnation": found}


class FakeStrikeService:
    def __init__(self):
        self.reported = []

    def report(self, strike):
        self.reported.append(strike)


@pytest.fixture(autouse=True)
def _no_probe_interval(monkeypatch):
    monkeypatch.setattr(module, "PROBE_INTERVAL_SECONDS", 0.0)


def make_detector(*incarnations):
    return CrashDetector(FakeEngineClient(*incarnations), FakeStrikeService())


class TestCrashDetector:
    def test_same_incarnation_is_no_crash(self):
        """Guards against strikes for harmless requests, which would be refused.

        The connection breaks while the engine keeps running.
        """
        found = make_detector("one")
        assert not found.report_if_crashed(TARGET, "f", "one")
        assert found.strikes.reported == []

    def test_new_incarnation_is_a_crash(self):
        found = make_detector(None, "two")
        assert found.report_if_crashed(TARGET, "f", "one")
        assert found.strikes.reported == [Strike("f", "e", "one")]

    def test_target_without_answer_is_a_crash(self):
        """Guards against a request that crashes one engine after another.

        The engine does not come back; if that passed for a broken connection, the
        request would be sent to the next engine.
        """
        found = make_detector(None, None, None)
        assert found.report_if_crashed(TARGET, "f", "one")
        assert found.strikes.reported == [Strike("f", "e", "one")]

    def test_concurrent_broken_request_is_reported_at_next_answer(self):
        """Guards against a lost strike when probes after a crash get no answer."""
        found = make_detector(None, None, None, "two")
        found.report_if_crashed(TARGET, "f", "one")
        found.query_incarnation(TARGET)
        assert found.strikes.reported == [Strike("f", "e", "one")] * 2
