"""A call that several tasks make at the same time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Outcome = TypeVar("Outcome")


class SharedCall(Generic[Outcome]):
    """Makes one call at a time on behalf of all tasks that ask for its outcome.

    A task gets the outcome of a call that began after it asked, so the outcome is never
    older than the question.

    Parameters
    ----------
    call : callable
    """

    def __init__(self, call: Callable[[], Awaitable[Outcome]]):
        self._call = call
        self._running: asyncio.Task[Outcome] | None = None
        self._next: asyncio.Task[Outcome] | None = None

    async def outcome(self) -> Outcome:
        """Return the outcome of a call that begins from now on."""
        if self._next is None:
            self._next = asyncio.create_task(self._call_after(self._running))
        # The other tasks still need the outcome if one of them is cancelled.
        return await asyncio.shield(self._next)

    async def _call_after(self, before):
        if before is not None:
            await asyncio.wait((before,))
        self._running, self._next = self._next, None
        return await self._call()
