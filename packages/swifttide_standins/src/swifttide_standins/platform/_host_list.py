"""The platform's lagging list of hosts."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

HostState = Literal["live", "leaving", "gone"]


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as the platform knows it.

    Parameters
    ----------
    host, zone : str
        Id and availability zone.
    state : {"live", "leaving", "gone"}
        A host that is gone drops off the list.
    """

    host: str
    zone: str
    state: HostState = "live"


class HostList:
    """Answers with the list as it was some seconds ago.

    Parameters
    ----------
    lag_seconds : float
        How old the answers are.
    clock : callable
        Seconds, monotonic.
    """

    def __init__(
        self, lag_seconds: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._lag_seconds = lag_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._changes: list[tuple[float, HostEntry]] = []

    def put(self, entry: HostEntry) -> None:
        """Take in a change, which becomes visible after the lag."""
        with self._lock:
            self._changes.append((self._clock(), entry))

    def visible(self) -> list[HostEntry]:
        """Return the hosts as they were, by zone and id."""
        horizon = self._clock() - self._lag_seconds
        with self._lock:
            seen = {e.host: e for at, e in self._changes if at <= horizon}
        hosts = [e for e in seen.values() if e.state != "gone"]
        return sorted(hosts, key=lambda e: (e.zone, e.host))
