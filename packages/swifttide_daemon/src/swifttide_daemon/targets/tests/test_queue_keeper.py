"""The queue of a target as its holder's threads use it."""

from swifttide_core.documents import Target, TargetKind
from swifttide_daemon.targets import AcquireRequest
from swifttide_daemon.targets._queue_keeper import QueueKeeper

TARGET = Target("t", TargetKind.SERVICE, "z", "http://127.0.0.1:1", "s")


def call(ticket_id):
    return AcquireRequest(
        ticket_id=ticket_id,
        customer="c",
        program="p",
        weight=1.0,
        urgency=0,
        deadline_in_seconds=60.0,
        expected_tokens=1.0,
        attained_tokens=0.0,
        context_tokens=0.0,
        expected_context_tokens=0.0,
        expected_remaining_seconds=0.0,
        new_history=False,
        waited_seconds=0.0,
        wait_seconds=0.0,
    )


class TestRenew:
    def test_call_that_runs_for_long(self):
        """A stream runs longer than a grant lives. Its host renews the grant; a fault
        there would let the queue admit more calls than the target can take.
        """
        keeper = QueueKeeper.from_target(TARGET)
        assert keeper.acquire(call("a")).admitted
        keeper.renew((call("a"),))
        assert keeper.acquire(call("a")).admitted

    def test_holder_that_took_the_queue_over(self):
        """The former holder died. The new one must count the calls that run."""
        keeper = QueueKeeper.from_target(TARGET)
        keeper.renew((call("a"), call("b")))
        assert keeper.acquire(call("c")).snapshot.running == 3
