"""Monotonic clock that also counts the time while the machine is suspended."""

import time


def elapsed_seconds() -> float:
    """Return monotonic seconds that go on while the machine is suspended.

    `time.monotonic` stops meanwhile. By it alone, leases of this host would still look
    valid as the machine resumes, although other hosts have taken its slots over, and
    its configuration would look as current as before.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )
    return time.monotonic() + suspended
