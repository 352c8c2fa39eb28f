"""Requests that crash targets."""

import pytest

from swifttide_core.strikes import (
    REFUSE_SECONDS,
    Clear,
    CrashWatch,
    Refused,
    Strike,
    StrikeBook,
    Suspect,
    fingerprint_of,
)

BODY = {"model": "m", "messages": [{"role": "user", "content": "x"}], "program": "p"}


def crash(n, fingerprint="f"):
    return Strike(fingerprint, f"t{n}", "i0")


class TestFingerprint:
    def test_same_under_another_program_and_order(self):
        """A caller sends the request that felled a target again, as another program
        and through another host.
        """
        again = {"program": "q", "messages": BODY["messages"], "model": "m", "turn": 3}
        assert fingerprint_of(BODY) == fingerprint_of(again)

    def test_other_request_is_another(self):
        other = {**BODY, "messages": [{"role": "user", "content": "y"}]}
        assert fingerprint_of(BODY) != fingerprint_of(other)
        assert fingerprint_of(BODY, "m1") != fingerprint_of(BODY, "m2")


class TestCrashWatch:
    def test_cut_is_no_crash(self):
        """Something between host and target loses the connection. Counted as crashes,
        two such cuts would put a healthy request aside.
        """
        watch = CrashWatch("t1")
        watch.broke("f", "i1")
        assert watch.seen("i1") == ()
        assert watch.seen("i2") == ()

    def test_other_incarnation_is_a_crash(self):
        watch = CrashWatch("t1")
        watch.broke("f", "i1")
        assert watch.seen("i2") == (Strike("f", "t1", "i1"),)
        assert watch.seen("i3") == ()


class TestStrikeBook:
    def test_second_crash_puts_aside_for_a_time(self):
        """A single request fells each target that runs it, and its caller sends it
        again until the zone has no target left.
        """
        book = StrikeBook()
        assert book.strike(0.0, crash(1)) == Suspect()
        assert book.strike(5.0, crash(2)) == Refused(REFUSE_SECONDS)
        assert isinstance(book.standing(600.0, "f"), Refused)
        assert book.standing(606.0, "f") == Clear()

    def test_same_crash_told_twice_counts_once(self):
        book = StrikeBook()
        book.strike(0.0, crash(1))
        assert book.strike(1.0, crash(1)) == Suspect()

    def test_crashes_far_apart_are_chance(self):
        """A request that is sent every day meets a dying target twice in a month.
        Refused, it would be so only on days when nobody asked in between.
        """
        book = StrikeBook()
        book.strike(0.0, crash(1))
        assert book.strike(700.0, crash(2)) == Suspect()

    def test_innocent_request_is_cleared_by_its_next_run(self):
        """It ran beside the one that felled its target, and then elsewhere."""
        book = StrikeBook()
        book.strike(0.0, crash(1))
        book.ran(1.0, "f")
        assert book.strike(2.0, crash(2)) == Suspect()

    def test_refused_request_is_not_cleared_by_a_late_success(self):
        book = StrikeBook()
        book.strike(0.0, crash(1))
        book.strike(0.0, crash(2))
        book.ran(1.0, "f")
        assert isinstance(book.standing(1.0, "f"), Refused)

    def test_takeover_keeps_what_both_books_know(self):
        """The host that counted the first crash dies by planned stop. Forgotten, the
        request would get two more targets.
        """
        old, new = StrikeBook(), StrikeBook()
        old.strike(100.0, crash(1))
        new.strike(7.0, crash(2))
        new.merge(8.0, old.export(101.0))
        new.merge(8.0, old.export(101.0))
        assert new.standing(8.0, "f") == Refused(pytest.approx(REFUSE_SECONDS - 1.0))

    def test_memory_is_bounded_and_keeps_what_matters(self):
        """A caller sends ever new requests, so that the book would fill the host."""
        book = StrikeBook(max_fingerprints=100)
        book.strike(0.0, crash(1, "bad"))
        book.strike(0.0, crash(2, "bad"))
        for n in range(1000):
            book.strike(1.0 + n * 0.1, crash(1, f"f{n}"))
        assert len(book.export(200.0)) <= 102
        assert isinstance(book.standing(200.0, "bad"), Refused)
