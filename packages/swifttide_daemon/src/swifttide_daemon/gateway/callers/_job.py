"""A request that was let in, and what has become of it."""

import asyncio
from dataclasses import dataclass

from swifttide_core.forwarding import AllowedRegions, CustomerTerms, Route, ServiceSpec
from swifttide_daemon.gateway.budgets._reservation import Reservation
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest


@dataclass(frozen=True, slots=True)
class Job:
    """A request that was let in, with what was found out about it.

    Parameters
    ----------
    req : CallerRequest
    route : Route
    service : ServiceSpec
    terms : CustomerTerms or None
        Of the customer; None where requests need no key.
    expires_at : float
        Time of the event loop at which the caller or the route gives up.
    body : bytes
        What the target is to read: the history, then the new input.
    reservation : Reservation or None
        Tokens set aside for a turn.
    channel : CallerChannel
    fingerprint : str
        The same for all requests that would crash the same targets.
    homes : frozenset of str or None
        Regions in which it may run and be carried; None: anywhere.
    """

    req: CallerRequest
    route: Route
    service: ServiceSpec
    terms: CustomerTerms | None
    expires_at: float
    body: bytes
    reservation: Reservation | None
    channel: CallerChannel
    fingerprint: str
    homes: AllowedRegions = None

    @property
    def customer(self) -> str:
        """Name of the customer; empty without one."""
        return self.terms.name if self.terms else ""

    def may_repeat(self, progress: "Progress") -> bool:
        """Whether it may be sent again though it may have run.

        A stream without numbered events has no place at which to go on.
        """
        if progress.n_events:
            return self.route.resumable and progress.last_id is not None
        return self.route.repeatable or self.route.resumable


class Progress:
    """What has become of a job so far."""

    def __init__(self):
        self.sent: list[str] = []
        """Targets that may have run the request."""
        self.last_id: int | None = None
        self.numbered_one_by_one = True
        """Whether each event's number followed the one before."""
        self.n_events = 0
        self.output: list[bytes] = []
        self.rate_seconds = 0.0
        """Age of the request when its customer's rate let it in."""
        self.target_load = 0.0
        """Requests believed at the target for each place there, as it was last sent."""
        self.sent_seconds = 0.0
        """Age of the request when it was last sent to a target."""
        self.first_seconds = 0.0
        """Age of the request at the first event or the whole answer."""

    @property
    def wait_seconds(self) -> float | None:
        """Seconds from sending to the first event; None if there was none."""
        if not self.n_events:
            return None
        return max(0.0, self.first_seconds - self.sent_seconds)


def age_of(req: CallerRequest) -> float:
    """Return the seconds since a request had been read."""
    return asyncio.get_running_loop().time() - req.received_at
