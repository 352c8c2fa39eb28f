"""Remembers at which software streams began, and finds it out when they are resumed.

A caller may resume a stream at any host, most often because the host that began it was
lost. The host that sends the first event of a stream tells some other hosts, its
keepers, in all availability zones. The host at which the stream is resumed asks them.
A caller need not name the attempt that began its stream; what it asks then tells the
stream, unless streams of several origins have answered the same.
No store is involved: the origins of all streams would exceed its rate of writes, and
they are needed for seconds only.

Load: one datagram to each keeper for a stream, and one call to some hosts for a stream
that is resumed.
"""

import asyncio
import hashlib
from collections.abc import Callable, Set
from dataclasses import replace

from swifttide_core.forwarding import AllowedRegions, Route
from swifttide_core.resumption import (
    STREAM_AGE_TIMEOUTS,
    KnownOrigin,
    OriginRecords,
    OriginSource,
    RequestOrigins,
    StreamOrigin,
    VersionsSeen,
)
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._freshness import Freshness
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    FoundStreamOrigin,
    ReadStreamOrigin,
    ReadVersions,
)
from swifttide_daemon.gateway.streams._origin_inquiry import (
    N_KEEPERS,
    OriginAnswers,
    OriginInquiry,
)
from swifttide_daemon.gateway.streams._origin_messages import StreamBegan
from swifttide_daemon.gateway.streams._stream_keepers import StreamKeepers
from swifttide_daemon.telemetry import EventLog


class StreamOrigins:
    """Origins of streams, at this host and at the others.

    Parameters
    ----------
    fleet : Fleet
    peers : PeerClient
    beliefs : Beliefs
        Knows the versions of the targets.
    send : callable
        Sends a message to an IP address. The message may be lost.
    freshness : Freshness
        Tells how current this host's knowledge is.
    log : EventLog
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        beliefs: Beliefs,
        send: Callable[[str, StreamBegan], None],
        freshness: Freshness,
        log: EventLog,
    ):
        self._fleet = fleet
        self._beliefs = beliefs
        self._send = send
        self._freshness = freshness
        self._log = log
        self._records = OriginRecords()
        self._of_requests = RequestOrigins()
        self._keepers = StreamKeepers(fleet)
        self._inquiry = OriginInquiry(fleet, peers, self._keepers)

    def record(
        self,
        customer: str,
        attempt: str,
        origin: StreamOrigin,
        route: Route,
        homes: AllowedRegions = None,
        request: str = "",
    ) -> None:
        """Remember the origin of a stream, and tell its keepers.

        Parameters
        ----------
        customer : str
        attempt : str
            Id of the caller's attempt that gets the stream's first event.
        origin : StreamOrigin
        route : Route
        homes : frozenset of str or None
            Regions whose hosts may keep it; None for any.
        request : str
            Key of what was asked; empty if unknown.
        """
        key = stream_key(customer, attempt)
        seconds = self._stream_age_seconds(origin.service, route)
        message = StreamBegan(
            key, origin.service, origin.software_version, seconds, request
        )
        self.handle_message(message)
        for ip in self._keepers.told(request or key, N_KEEPERS, seconds, homes):
            self._send(ip, message)

    def handle_message(self, message: StreamBegan) -> None:
        """Remember a stream that this host or another one began."""
        now = asyncio.get_running_loop().time()
        origin = StreamOrigin(message.service, message.software_version)
        self._records.add(message.key, origin, message.seconds, now)
        if message.request:
            self._of_requests.add(message.request, origin, message.seconds, now)

    async def find(
        self,
        customer: str,
        attempt: str,
        route: Route,
        homes: AllowedRegions = None,
        request: str = "",
    ) -> KnownOrigin | None:
        """Return the origin of a stream that a caller resumes; None if it is unknown.

        Parameters
        ----------
        customer : str
        attempt : str
            Id of the attempt that got the stream's first event; empty if the caller
            doesn't state it. The origin then follows from what was asked, or from the
            versions that served, or is unknown.
        route : Route
        homes : frozenset of str or None
            Regions whose hosts may have been told of the stream; None for any.
        request : str
            Key of what was asked; empty if unknown.
        """
        key = stream_key(customer, attempt) if attempt else ""
        service = route.services[0].service if len(route.services) == 1 else ""
        seconds = self._stream_age_seconds(service, route)
        question = ReadStreamOrigin(key, service, seconds, "" if key else request)
        own = self.answer(question)
        if own.origin is not None:
            return KnownOrigin(own.origin, OriginSource.OWN_RECORD)
        place = request or key
        answers = await self._inquiry.ask(question, place, homes)
        if answers.origin is not None:
            return KnownOrigin(answers.origin, OriginSource.PEER_RECORD)
        of_request = own.of_request | answers.of_request
        if len(of_request) == 1 and answers.is_majority:
            return KnownOrigin(*of_request, OriginSource.REQUEST_RECORD)
        seen = VersionsSeen(answers.versions)
        if service:
            seen |= await self._confirmed_versions(service, seconds, place, homes)
        known = _known_by_versions(service, seen, of_request)
        self._log_no_record(attempt, answers, of_request, seen, known)
        return known

    async def _confirmed_versions(self, service, seconds, place, homes):
        """Return the versions of a service that this host and others have seen."""
        seen = await self.versions_within(service, seconds)
        if seen.is_complete or len(seen.versions) > 1:
            return seen
        question = ReadVersions(service, seconds)
        return seen | await self._inquiry.versions(question, place, homes)

    async def versions_within(self, service: str, seconds: float) -> VersionsSeen:
        """Return the versions of a service up to now, as far as this host can tell.

        Parameters
        ----------
        service : str
        seconds : float
            Length of the period that ends now.
        """
        is_confirmed = await self._freshness.confirm_targets()
        seen = self._beliefs.versions_within(service, seconds)
        # A version may have joined and left while this host has heard of nothing.
        return replace(seen, is_complete=seen.is_complete and is_confirmed)

    def _log_no_record(self, attempt, answers: OriginAnswers, of_request, seen, known):
        self._log.info(
            "stream_origin_not_recorded",
            resumed_attempt=attempt,
            n_known=answers.n_known,
            n_asked=answers.n_asked,
            n_answered=answers.n_answered,
            is_majority=answers.is_majority,
            n_of_request=len(of_request),
            versions=sorted(seen.versions),
            is_complete=seen.is_complete,
            source=known.source.value if known else "",
            **self._freshness.log_fields(),
        )

    def _stream_age_seconds(self, service, route):
        """Return the age of the oldest stream of a route that is resumed."""
        longest = max(route.timeout_seconds, self._beliefs.longest_timeout(service))
        return STREAM_AGE_TIMEOUTS * longest

    def answer(self, question: ReadStreamOrigin) -> FoundStreamOrigin:
        """Return what this host knows of a stream and of a service's versions."""
        now = asyncio.get_running_loop().time()
        origin = self._records.find(question.key, now)
        seen = VersionsSeen()
        if question.service:
            seen = self._beliefs.versions_within(question.service, question.seconds)
        of_request = self._of_requests.find(question.request, now)
        return FoundStreamOrigin(origin, seen, of_request)


def _known_by_versions(
    service: str, seen: VersionsSeen, of_request: Set[StreamOrigin]
) -> KnownOrigin | None:
    """Return the origin of a stream if the service has had a single version."""
    if seen.only_version is None:
        return None
    origin = StreamOrigin(service, seen.only_version)
    if not of_request <= {origin}:
        return None
    return KnownOrigin(origin, OriginSource.VERSION_HISTORY)


def stream_key(customer: str, attempt: str) -> str:
    """Return the key of a stream; streams of two customers never share one."""
    text = f"{customer}\0{attempt}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
