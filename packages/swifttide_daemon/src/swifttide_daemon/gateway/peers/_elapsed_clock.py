"""A clock that also counts while the machine is suspended."""

import asyncio
import time


def elapsed_seconds() -> float:
    """Return the event loop's time, and the time that the machine was suspended.

    The event loop's clock stands still in a suspended machine. What this host was
    entitled to before would then seem as fresh as ever when it wakes, though others
    have taken over meanwhile.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return asyncio.get_running_loop().time() + suspended
