"""Stand-in for the platform's balancer: sends callers to ready hosts."""

import itertools
import threading
from collections.abc import Iterable
from dataclasses import dataclass

import urllib3

POLL_SECONDS = 0.2
CHECK_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where callers reach a host.

    Parameters
    ----------
    host, zone : str
        Id and availability zone.
    url : str
        Base URL for callers.
    """

    host: str
    zone: str
    url: str


class Balancer:
    """Takes turns among the hosts whose ``/readyz`` says 200.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        All hosts, ready or not.

    Notes
    -----
    One thread a host polls, so that a frozen host doesn't hold up the news of the
    others. A host without news for the length of a check counts as not ready.
    """

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._turn = itertools.count()
        self._ready: dict[str, Endpoint] = {}
        self._pool = urllib3.PoolManager(retries=False)
        self._threads: list[threading.Thread] = []
        for endpoint in endpoints:
            self.add(endpoint)

    def add(self, endpoint: Endpoint) -> None:
        """Begin to poll a host; the first check is made before this returns."""
        self._check(endpoint)
        thread = threading.Thread(target=self._poll, args=(endpoint,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def pick(self, zone: str) -> Endpoint | None:
        """Return the next ready host of the zone, else of any zone, else None."""
        with self._lock:
            ready = sorted(self._ready.values(), key=lambda e: e.host)
        in_zone = [e for e in ready if e.zone == zone] or ready
        return in_zone[next(self._turn) % len(in_zone)] if in_zone else None

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _poll(self, endpoint: Endpoint) -> None:
        while not self._stop.wait(POLL_SECONDS):
            self._check(endpoint)

    def _check(self, endpoint: Endpoint) -> None:
        ready = self._is_ready(endpoint)
        with self._lock:
            if ready:
                self._ready[endpoint.host] = endpoint
            else:
                self._ready.pop(endpoint.host, None)

    def _is_ready(self, endpoint: Endpoint) -> bool:
        try:
            url = f"{endpoint.url}/readyz"
            return self._pool.request("GET", url, timeout=CHECK_SECONDS).status == 200
        except urllib3.exceptions.HTTPError:
            return False
