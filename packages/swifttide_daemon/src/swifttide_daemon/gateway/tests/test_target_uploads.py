"""Bodies that a target hasn't read yet are bounded."""

import asyncio
from types import SimpleNamespace

import pytest

from swifttide_core.buffering import MemoryBudget
from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.targets._target_answer import NotRun, TargetFailure
from swifttide_daemon.gateway.targets._target_client import TargetClient
from swifttide_daemon.gateway.targets._target_uploads import TargetUploads
from swifttide_standins.paused_clock import run_paused

MEMORY_BYTES = 32_000
"""Lets one target have 1,000 unsent bytes."""


class FakeConnection:
    """A connection with unsent bytes."""

    def __init__(self, unsent):
        self.unsent = unsent
        self.closing = False
        transport = SimpleNamespace(
            get_write_buffer_size=lambda: self.unsent,
            is_closing=lambda: self.closing,
        )
        self.writer = SimpleNamespace(transport=transport)


class FakePool:
    """Opens a connection while another body is sent to the same target."""

    def __init__(self, uploads):
        self._uploads = uploads
        self.n_taken = self.n_given_back = 0

    async def take(self, ip, port):
        self.n_taken += 1
        self._uploads.record_sent("t1", FakeConnection(900))
        return FakeConnection(0), False

    def give_back(self, ip, port, conn, idle_seconds):
        self.n_given_back += 1


class TestTargetUploads:
    def wait(self, uploads, n_bytes, free_after=None, conn=None):
        """Return the seconds for which a body waits, with 4 s left."""

        async def main():
            loop = asyncio.get_running_loop()
            if free_after is not None:
                loop.call_later(free_after, lambda: setattr(conn, "unsent", 0))
            began = loop.time()
            until = uploads.give_up_at(began + 4.0)
            await uploads.wait_for_room("t1", n_bytes, until)
            return loop.time() - began

        return run_paused(main())

    def test_body_waits_until_the_target_has_read_others(self):
        # Bodies for a target that reads slowly would fill the memory of the host.
        budget = MemoryBudget(MEMORY_BYTES)
        uploads = TargetUploads(budget)
        conn = FakeConnection(900)
        uploads.record_sent("t1", conn)
        assert budget.held_bytes == 900
        assert uploads.has_room("t1", 100)
        assert uploads.has_room("t2", 5_000)
        waited = self.wait(uploads, 200, 0.2, conn)
        assert waited == pytest.approx(0.2, abs=0.03)
        uploads.refresh()
        assert budget.held_bytes == 0

    def test_body_is_refused_as_not_run_in_time(self):
        # A request must not spend all its time on one target.
        uploads = TargetUploads(MemoryBudget(MEMORY_BYTES))
        uploads.record_sent("t1", FakeConnection(900))
        with pytest.raises(TargetFailure) as caught:
            self.wait(uploads, 200)
        assert caught.value.outcome == NotRun("target reads too slowly")

    def test_closed_connection_and_large_body(self):
        # A body larger than the bound would never be sent.
        uploads = TargetUploads(MemoryBudget(MEMORY_BYTES))
        conn = FakeConnection(900)
        uploads.record_sent("t1", conn)
        conn.closing = True
        assert uploads.has_room("t1", 5_000)

    def test_room_that_is_taken_while_connecting(self):
        # Bodies whose connections open at the same time would exceed the bound.
        uploads = TargetUploads(MemoryBudget(MEMORY_BYTES))
        pool = FakePool(uploads)
        target = TargetEntry("t1", "s", "10.0.0.1", 1, "zone-a", 12)

        async def main():
            client = TargetClient(None, pool, None, uploads)
            expires_at = asyncio.get_running_loop().time() + 4.0
            await client.connect(target, 200, expires_at)

        with pytest.raises(TargetFailure) as caught:
            run_paused(main())
        assert isinstance(caught.value.outcome, NotRun)
        assert pool.n_taken == pool.n_given_back == 1

    def test_no_limit(self):
        uploads = TargetUploads()
        uploads.record_sent("t1", FakeConnection(10**9))
        assert uploads.has_room("t1", 10**9)
