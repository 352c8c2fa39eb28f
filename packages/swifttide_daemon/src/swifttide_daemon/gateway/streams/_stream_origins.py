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
from collections.abc import Callable

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
)
from swifttide_daemon.gateway.streams._origin_messages import StreamBegan
from swifttide_daemon.gateway.streams._stream_keepers import StreamKeepers
from swifttide_daemon.telemetry import EventLog

N_KEEPERS = 8
"""Hosts that are told of a stream. A small fleet may lose most of its hosts at once,
and those that are left resume its streams."""

N_ASKED = 12
"""Hosts that are asked for a stream. More than there are keepers, as hosts that joined
or left since have changed the order."""

ASK_TIMEOUT_SECONDS = 0.1
"""Time-out of a question to another host; an answer takes 2 to 5 ms."""


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
        self._peers = peers
        self._beliefs = beliefs
        self._send = send
        self._freshness = freshness
        self._log = log
        self._records = OriginRecords()
        self._of_requests = RequestOrigins()
        self._keepers = StreamKeepers(fleet)

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
        for ip in self._keepers.ranked(request or key, homes)[:N_KEEPERS]:
            if ip != self._fleet.own.ip:
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
        found, asked = await self._ask(question, request or key, homes)
        if found.origin is None:
            self._log.info(
                "stream_origin_not_recorded",
                resumed_attempt=attempt,
                n_of_request=len(own.of_request | found.of_request),
                own_versions=sorted(own.seen.versions),
                own_is_complete=own.seen.is_complete,
                peer_versions=sorted(found.seen.versions),
                peer_is_complete=found.seen.is_complete,
                **asked,
                **self._freshness.log_fields(),
            )
        if found.origin is not None:
            return KnownOrigin(found.origin, OriginSource.PEER_RECORD)
        match tuple(own.of_request | found.of_request):
            case (origin,):
                return KnownOrigin(origin, OriginSource.REQUEST_RECORD)
            case (_, _, *_):
                return None
        seen = own.seen | found.seen
        if not service or seen.only_version is None:
            return None
        origin = StreamOrigin(service, seen.only_version)
        return KnownOrigin(origin, OriginSource.VERSION_HISTORY)

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

    async def _ask(
        self, question, place, homes
    ) -> tuple[FoundStreamOrigin, dict[str, int]]:
        """Ask other hosts until one knows the stream.

        Returns
        -------
        found : FoundStreamOrigin
            What they know.
        asked : dict of str to int
            Numbers of hosts that are known, were asked and have answered.
        """
        asked = [
            peer
            for ip in self._keepers.ranked(place, homes)
            if (peer := self._fleet.by_ip(ip)) is not None
        ]
        calls = [
            asyncio.ensure_future(self._peers.call(peer, question, ASK_TIMEOUT_SECONDS))
            for peer in asked[:N_ASKED]
        ]
        seen = VersionsSeen()
        of_request: frozenset[StreamOrigin] = frozenset()
        counts = {
            "n_known": self._fleet.n_hosts() - 1,
            "n_asked": len(calls),
            "n_answered": 0,
        }
        try:
            for call in asyncio.as_completed(calls):
                match await call:
                    case FoundStreamOrigin(origin=StreamOrigin()) as found:
                        return found, counts
                    case FoundStreamOrigin(seen=versions, of_request=origins):
                        counts["n_answered"] += 1
                        seen |= versions
                        of_request |= origins
        finally:
            for call in calls:
                call.cancel()
        return FoundStreamOrigin(None, seen, of_request), counts


def stream_key(customer: str, attempt: str) -> str:
    """Return the key of a stream; streams of two customers never share one."""
    text = f"{customer}\0{attempt}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
