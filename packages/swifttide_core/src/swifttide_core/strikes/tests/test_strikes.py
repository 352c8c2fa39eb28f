"""Tests of the refusal of requests that crash targets."""

import pytest

from swifttide_core.strikes import (
    REFUSAL_SECONDS,
    Clear,
    CrashClassifier,
    Refused,
    Strike,
    StrikeTracker,
    Suspect,
    fingerprint_of,
)

BODY = {"model": "m", "messages": [{"role": "user", "content": "x"}], "program": "p"}


def crash(n, fingerprint="f"):
    return Strike(fingerprint, f"t{n}", "i0")


class TestFingerprint:
    def test_fingerprint_ignores_program_and_field_order(self):
        """Guards against evading a refusal by another program id.

        A caller sends a request that crashed a target again, as another program.
        """
        repeated = {
            "program": "q",
            "messages": BODY["messages"],
            "model": "m",
            "turn": 3,
        }
        assert fingerprint_of(BODY) == fingerprint_of(repeated)

    def test_fingerprint_depends_on_content_and_kind(self):
        other = {**BODY, "messages": [{"role": "user", "content": "y"}]}
        assert fingerprint_of(BODY) != fingerprint_of(other)
        assert fingerprint_of(BODY, "m1") != fingerprint_of(BODY, "m2")


class TestCrashClassifier:
    def test_lost_connection_is_no_crash(self):
        """Guards against refusing a harmless request after two lost connections."""
        classifier = CrashClassifier("t1")
        classifier.record_broken_request("f", "i1")
        assert classifier.classify("i1") == ()
        assert classifier.classify("i2") == ()

    def test_new_incarnation_is_a_crash(self):
        classifier = CrashClassifier("t1")
        classifier.record_broken_request("f", "i1")
        assert classifier.classify("i2") == (Strike("f", "t1", "i1"),)
        assert classifier.classify("i3") == ()


class TestStrikeTracker:
    def test_second_crash_refuses_the_request_temporarily(self):
        """Guards against a request that crashes each target that executes it.

        Its caller would send it again until the zone has no targets left.
        """
        tracker = StrikeTracker()
        assert tracker.record_strike(0.0, crash(1)) == Suspect()
        assert tracker.record_strike(5.0, crash(2)) == Refused(REFUSAL_SECONDS)
        assert isinstance(tracker.status_of(600.0, "f"), Refused)
        assert tracker.status_of(606.0, "f") == Clear()

    def test_repeated_report_of_a_crash_counts_once(self):
        tracker = StrikeTracker()
        tracker.record_strike(0.0, crash(1))
        assert tracker.record_strike(1.0, crash(1)) == Suspect()

    def test_crashes_far_apart_do_not_add_up(self):
        """Guards against refusing a request because of unrelated crashes.

        A request that is sent every day may be at a crashing target twice in a month.
        """
        tracker = StrikeTracker()
        tracker.record_strike(0.0, crash(1))
        assert tracker.record_strike(700.0, crash(2)) == Suspect()

    def test_request_is_cleared_by_a_completed_run(self):
        """The request was in the batch of the one that crashed the target."""
        tracker = StrikeTracker()
        tracker.record_strike(0.0, crash(1))
        tracker.record_success(1.0, "f")
        assert tracker.record_strike(2.0, crash(2)) == Suspect()

    def test_refused_request_is_not_cleared_by_a_late_success(self):
        tracker = StrikeTracker()
        tracker.record_strike(0.0, crash(1))
        tracker.record_strike(0.0, crash(2))
        tracker.record_success(1.0, "f")
        assert isinstance(tracker.status_of(1.0, "f"), Refused)

    def test_request_that_is_completed_all_the_time_is_not_refused(self):
        """Guards against refusing what is at any target that crashes.

        Requests without a body, or with a short one, may come all the time.
        """
        tracker = StrikeTracker()
        for n in range(10):
            tracker.record_success(float(n), "f")
        for n in range(4):
            assert not isinstance(tracker.record_strike(10.0, crash(n)), Refused)
        assert tracker.status_of(10.0, "f") == Clear()

    def test_request_that_crashes_targets_from_some_time_on(self):
        """Guards against crashes without end of what completed before a release."""
        tracker = StrikeTracker()
        for n in range(10):
            tracker.record_success(float(n), "f")
        tracker.record_strike(15.0, crash(1))
        assert tracker.record_strike(16.0, crash(2)) == Clear()
        assert isinstance(tracker.record_strike(20.0, crash(3)), Refused)

    def test_refused_request_is_cleared_by_two_completed_runs(self):
        tracker = StrikeTracker()
        tracker.record_strike(0.0, crash(1))
        tracker.record_strike(0.0, crash(2))
        tracker.record_success(1.0, "f")
        tracker.record_success(1.0, "f")
        assert tracker.status_of(1.0, "f") == Clear()

    def test_completed_runs_of_another_host(self):
        tracker = StrikeTracker()
        tracker.record_strike(20.0, crash(1))
        tracker.record_strike(20.0, crash(2))
        tracker.record_completions(9.0, "f")
        assert isinstance(tracker.status_of(20.0, "f"), Refused)
        tracker.record_completions(11.0, "f")
        assert tracker.status_of(20.0, "f") == Clear()
        assert tracker.completed_twice_since("f") == 11.0

    def test_takeover_merges_the_strikes_of_both_holders(self):
        """Guards against losing strikes when the slot gets a new holder.

        The host that recorded the first crash is stopped. Without its strikes, the
        request could crash two more targets.
        """
        old, new = StrikeTracker(), StrikeTracker()
        old.record_strike(100.0, crash(1))
        new.record_strike(7.0, crash(2))
        new.merge(8.0, old.export(101.0))
        new.merge(8.0, old.export(101.0))
        assert new.status_of(8.0, "f") == Refused(pytest.approx(REFUSAL_SECONDS - 1.0))

    def test_eviction_keeps_refused_fingerprints(self):
        """A caller could fill the memory of the host with different requests."""
        tracker = StrikeTracker(max_fingerprints=100)
        tracker.record_strike(0.0, crash(1, "bad"))
        tracker.record_strike(0.0, crash(2, "bad"))
        for n in range(1000):
            tracker.record_strike(1.0 + n * 0.1, crash(1, f"f{n}"))
        assert len(tracker.export(200.0)) <= 102
        assert isinstance(tracker.status_of(200.0, "bad"), Refused)
