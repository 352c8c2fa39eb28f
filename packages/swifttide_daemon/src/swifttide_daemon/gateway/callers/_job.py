"""An admitted request, and the state of its execution."""

import asyncio
from dataclasses import dataclass

from swifttide_core.forwarding import AllowedRegions, CustomerTerms, Route, ServiceSpec
from swifttide_core.resumption import KnownOrigin, StreamOrigin, TurnEvent
from swifttide_core.scheduling import TurnResult, WorkClass
from swifttide_daemon.gateway.budgets._reservation import Reservation
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest

RANKS_PER_PRIORITY = 10
"""Ranks of the requests of customers with one priority, by their routes' priority."""


@dataclass(frozen=True, slots=True)
class Job:
    """An admitted request with what admission has determined about it.

    Parameters
    ----------
    req : CallerRequest
    route : Route
    service : ServiceSpec
    terms : CustomerTerms or None
        Terms of the customer; None where requests need no API key.
    expires_at : float
        Deadline of the caller or the route, whichever is earlier, as a time of the
        event loop in seconds.
    body : bytes
        Body sent to the target: the stored transcript, then the new input.
    reservation : Reservation or None
        Tokens reserved for a turn; None if the request needs none.
    channel : CallerChannel
    fingerprint : str
        Identifies the request when it crashes targets; equal requests share it.
    homes : frozenset of str or None
        Regions in which the request may run and its data may be stored; None for any.
    resumed_origin : KnownOrigin or None
        Software that began the stream that the request resumes; None for a new stream.
    resumed_events : tuple of TurnEvent
        Events of the resumed turn that its caller has from earlier attempts; empty
        where turns aren't stored.
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
    resumed_origin: KnownOrigin | None = None
    resumed_events: tuple[TurnEvent, ...] = ()

    @property
    def customer(self) -> str:
        """Name of the customer; empty if there is none."""
        return self.terms.name if self.terms else ""

    @property
    def work(self) -> WorkClass:
        """Class of the job in scheduling."""
        return work_class(self.route, self.terms)

    @property
    def n_expected_events(self) -> float:
        """Number of events to expect by the caller's length hint; 0 if unknown."""
        tokens_per_event = self.service.tokens_per_event
        return self.req.length_hint / tokens_per_event if tokens_per_event else 0.0

    def required_origin(self, progress: "Progress") -> StreamOrigin | None:
        """Return the only software that the job may be sent to; None for any."""
        if progress.origin is not None or self.resumed_origin is None:
            return progress.origin
        return self.resumed_origin.origin

    def may_repeat(self, progress: "Progress") -> bool:
        """Return whether the job may be sent again although it may have run.

        Once events have been relayed, a stream can only be resumed, which requires
        numbered events.
        """
        if progress.n_events:
            return self.route.resumable and progress.last_event_id is not None
        return self.route.repeatable or self.route.resumable


class Progress:
    """Mutable state of a job's execution.

    Ages are in seconds since the request was completely read.
    """

    def __init__(self):
        self.sent_target_ids: list[str] = []
        """Ids of targets that may have run the request, one for each attempt."""
        self.last_event_id: int | None = None
        """Id of the last event relayed; None if no event had one."""
        self.event_ids_consecutive = True
        """Whether each event id so far was the one before plus 1."""
        self.n_events = 0
        """Events relayed to the caller."""
        self.origin: StreamOrigin | None = None
        """Software that made the first event; None before it."""
        self.turn_events: list[TurnEvent] = []
        """Events of the turn, those of earlier attempts first, for the transcript."""
        self.n_output_bytes = 0
        """Size of their data in the transcript."""
        self.work: WorkClass | None = None
        """Class of the request in scheduling; None until its route is known."""
        self.rate_seconds = 0.0
        """Age of the request when its customer's rate limiter admitted it."""
        self.queued_seconds = 0.0
        """Time for which the request waited for its admission as a new program and for
        its targets."""
        self.target_load = 0.0
        """Outstanding requests for each place (one concurrent request) at the target
        when the request was last sent."""
        self.sent_seconds = 0.0
        """Age of the request when it was last sent to a target."""
        self.first_seconds = 0.0
        """Age of the request at the first event, or at the complete response."""
        self.last_seconds = 0.0
        """Age of the request at the last event."""

    def resume_turn(self, events: tuple[TurnEvent, ...]) -> None:
        """Go on after the events that the caller has from earlier attempts."""
        for event in events:
            self.add_turn_event(event)
            self.note_event_id(event.id)

    def add_turn_event(self, event: TurnEvent) -> None:
        """Add an event to what the turn has generated."""
        self.turn_events.append(event)
        if event.data is not None:
            self.n_output_bytes += len(event.data) + 1

    def note_event_id(self, event_id: int | None) -> None:
        """Note the id of an event that the caller gets or has."""
        if event_id is None:
            return
        if self.last_event_id is not None and event_id != self.last_event_id + 1:
            self.event_ids_consecutive = False
        self.last_event_id = event_id

    @property
    def turn_output(self) -> bytes:
        """What the turn has generated, as it stands in a transcript."""
        return b"".join(e.data + b"\n" for e in self.turn_events if e.data is not None)

    @property
    def first_event_wait_seconds(self) -> float | None:
        """Seconds from the last sending to the first event; None without events."""
        if not self.n_events:
            return None
        return max(0.0, self.first_seconds - self.sent_seconds)

    @property
    def gap_seconds(self) -> float | None:
        """Mean time between two events; None with fewer than two events."""
        if self.n_events < 2:
            return None
        return (self.last_seconds - self.first_seconds) / (self.n_events - 1)

    def turn_result(self, is_complete: bool) -> TurnResult:
        """Return what was observed of the turn at its first target."""
        return TurnResult(
            self.first_event_wait_seconds, self.gap_seconds, self.n_events, is_complete
        )


def request_age_seconds(req: CallerRequest) -> float:
    """Return the seconds since a request was completely read."""
    return asyncio.get_running_loop().time() - req.received_at


def resumption_fields(req: CallerRequest) -> dict[str, str | int]:
    """Return the fields of the log that say which stream a request resumes, if any."""
    if req.last_event_id is None and not req.resumed_attempt:
        return {}
    return {"resumed_attempt": req.resumed_attempt, "resumed_after": req.last_event_id}


def program_seconds_left(req: CallerRequest) -> float | None:
    """Return the time until the program's deadline; None if the caller states none."""
    if req.program_seconds_left is None:
        return None
    return req.program_seconds_left - request_age_seconds(req)


def work_class(route: Route, terms: CustomerTerms | None) -> WorkClass:
    """Return the class of a request.

    The customer's priority goes before the route's, which decides among the requests of
    customers with the same priority.
    """
    urgency = min(max(0, route.priority), RANKS_PER_PRIORITY - 1)
    if terms is None:
        return WorkClass(route.priority * RANKS_PER_PRIORITY + urgency, "", route.name)
    priority = route.priority if terms.priority is None else terms.priority
    rank = priority * RANKS_PER_PRIORITY + urgency
    return WorkClass(rank, terms.name, route.name, terms.rate_per_second or 1.0)


def work_fields(work: WorkClass | None) -> dict[str, str | int | None]:
    """Return the fields of the log that say to which class a request belongs."""
    if work is None:
        return {"route": "", "rank": None, "customer": ""}
    return {"route": work.route, "rank": work.rank, "customer": work.customer}
