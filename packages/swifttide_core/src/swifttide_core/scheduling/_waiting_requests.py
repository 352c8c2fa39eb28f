"""Requests that wait at the scheduler, with the hosts that asked for them.

Load pattern: in a burst some hundred turns and programs wait at once, and each host
asks again while it waits. Requests of a host that is lost must not hold up the others.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Generic, TypeVar

from swifttide_core.scheduling._fair_shares import FairShares
from swifttide_core.scheduling._requests import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
)
from swifttide_core.scheduling._wait_queue import Waiter, WaitQueue

Request = TypeVar("Request", PlacementRequest, ProgramRequest)


class WaitingRequests(Generic[Request]):
    """Waiting requests in the order in which they are served.

    Parameters
    ----------
    is_begun : bool
        Whether the requests belong to programs under way.
    abandoned_seconds : float
        Time after which a request is dropped that its host hasn't repeated.
    """

    def __init__(self, is_begun: bool, abandoned_seconds: float):
        self._is_begun = is_begun
        self._abandoned_seconds = abandoned_seconds
        self._queue = WaitQueue()
        self._requests: dict[TurnId, tuple[Request, float]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, request_id: TurnId) -> bool:
        return request_id in self._requests

    def add(self, request: Request, give_up_at: float, now: float) -> bool:
        """Add or renew a request; return False if the queue is full.

        Parameters
        ----------
        request : PlacementRequest or ProgramRequest
        give_up_at : float
            Latest time, in monotonic seconds, at which it is served from the queue.
        now : float
            Monotonic seconds.
        """
        if not self._queue.add(self._waiter(request, give_up_at, now)):
            return False
        self._requests[request.id] = (request, now)
        return True

    def renew(self, request: Request, now: float) -> bool:
        """Note that a host has repeated a request; return whether it still waits."""
        if request.id not in self._requests:
            return False
        self._requests[request.id] = (request, now)
        return True

    def remove(self, request_id: TurnId) -> None:
        """Remove a request if it waits."""
        self._queue.remove(request_id)
        self._requests.pop(request_id, None)

    def expire(self, now: float) -> list[Request]:
        """Remove and return the requests that waited too long.

        Requests of hosts that didn't ask again are removed without being returned.
        """
        for request_id, (_, asked_at) in list(self._requests.items()):
            if now - asked_at > self._abandoned_seconds:
                self.remove(request_id)
        return [self._take(waiter, now) for waiter in self._queue.expire(now)]

    def next(
        self, shares: FairShares, now: float, may_take: Callable[[Request], bool]
    ) -> Request | None:
        """Remove and return the first request that may be served; None without one.

        Parameters
        ----------
        shares : FairShares
        now : float
            Monotonic seconds.
        may_take : callable
            Returns whether a request can be served now.
        """
        waiter = self._queue.next(
            shares, now, lambda w: may_take(self._requests[w.key][0])
        )
        return None if waiter is None else self._take(waiter, now)

    def count_ahead(self, request: Request, shares: FairShares, now: float) -> int:
        """Return the number of requests that are served before a request."""
        waiter = self._waiter(request, float("inf"), now)
        return self._queue.count_ahead(waiter, shares, now)

    def counts(self) -> dict[tuple[int, str], int]:
        """Return the number of requests by rank and customer."""
        return self._queue.counts()

    def counts_by_rank(self) -> dict[int, int]:
        """Return the number of requests by rank."""
        return self._queue.counts_by_rank()

    def _take(self, waiter, now) -> Request:
        """Return the request of a removed waiter with the time waited until now."""
        request, _ = self._requests.pop(waiter.key)
        return replace(request, waited_seconds=now - waiter.since)

    def _waiter(self, request, give_up_at, now) -> Waiter:
        since = now - request.waited_seconds
        return Waiter(request.id, request.work, self._is_begun, since, give_up_at)
