"""Waiting of new programs while a target's memory is reserved by others."""

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
    """Return a queue with two running programs that reserve 9,600 of 10,000 tokens."""
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
        """Guards against more programs than the engine has memory for.

        If all were admitted, they would evict each other's histories, which are then
        computed again at every turn.
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
        """Guards against urgent calls behind programs that wait for memory."""
        queue = make_full_queue()
        queue.offer(1.0, make_ticket("c"))
        assert isinstance(queue.offer(1.0, make_ticket("d", urgency=1)), Admitted)

    def test_first_calls_of_sub_agents_are_held_back(self):
        """Guards against sub-agents that evict the histories of other programs.

        A program can start forty sub-agents. If their first calls counted as calls of a
        program that has started, they would never be held back.
        """
        queue = make_full_queue()
        sub_agent = make_ticket("s", attained_tokens=500.0, new_history=True)
        assert isinstance(queue.offer(1.0, sub_agent), Queued)

    def test_idle_target_admits_new_programs(self):
        """Guards against a target that idles while all of its programs run tools.

        Without this rule the target would idle until one of them ends, although it has
        time to compute histories again without delaying any call.
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
        """Guards against memory that stays reserved after a lost notice.

        If the notice of a program's end is lost, its memory would stay reserved
        forever. After some hundred lost notices no new program would be admitted.
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
