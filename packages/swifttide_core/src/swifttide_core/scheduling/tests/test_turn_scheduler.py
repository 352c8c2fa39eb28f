"""The loads of `docs/design/contended-load.md`, replayed without a network."""

import pytest

from swifttide_core.scheduling import WorkClass
from swifttide_core.scheduling._target_room import QUEUED_PER_TARGET
from swifttide_core.scheduling.tests._replay import Replay

URGENT = WorkClass(0, "a", "short")
LONG = WorkClass(2, "b", "long")
EQUAL_TARGETS = {f"t{n}": 1.0 for n in range(11)}


def burst_of_the_lowest_rank(seed: int) -> Replay:
    """Half of the slots in use, then a burst of long programs of the lowest rank."""
    replay = Replay(EQUAL_TARGETS, seed=seed)
    replay.offer(15.0, 0.0, 20.0, URGENT, 3, 0.25, 1.3)
    replay.offer(8.0, 0.0, 20.0, LONG, 11, 0.2, 1.4)
    replay.offer(11.0, 4.0, 11.0, LONG, 11, 0.2, 1.4)
    replay.run(30.0)
    return replay


class TestBurstOfTheLowestRank:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_urgent_programs_are_not_affected(self, seed):
        """Programs of all ranks were refused alike in a burst of the lowest."""
        replay = burst_of_the_lowest_rank(seed)
        assert replay.fraction_in_time("short", 4.0, 14.0) >= 0.95

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_slots_do_not_idle_while_programs_are_refused(self, seed):
        """The learned bound fell to a third of the slots within two seconds."""
        replay = burst_of_the_lowest_rank(seed)
        assert replay.fraction_in_time("long", 4.0, 11.0) >= 0.6

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_normal_within_a_second_after_the_burst(self, seed):
        """Programs were refused for five seconds after a burst had ended."""
        replay = burst_of_the_lowest_rank(seed)
        assert replay.fraction_in_time("long", 12.0, 20.0) >= 0.95

    def test_turns_wait_at_the_scheduler(self):
        """Turns waited in targets' queues, in order of arrival whatever their rank."""
        assert burst_of_the_lowest_rank(1).most_running <= 6 + QUEUED_PER_TARGET


class TestCustomerWithDisproportionateLoad:
    def test_others_of_its_rank_are_served(self):
        """One customer's burst took the slots of all customers of its rank."""
        replay = Replay(EQUAL_TARGETS)
        replay.offer(12.0, 0.0, 12.0, WorkClass(1, "usual", "usual"), 4, 0.1, 1.5)
        replay.offer(90.0, 3.0, 9.0, WorkClass(1, "hot", "hot"), 4, 0.1, 1.5)
        replay.run(20.0)
        assert replay.fraction_in_time("usual", 3.0, 9.0) >= 0.9
        assert replay.fraction_in_time("hot", 3.0, 9.0) >= 0.3


class TestUnequalTargets:
    def test_slow_targets_get_little_while_fast_ones_are_free(self):
        """A third of the targets took 2.4 times as long and wasn't seen as slow."""
        factors = {f"t{n}": 1.7 if n % 3 == 2 else 0.7 for n in range(12)}
        replay = Replay(factors)
        replay.offer(12.0, 0.0, 10.0, URGENT, 3, 0.25, 1.5)
        replay.run(15.0)
        late = {t: sum(at > 2.0 for at in times) for t, times in replay.placed.items()}
        slow = [late[t] for t, factor in factors.items() if factor > 1.0]
        fast = [late[t] for t, factor in factors.items() if factor < 1.0]
        assert max(slow) < min(fast) / 2
        assert replay.fraction_in_time("short", 2.0) >= 0.98


class TestRefusedPrograms:
    def test_return_at_the_announced_time_is_honoured(self):
        """Refused programs competed anew with those that had just arrived."""
        replay = Replay(EQUAL_TARGETS)
        replay.offer(120.0, 0.0, 6.0, URGENT, 3, 0.05, 1.6)
        replay.run(12.0)
        returned = [p for p in replay.programs if p.n_refused == 1]
        served = [p for p in returned if p.ended_at is not None]
        assert returned
        assert len(served) >= 0.9 * len(returned)
