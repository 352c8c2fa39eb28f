"""Tests for the renewal of grants in the queue of a target."""

from swifttide_core.documents import Target, TargetKind
from swifttide_daemon.targets import AcquireRequest
from swifttide_daemon.targets._queue_manager import QueueManager

TARGET = Target("t", TargetKind.SERVICE, "z", "http://127.0.0.1:1", "s")


def make_request(ticket_id):
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
    def test_renewed_call_stays_admitted(self):
        """Guards against a renewal that loses the grant of a long call.

        A stream can run longer than the lifetime of a grant. If its renewal failed, the
        queue would admit more calls than the limit of the target.
        """
        manager = QueueManager.from_target(TARGET)
        assert manager.acquire(make_request("a")).admitted
        manager.renew((make_request("a"),))
        assert manager.acquire(make_request("a")).admitted

    def test_new_holder_counts_renewed_calls(self):
        """Guards against admission above the limit after a holder crashed.

        The new holder must count the calls that are still running.
        """
        manager = QueueManager.from_target(TARGET)
        manager.renew((make_request("a"), make_request("b")))
        assert manager.acquire(make_request("c")).snapshot.running == 3
