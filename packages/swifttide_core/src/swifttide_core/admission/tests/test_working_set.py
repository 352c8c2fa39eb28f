"""New programs wait while a target's memory is spoken for."""

from swifttide_core.admission import (
    AdmissionConfig,
    Admitted,
    LoadReport,
    Outcome,
    Queued,
    TargetQueue,
    Ticket,
    WorkingSet,
)

CAPACITY = 10_000.0


def make_full_queue():
    """Return a queue whose two programs have 9,600 of 10,000 tokens, both running."""
    cfg = AdmissionConfig(spare_fraction=0.25, initial_stay_seconds=5.0)
    queue = TargetQueue.from_config(cfg, 4)
    queue.report_load(0.0, LoadReport(0.0, 0, 0, cache_capacity_tokens=CAPACITY))
    for name in ("a", "b"):
        queue.offer(0.0, make_ticket(name))
    return queue


def make_ticket(name, **fields):
    fields.setdefault("expected_context_tokens", 4_800.0)
    return Ticket(f"t-{name}", "c", f"p-{name}", context_tokens=1_000.0, **fields)


class TestNewPrograms:
    def test_new_program_waits_until_another_ends(self):
        """More programs start than the engine has memory for. Taken in, each pushes
        the others' histories out, and all compute theirs again at every turn.
        """
        queue = make_full_queue()
        assert isinstance(queue.offer(1.0, make_ticket("c")), Queued)
        assert queue.end_program(2.0, "p-a") == (Admitted("t-c", 152.0),)

    def test_calls_of_started_programs_are_not_held_back(self):
        queue = make_full_queue()
        queue.offer(1.0, make_ticket("c"))
        later = make_ticket("d", attained_tokens=500.0)
        assert isinstance(queue.offer(1.0, later), Admitted)

    def test_urgent_calls_are_not_held_back(self):
        """A counter tablet asks for stock while weekly boxes wait for room."""
        queue = make_full_queue()
        queue.offer(1.0, make_ticket("c"))
        assert isinstance(queue.offer(1.0, make_ticket("d", urgency=1)), Admitted)

    def test_first_calls_of_sub_agents_are_held_back(self):
        """One program starts forty sub-agents. Passing as calls under way, they would
        push out the histories of every other program.
        """
        queue = make_full_queue()
        sub_agent = make_ticket("s", attained_tokens=500.0, new_history=True)
        assert isinstance(queue.offer(1.0, sub_agent), Queued)

    def test_idle_target_admits_new_programs(self):
        """All programs of a target pause for their tools. It would idle until one of
        them ends, although computing histories again costs nobody anything.
        """
        queue = make_full_queue()
        queue.offer(1.0, make_ticket("c"))
        queue.release(2.0, "t-a", Outcome(tokens=100.0))
        decisions = queue.release(2.0, "t-b", Outcome(tokens=100.0))
        assert [d.ticket_id for d in decisions] == ["t-c"]

    def test_unknown_capacity_holds_no_program_back(self):
        queue = TargetQueue.from_config(AdmissionConfig(), 4)
        answers = [queue.offer(0.0, make_ticket(str(i))) for i in range(4)]
        assert all(isinstance(answer, Admitted) for answer in answers)


class TestForgetIdle:
    def test_idle_program_is_removed(self):
        """The notice that a program ended is lost. Its room would be taken for good,
        and after some hundred such losses no new program would enter.
        """
        held = WorkingSet(
            fill_fraction=1.0, idle_seconds=60.0, initial_stay_seconds=5.0
        )
        held.set_capacity(CAPACITY)
        held.set_history(0.0, "p", 9_000.0, 0.0)
        held.remove_idle(59.0)
        assert not held.has_room(5_000.0)
        held.remove_idle(61.0)
        held.set_history(61.0, "q", 1_000.0, 0.0)
        assert held.has_room(5_000.0)
