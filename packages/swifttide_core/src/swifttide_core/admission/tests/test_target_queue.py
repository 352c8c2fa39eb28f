"""Decisions of a target's queue, as seen by callers."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttide_core.admission import (
    AdmissionConfig,
    Admitted,
    LoadReport,
    Outcome,
    OutcomeStatus,
    Queued,
    Refused,
    TargetQueue,
    Ticket,
)
from swifttide_core.verdicts import Reason, Verdict

CFG = AdmissionConfig(initial_service_seconds=1.0)


def make_queue(cfg=CFG, max_concurrency=2):
    return TargetQueue.from_config(cfg, max_concurrency)


def make_ticket(ticket_id, customer="c", **fields):
    fields.setdefault("expected_tokens", 100.0)
    return Ticket(ticket_id, customer, f"p-{ticket_id}", **fields)


def admitted_ids(decisions):
    return [d.ticket_id for d in decisions if isinstance(d, Admitted)]


class TestOffer:
    def test_admits_up_to_the_limit_then_queues(self):
        queue = make_queue()
        answers = [queue.offer(0.0, make_ticket(f"t{i}")) for i in range(3)]
        assert [type(a) for a in answers] == [Admitted, Admitted, Queued]

    def test_repeated_offer_gets_the_same_grant(self):
        """Guards against two grants for one call.

        The answer to an offer is lost and the entry host offers the call again. A
        second grant would leave capacity of the target idle until the grant expires.
        """
        queue = make_queue()
        first = queue.offer(0.0, make_ticket("t0"))
        assert queue.offer(0.1, make_ticket("t0")) == first
        assert queue.snapshot(0.1).running == 1

    def test_call_with_too_long_expected_wait_is_refused(self):
        """Guards against calls that wait in vain in a burst.

        Calls that the target can't serve in time are refused at once with a retry time,
        and none of them runs.
        """
        queue = make_queue()
        answers = [queue.offer(0.0, make_ticket(f"t{i}")) for i in range(100)]
        refused = [a for a in answers if isinstance(a, Refused)]
        assert 20 < len(refused) < 80
        for answer in refused:
            assert answer.refusal.verdict is Verdict.NOT_RUN
            assert answer.refusal.reason is Reason.QUEUE_FULL
            assert 0 < answer.refusal.retry_after_seconds <= CFG.max_retry_seconds

    def test_retry_after_follows_the_drain_rate(self):
        """Guards against a retry time that doesn't depend on the target's speed.

        Two targets are full and one of them is ten times slower. With a fixed retry
        time callers of the slow one would return to a full queue.
        """
        cfg = AdmissionConfig(max_retry_seconds=1000.0)
        waits = []
        for seconds in (1.0, 10.0):
            queue = make_queue(cfg, 1)
            now = 0.0
            for i in range(20):
                queue.offer(now, make_ticket(f"w{i}"))
                now += seconds
                queue.release(now, f"w{i}", Outcome(tokens=100.0))
            for i in range(200):
                answer = queue.offer(now, make_ticket(f"t{i}"))
            waits.append(answer.refusal.retry_after_seconds)
        assert waits[1] > 3 * waits[0]

    def test_deadline_that_can_not_be_met_is_refused(self):
        queue = make_queue()
        for i in range(20):
            queue.offer(0.0, make_ticket(f"t{i}"))
        answer = queue.offer(0.0, make_ticket("late", deadline_at=3.0))
        assert isinstance(answer, Refused)

    def test_started_programs_wait_where_new_ones_are_refused(self):
        """Guards against programs that are cut off in overload.

        If later calls of programs were refused as easily as first calls, most programs
        would be cut off half way and none would finish.
        """
        queue = make_queue()
        for i in range(100):
            queue.offer(0.0, make_ticket(f"t{i}"))
        fresh = queue.offer(0.0, make_ticket("fresh"))
        later = queue.offer(0.0, make_ticket("later", attained_tokens=5000.0))
        assert isinstance(fresh, Refused)
        assert isinstance(later, Queued)

    @pytest.mark.parametrize("fields", [{"weight": 0.0}, {"expected_tokens": -1.0}])
    def test_invalid_ticket_raises(self, fields):
        with pytest.raises(ValueError, match="must be"):
            make_queue().offer(0.0, make_ticket("t", **fields))


class TestRelease:
    def test_customer_with_fewest_tokens_goes_next(self):
        """Guards against a customer with many calls that delays the others.

        One customer has many calls waiting when another sends its first, which goes
        next instead of last.
        """
        queue = make_queue()
        for i in range(12):
            queue.offer(0.0, make_ticket(f"hot{i}", "hot"))
        queue.offer(0.0, make_ticket("small", "small"))
        decisions = queue.release(1.0, "hot0", Outcome(tokens=100.0))
        assert admitted_ids(decisions) == ["small"]

    def test_unknown_release_changes_nothing(self):
        queue = make_queue()
        queue.offer(0.0, make_ticket("t0"))
        assert queue.release(1.0, "other", Outcome()) == ()
        assert queue.snapshot(1.0).running == 1

    def test_urgent_call_goes_first_within_its_customer(self):
        queue = make_queue()
        for i in range(5):
            queue.offer(0.0, make_ticket(f"t{i}"))
        queue.offer(0.0, make_ticket("stock-check", urgency=1))
        decisions = queue.release(1.0, "t0", Outcome())
        assert admitted_ids(decisions) == ["stock-check"]


class TestTick:
    def test_grant_of_a_dead_host_expires(self):
        """Guards against grants of a failed host that are never released.

        Without expiry the target would count as full forever and all waiting calls
        would be refused.
        """
        queue = make_queue()
        for i in range(3):
            queue.offer(0.0, make_ticket(f"t{i}"))
        assert queue.tick(CFG.lease_seconds - 1.0) == ()
        assert admitted_ids(queue.tick(CFG.lease_seconds + 1.0)) == ["t2"]

    def test_renewed_grant_stays(self):
        queue = make_queue()
        ticket = make_ticket("t0")
        queue.offer(0.0, ticket)
        queue.renew(100.0, ticket)
        queue.tick(CFG.lease_seconds + 1.0)
        assert queue.snapshot(200.0).running == 1

    def test_new_holder_counts_calls_that_run(self):
        """Guards against twice the limit after another host takes over the queue.

        The new host does not know the running calls until they are renewed, and would
        otherwise admit as many again.
        """
        queue = make_queue()
        for i in range(2):
            queue.renew(0.0, make_ticket(f"t{i}"))
        assert isinstance(queue.offer(1.0, make_ticket("t2")), Queued)

    def test_waiting_call_is_refused_when_its_deadline_passes(self):
        cfg = AdmissionConfig(initial_service_seconds=1.0)
        queue = make_queue(cfg, 1)
        queue.offer(0.0, make_ticket("t0"))
        queue.offer(0.0, make_ticket("t1", deadline_at=8.0))
        assert queue.tick(6.0) == ()
        decisions = queue.tick(7.5)
        assert [d.refusal.reason for d in decisions] == [Reason.DEADLINE]


class TestSetLeaving:
    def test_waiting_calls_go_elsewhere(self):
        queue = make_queue()
        for i in range(4):
            queue.offer(0.0, make_ticket(f"t{i}"))
        decisions = queue.set_leaving(1.0)
        assert [d.ticket_id for d in decisions] == ["t2", "t3"]
        assert all(d.try_elsewhere for d in decisions)
        assert isinstance(queue.offer(1.0, make_ticket("t9")), Refused)


class TestReportLoad:
    def test_calls_waiting_inside_the_engine_lower_the_limit(self):
        cfg = AdmissionConfig()
        queue = make_queue(cfg, 16)
        queue.report_load(10.0, LoadReport(measured_at=9.0, running=8, waiting=5))
        assert queue.snapshot(10.0).limit < 16

    def test_report_from_before_a_decrease_does_not_count_again(self):
        """Guards against repeated decreases for one congestion.

        Load reports arrive seconds late. If each report that was measured under the old
        limit lowered the limit again, one burst would reduce it to one.
        """
        cfg = AdmissionConfig(cooldown_seconds=0.0)
        queue = make_queue(cfg, 16)
        queue.report_load(10.0, LoadReport(measured_at=9.0, running=8, waiting=5))
        limit = queue.snapshot(10.0).limit
        queue.report_load(11.0, LoadReport(measured_at=9.5, running=8, waiting=5))
        assert queue.snapshot(11.0).limit == limit


class TestRandomOperations:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "release", "withdraw", "tick", "load"]),
                st.integers(0, 30),
                st.floats(0.0, 3.0),
            ),
            max_size=80,
        )
    )
    def test_each_call_is_decided_once(self, steps):
        """Checks random sequences of operations.

        Each call is admitted or refused once, and the grants never exceed the target's
        upper bound.
        """
        queue = make_queue(AdmissionConfig(), 4)
        now, final, running = 0.0, {}, set()
        for action, number, seconds in steps:
            now += seconds
            ticket_id = f"t{number}"
            decisions = ()
            match action:
                case "offer" if ticket_id not in final:
                    ticket = make_ticket(
                        ticket_id, f"c{number % 3}", deadline_at=now + 20
                    )
                    decisions = (queue.offer(now, ticket),)
                case "release":
                    running.discard(ticket_id)
                    decisions = queue.release(now, ticket_id, Outcome())
                case "withdraw":
                    running.discard(ticket_id)
                    final.setdefault(ticket_id, "withdrawn")
                    decisions = queue.withdraw(now, ticket_id)
                case "tick":
                    decisions = queue.tick(now)
                case "load":
                    report = LoadReport(now, 1, number % 2)
                    decisions = queue.report_load(now, report)
            for decision in decisions:
                match decision:
                    case Admitted(ticket_id=i):
                        assert i not in final
                        final[i] = "admitted"
                        running.add(i)
                    case Refused(ticket_id=i, refusal=refusal):
                        assert i not in final
                        assert math.isfinite(refusal.retry_after_seconds)
                        final[i] = "refused"
            assert len(running) <= 4


class TestFailedOutcome:
    def test_failures_lower_the_limit(self):
        queue = make_queue(AdmissionConfig(), 16)
        queue.offer(0.0, make_ticket("t0"))
        queue.release(5.0, "t0", Outcome(OutcomeStatus.FAILED))
        assert queue.snapshot(5.0).limit < 16
