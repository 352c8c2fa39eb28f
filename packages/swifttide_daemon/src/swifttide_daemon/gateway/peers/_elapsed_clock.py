"""Monotonic clock that also counts the time while the machine is suspended."""

import asyncio
import time


def elapsed_seconds() -> float:
    """Return the event loop's time plus the time that the machine was suspended.

    The event loop's clock stops while the machine is suspended. With that clock alone,
    leases and other time-limited rights of this host would still look valid when it
    resumes, although other hosts have taken them over meanwhile.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return asyncio.get_running_loop().time() + suspended
