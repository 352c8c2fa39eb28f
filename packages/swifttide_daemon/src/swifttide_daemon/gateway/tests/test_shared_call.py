"""Calls that several tasks share, on a paused clock."""

import asyncio

from swifttide_daemon.gateway.store._shared_call import SharedCall
from swifttide_standins.paused_clock import run_paused


class Counter:
    """Calls that take a second, and count."""

    def __init__(self):
        self.n_calls = 0

    async def __call__(self):
        self.n_calls += 1
        number = self.n_calls
        await asyncio.sleep(1.0)
        return number


class TestSharedCall:
    def test_tasks_that_ask_together_share_a_call(self):
        async def main():
            call = SharedCall(Counter())
            return await asyncio.gather(*(call.outcome() for _ in range(5)))

        assert run_paused(main()) == [1] * 5

    def test_outcome_is_not_older_than_the_question(self):
        """Guards against an answer that the store gave before the question."""

        async def main():
            call = SharedCall(Counter())
            first = asyncio.create_task(call.outcome())
            await asyncio.sleep(0.5)
            late = await asyncio.gather(call.outcome(), call.outcome())
            return await first, late, await call.outcome()

        assert run_paused(main()) == (1, [2, 2], 3)

    def test_cancelled_task_leaves_the_call_to_others(self):
        async def main():
            call = SharedCall(Counter())
            first = asyncio.create_task(call.outcome())
            other = asyncio.create_task(call.outcome())
            await asyncio.sleep(0.5)
            first.cancel()
            return await other

        assert run_paused(main()) == 1
