"""Requests that crash targets."""

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
        """A caller sends the request that felled a target again, as another program
        and through another host.
        """
        again = {"program": "q", "messages": BODY["messages"], "model": "m", "turn": 3}
        assert fingerprint_of(BODY) == fingerprint_of(again)

    def test_fingerprint_depends_on_content_and_kind(self):
        other = {**BODY, "messages": [{"role": "user", "content": "y"}]}
        assert fingerprint_of(BODY) != fingerprint_of(other)
        assert fingerprint_of(BODY, "m1") != fingerprint_of(BODY, "m2")


class TestCrashWatch:
    def test_lost_connection_is_no_crash(self):
        """Something between host and target loses the connection. Counted as crashes,
        two such cuts would put a healthy request aside.
        """
        watch = CrashClassifier("t1")
        watch.record_broken_request("f", "i1")
        assert watch.classify("i1") == ()
        assert watch.classify("i2") == ()

    def test_new_incarnation_is_a_crash(self):
        watch = CrashClassifier("t1")
        watch.record_broken_request("f", "i1")
        assert watch.classify("i2") == (Strike("f", "t1", "i1"),)
        assert watch.classify("i3") == ()


class TestStrikeBook:
    def test_second_crash_refuses_the_request_temporarily(self):
        """A single request fells each target that runs it, and its caller sends it
        again until the zone has no target left.
        """
        book = StrikeTracker()
        assert book.record_strike(0.0, crash(1)) == Suspect()
        assert book.record_strike(5.0, crash(2)) == Refused(REFUSAL_SECONDS)
        assert isinstance(book.status_of(600.0, "f"), Refused)
        assert book.status_of(606.0, "f") == Clear()

    def test_repeated_report_of_a_crash_counts_once(self):
        book = StrikeTracker()
        book.record_strike(0.0, crash(1))
        assert book.record_strike(1.0, crash(1)) == Suspect()

    def test_crashes_far_apart_do_not_add_up(self):
        """A request that is sent every day meets a dying target twice in a month.
        Refused, it would be so only on days when nobody asked in between.
        """
        book = StrikeTracker()
        book.record_strike(0.0, crash(1))
        assert book.record_strike(700.0, crash(2)) == Suspect()

    def test_request_is_cleared_by_a_completed_run(self):
        """It ran beside the one that felled its target, and then elsewhere."""
        book = StrikeTracker()
        book.record_strike(0.0, crash(1))
        book.record_success(1.0, "f")
        assert book.record_strike(2.0, crash(2)) == Suspect()

    def test_refused_request_is_not_cleared_by_a_late_success(self):
        book = StrikeTracker()
        book.record_strike(0.0, crash(1))
        book.record_strike(0.0, crash(2))
        book.record_success(1.0, "f")
        assert isinstance(book.status_of(1.0, "f"), Refused)

    def test_takeover_merges_the_strikes_of_both_holders(self):
        """The host that counted the first crash dies by planned stop. Forgotten, the
        request would get two more targets.
        """
        old, new = StrikeTracker(), StrikeTracker()
        old.record_strike(100.0, crash(1))
        new.record_strike(7.0, crash(2))
        new.merge(8.0, old.export(101.0))
        new.merge(8.0, old.export(101.0))
        assert new.status_of(8.0, "f") == Refused(pytest.approx(REFUSAL_SECONDS - 1.0))

    def test_eviction_keeps_refused_fingerprints(self):
        """A caller sends ever new requests, so that the book would fill the host."""
        book = StrikeTracker(max_fingerprints=100)
        book.record_strike(0.0, crash(1, "bad"))
        book.record_strike(0.0, crash(2, "bad"))
        for n in range(1000):
            book.record_strike(1.0 + n * 0.1, crash(1, f"f{n}"))
        assert len(book.export(200.0)) <= 102
        assert isinstance(book.status_of(200.0, "bad"), Refused)
