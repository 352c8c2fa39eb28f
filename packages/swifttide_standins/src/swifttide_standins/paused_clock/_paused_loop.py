"""An event loop on a clock of its own, which jumps over every wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

START_SECONDS = 1_000.0


class _JumpingSelector(selectors.DefaultSelector):
    """Instead of waiting for a timer, moves the loop's clock to it."""

    loop: "PausedLoop"

    def select(self, timeout=None):
        """Return what is ready now; with nothing ready, move the clock."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("the test waits for something that never happens")
        if not ready:
            self.loop.now += timeout
        return ready


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop for tests without sockets: hours of waiting take no time.

    Its clock stands still while code runs, so figures don't depend on the machine.
    """

    def __init__(self):
        selector = _JumpingSelector()
        selector.loop = self
        self.now = START_SECONDS
        super().__init__(selector)

    def time(self) -> float:
        """Return the paused clock's time."""
        return self.now


def run_paused(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a paused clock and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(main)
