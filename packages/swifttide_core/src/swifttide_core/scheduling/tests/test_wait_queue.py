"""Order of the work that waits for a slot."""

import math
import random
from statistics import fmean

from swifttide_core.scheduling import FairShares, Waiter, WaitQueue, WorkClass
from swifttide_core.scheduling._wait_queue import MAX_STALE_GIVE_UPS, MIN_RANK_FRACTION

TURN_SECONDS = 0.2


def make_waiter(key, rank=0, customer="a", is_begun=False, since=0.0, give_up=math.inf):
    return Waiter(key, WorkClass(rank, customer), is_begun, since, give_up)


def make_queue(*waiters):
    queue = WaitQueue()
    for waiter in waiters:
        queue.add(waiter)
    return queue


def take_all(queue, shares, now=10.0):
    return [queue.next(shares, now).key for _ in range(len(queue))]


def replay(arrivals_per_second, n_places, seconds, seed=1):
    """Serve random arrivals by class; return the waits of the served turns by class.

    No turn may overtake one of a more urgent rank unless its own rank is below a tenth.
    """
    rng, queue, shares = random.Random(seed), WaitQueue(), FairShares()
    waits = {work: [] for work in arrivals_per_second}
    ends, step, n_added = [], 0.005, 0
    for now in (step * i for i in range(round(seconds / step))):
        for work, rate in arrivals_per_second.items():
            if rng.random() < rate * step:
                n_added += 1
                queue.add(Waiter(n_added, work, False, now, now + 1.5))
        queue.expire(now)
        ends = [end for end in ends if end > now]
        while len(ends) < n_places and (waiter := queue.next(shares, now)):
            rank = waiter.work.rank
            if min(queue.counts_by_rank(), default=rank) < rank:
                assert shares.rank_fraction(rank, now) < MIN_RANK_FRACTION
            turn_seconds = rng.uniform(0.5, 1.5) * TURN_SECONDS
            shares.record(waiter.work, turn_seconds, now)
            waits[waiter.work].append(now - waiter.since)
            ends.append(now + turn_seconds)
    return waits


class TestOrder:
    def test_work_in_progress_goes_before_new_work(self):
        """Guards against programs that end late because newer ones are admitted."""
        queue = make_queue(
            make_waiter("new", rank=0, since=1.0),
            make_waiter("begun", rank=2, is_begun=True, since=5.0),
        )
        assert take_all(queue, FairShares()) == ["begun", "new"]

    def test_ranks_then_least_served_customer_then_oldest(self):
        shares = FairShares()
        shares.record(WorkClass(0, "a"), 2.0, 10.0)
        shares.record(WorkClass(1, "a"), 1.0, 10.0)
        queue = make_queue(
            make_waiter("low", rank=1, since=0.0),
            make_waiter("served", since=1.0),
            make_waiter("late", customer="c", since=4.0),
            make_waiter("early", customer="b", since=3.0),
            make_waiter("middle", customer="c", since=3.5),
        )
        assert take_all(queue, shares) == ["early", "middle", "late", "served", "low"]

    def test_rank_below_its_minimum_goes_first_once_a_more_urgent_one_was_served(self):
        """Guards against starvation, and against the reverse order without load."""
        waiters = make_waiter("low", rank=2), make_waiter("high", rank=0)
        shares = FairShares()
        assert take_all(make_queue(*waiters), shares) == ["high", "low"]
        shares.record(WorkClass(2), 9.5, 10.0)
        shares.record(WorkClass(0), 0.5, 10.0)
        assert take_all(make_queue(*waiters), shares) == ["high", "low"]
        shares.record(WorkClass(0), 99.0, 10.0)
        assert take_all(make_queue(*waiters), shares) == ["low", "high"]

    def test_rank_that_returns_leaves_two_of_three_places(self):
        """Guards against a rank that takes all slots until it has caught up."""
        shares = FairShares()
        shares.record(WorkClass(0), 100.0, 10.0)
        queue = make_queue(
            *(make_waiter(("high", n), rank=0) for n in range(30)),
            *(make_waiter(("low", n), rank=2) for n in range(30)),
        )
        taken = [queue.next(shares, 10.0).key[0] for _ in range(30)]
        assert taken.count("high") == 20

    def test_waiters_that_may_not_be_taken_keep_their_place(self):
        queue = make_queue(
            *(make_waiter(i, customer="ab"[i % 2], since=i) for i in range(6)),
            make_waiter(6, rank=1),
        )
        asked = []

        def may_take(waiter):
            asked.append(waiter.key)
            return waiter.key == 6

        assert queue.next(FairShares(), 10.0, may_take).key == 6
        assert asked == list(range(7))
        assert queue.next(FairShares(), 10.0, lambda waiter: False) is None
        assert take_all(queue, FairShares()) == list(range(6))

    def test_count_ahead_agrees_with_the_order(self):
        rng, shares = random.Random(3), FairShares()
        served = [(0, "a", 9), (0, "b", 9), (1, "a", 4), (2, "c", 5)]
        for rank, customer, seconds in served:
            shares.record(WorkClass(rank, customer), seconds, 10.0)
        waiters = [
            make_waiter(i, i % 3, rng.choice("abcd"), rng.random() < 0.5, i // 7)
            for i in range(60)
        ]
        queue = make_queue(*waiters)
        ahead = {w.key: queue.count_ahead(w, shares, 10.0) for w in waiters}
        # Only rank 9 is below its minimum, and goes before the others' new work.
        n_before_9 = sum(w.is_begun for w in waiters)
        assert queue.count_ahead(make_waiter("x", 9), shares, 10.0) == n_before_9
        order = take_all(queue, shares)
        assert [ahead[key] for key in order] == list(range(60))


class TestReplay:
    def test_burst_of_the_lowest_rank_beside_the_highest(self):
        """Guards against a burst that delays urgent turns, and against starvation."""
        urgent, bulk = WorkClass(0, "a"), WorkClass(2, "b")
        waits = replay({urgent: 60, bulk: 190}, n_places=20, seconds=10)
        assert fmean(waits[urgent]) < 0.05
        assert max(waits[urgent]) <= TURN_SECONDS

    def test_lowest_rank_keeps_a_tenth_under_a_burst_of_the_highest(self):
        """Guards against starvation of the lowest rank."""
        urgent, bulk = WorkClass(0, "a"), WorkClass(2, "b")
        waits = replay({urgent: 180, bulk: 60}, n_places=20, seconds=10)
        n_served = len(waits[urgent]) + len(waits[bulk])
        assert 0.09 * n_served < len(waits[bulk]) < 0.13 * n_served

    def test_customer_with_six_times_the_load_delays_only_itself(self):
        """Guards against waits of all customers in the burst of one."""
        usual = {WorkClass(0, name): 15 for name in "abcd"}
        heavy = WorkClass(0, "heavy")
        before = replay({**usual, heavy: 15}, n_places=20, seconds=10)
        during = replay({**usual, heavy: 90}, n_places=20, seconds=10)
        for work in usual:
            assert fmean(during[work]) < fmean(before[work]) + 0.05
        assert fmean(during[heavy]) > 0.5


class TestMembership:
    def test_caller_that_leaves_is_removed_at_once(self):
        """Guards against slots for callers that have disconnected."""
        queue = make_queue(make_waiter("x"), make_waiter("y", rank=1))
        assert queue.remove("x").key == "x"
        assert queue.remove("x") is None
        assert [key in queue for key in "xy"] == [False, True]
        assert queue.counts_by_rank() == {1: 1}
        assert take_all(queue, FairShares()) == ["y"]

    def test_waiters_expire_in_the_order_of_their_times(self):
        queue = make_queue(*(make_waiter(t, give_up=t) for t in (12.0, 11.0, 13.0)))
        assert queue.expire(10.9) == []
        assert [waiter.key for waiter in queue.expire(12.0)] == [11.0, 12.0]
        assert len(queue) == 1

    def test_full_queue_only_replaces(self):
        """Guards against a repeated request that is refused or counted twice."""
        queue = WaitQueue(max_waiters=2)
        assert queue.add(make_waiter("x", give_up=11.0))
        assert queue.add(make_waiter("y"))
        assert not queue.add(make_waiter("z"))
        assert queue.add(make_waiter("x", rank=1, give_up=20.0))
        assert queue.counts() == {(0, "a"): 1, (1, "a"): 1}
        assert queue.expire(15.0) == []

    def test_memory_of_expiry_times_is_bounded(self):
        """Guards against one entry for each turn of the last minutes."""
        queue = WaitQueue()
        for number in range(5_000):
            queue.add(make_waiter(number))
            queue.remove(number)
        assert len(queue._give_ups) <= MAX_STALE_GIVE_UPS + 1
