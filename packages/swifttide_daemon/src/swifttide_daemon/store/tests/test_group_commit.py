"""Tests of merging concurrent transactions into groups."""

import threading
from concurrent.futures import ThreadPoolExecutor

from expression import Error, Ok

from swifttide_daemon.store import (
    Check,
    Committed,
    Conflict,
    PlatformError,
    Transaction,
    Write,
)
from swifttide_daemon.store._group_commit import GroupCommit


def tx(key, version=0):
    check = Check("programs", key, version)
    return Transaction((check,), (Write("programs", key, {"of": key}),))


class Platform:
    """Store of row versions; blocks the first commit until `proceed` is set."""

    def __init__(self):
        self.versions = {}
        self.sent = []
        self.proceed = threading.Event()
        self.fails = False

    def commit(self, sent):
        self.sent.append(sent)
        if len(self.sent) == 1:
            self.proceed.wait(10)
        if self.fails:
            return Error(PlatformError("timeout", may_have_committed=True))
        for check in sent.checks:
            if self.versions.get(check.key, 0) != check.version:
                return Ok(Conflict("programs", check.key, 0))
        for write in sent.writes:
            self.versions[write.key] = self.versions.get(write.key, 0) + 1
        return Ok(Committed(tuple(self.versions[w.key] for w in sent.writes)))


def submit_together(platform, transactions):
    """Submit transactions that wait for the end of the current interval."""
    group = GroupCommit(platform.commit, interval_seconds=0.3, burst=1)
    platform.proceed.set()
    group.submit(tx("first"))
    with ThreadPoolExecutor(len(transactions)) as pool:
        return list(pool.map(group.submit, transactions))


class TestGroupCommit:
    def test_single_transaction_is_sent_immediately(self):
        platform = Platform()
        platform.proceed.set()
        assert GroupCommit(platform.commit).submit(tx("a")).ok == Committed((1,))

    def test_burst_is_sent_without_delay(self):
        """The intent and the outcome of a call are milliseconds apart. If they were
        delayed as under load, each call of an idle host would wait needlessly.
        """
        platform = Platform()
        platform.proceed.set()
        group = GroupCommit(platform.commit, interval_seconds=3600.0, burst=3)
        for key in "abc":
            assert group.submit(tx(key)).ok == Committed((1,))

    def test_waiting_transactions_are_merged(self):
        """Many turns end at once. If each sent its own transaction, they would exhaust
        the platform's write capacity, and turns on all hosts would wait.
        """
        platform = Platform()
        platform.versions["b"] = 6
        outcomes = submit_together(platform, [tx("a"), tx("b", 6), tx("c")])
        assert len(platform.sent) == 2
        assert [o.ok for o in outcomes] == [
            Committed((1,)),
            Committed((7,)),
            Committed((1,)),
        ]

    def test_conflict_does_not_fail_other_transactions(self):
        """Another host has taken over one of the programs."""
        platform = Platform()
        platform.versions["b"] = 6
        outcomes = submit_together(platform, [tx("a"), tx("b", 5), tx("c")])
        assert isinstance(outcomes[1].ok, Conflict)
        assert outcomes[0].ok == outcomes[2].ok == Committed((1,))

    def test_transactions_on_the_same_row_are_not_merged(self):
        """Two sub-agents update the row of their common root. The second must meet the
        version that the first wrote, or both would be reported as committed although
        one overwrote the other.
        """
        platform = Platform()
        outcomes = submit_together(platform, [tx("a"), tx("a")])
        kinds = sorted(type(o.ok).__name__ for o in outcomes)
        assert kinds == ["Committed", "Conflict"]

    def test_lost_response_leaves_the_outcome_unknown(self):
        platform = Platform()
        group = GroupCommit(platform.commit)
        platform.proceed.set()
        platform.fails = True
        assert group.submit(tx("a")).error.may_have_committed
