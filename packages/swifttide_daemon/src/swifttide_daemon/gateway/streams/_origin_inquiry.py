"""Asks other hosts at which software a stream began."""

import asyncio
from dataclasses import dataclass

from swifttide_core.forwarding import AllowedRegions
from swifttide_core.resumption import StreamOrigin, VersionsSeen
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    FoundStreamOrigin,
    FoundVersions,
    ReadStreamOrigin,
    ReadVersions,
)
from swifttide_daemon.gateway.streams._stream_keepers import StreamKeepers

N_KEEPERS = 8
"""Hosts that are told of a stream. A small fleet may lose most of its hosts at once,
and those that are left resume its streams."""

N_ASKED = 12
"""Hosts that are asked for a stream. More than there are keepers, as hosts that joined
or left since have changed the order."""

ASK_TIMEOUT_SECONDS = 0.1
"""Time-out of a question to another host; an answer takes 2 to 5 ms."""

N_ASKED_FOR_VERSIONS = 3
"""Hosts that are asked for the versions before this host began to observe them."""

READ_VERSIONS_TIMEOUT_SECONDS = 0.6
"""Time-out of that question. The other host calls the store before it answers."""


@dataclass(frozen=True, slots=True)
class OriginAnswers:
    """What hosts that were asked know of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        Origin by a record of the stream's first event.
    of_request : frozenset of StreamOrigin
        Origins of the streams that answered the same request.
    versions : frozenset of str
        Versions of the service that they have seen.
    n_known, n_asked, n_answered : int
        Numbers of other hosts.
    is_majority : bool
        Whether more than half of the stream's keepers have answered.
    """

    origin: StreamOrigin | None
    of_request: frozenset[StreamOrigin]
    versions: frozenset[str]
    n_known: int
    n_asked: int
    n_answered: int
    is_majority: bool


class OriginInquiry:
    """Asks the keepers of a stream for its origin.

    Parameters
    ----------
    fleet : Fleet
    peers : PeerClient
    keepers : StreamKeepers
    """

    def __init__(self, fleet: Fleet, peers: PeerClient, keepers: StreamKeepers):
        self._fleet = fleet
        self._peers = peers
        self._keepers = keepers

    async def ask(
        self, question: ReadStreamOrigin, place: str, homes: AllowedRegions
    ) -> OriginAnswers:
        """Ask the keepers of a stream until one has a record of it.

        Hosts that aren't heard any more, but were while the stream may have begun, are
        asked too: after a standstill of this host all others look lost.

        Parameters
        ----------
        question : ReadStreamOrigin
        place : str
            Key by which the keepers were chosen.
        homes : frozenset of str or None
            Regions whose hosts may be keepers; None for any.
        """
        running = self._keepers.ranked(place, homes)
        recent = self._keepers.ranked_recent(place, question.seconds, homes)[:N_KEEPERS]
        own = self._own_ip
        asked = [ip for ip in dict.fromkeys(running[:N_ASKED] + recent) if ip != own]
        answers = {own: None} | await self._answers(asked, question)
        found = [a for a in answers.values() if isinstance(a, FoundStreamOrigin)]
        return OriginAnswers(
            next((a.origin for a in found if a.origin is not None), None),
            frozenset().union(*(a.of_request for a in found)),
            frozenset().union(*(a.seen.versions for a in found)),
            self._fleet.n_hosts() - 1,
            len(asked),
            len(found),
            self._keepers.is_majority(answers.keys(), recent),
        )

    async def _answers(self, ips, question) -> dict[str, FoundStreamOrigin]:
        """Return the answers by host, up to the first one with a record."""
        calls = [asyncio.create_task(self._call(ip, question)) for ip in ips]
        answers = {}
        try:
            for call in asyncio.as_completed(calls):
                match await call:
                    case (ip, FoundStreamOrigin() as answer):
                        answers[ip] = answer
                        if answer.origin is not None:
                            break
        finally:
            for call in calls:
                call.cancel()
        return answers

    async def _call(self, ip, question):
        peer = self._fleet.by_ip(ip)
        if peer is None:
            return ip, None
        return ip, await self._peers.call(peer, question, ASK_TIMEOUT_SECONDS)

    async def versions(
        self, question: ReadVersions, place: str, homes: AllowedRegions
    ) -> VersionsSeen:
        """Return the versions of a service that some other hosts have seen.

        Parameters
        ----------
        question : ReadVersions
        place : str
            Key by which the hosts are chosen.
        homes : frozenset of str or None
            Regions whose hosts may be asked; None for any.
        """
        ips = [ip for ip in self._keepers.ranked(place, homes) if ip != self._own_ip]
        peers = map(self._fleet.by_ip, ips[:N_ASKED_FOR_VERSIONS])
        answers = await asyncio.gather(
            *(
                self._peers.call(peer, question, READ_VERSIONS_TIMEOUT_SECONDS)
                for peer in peers
                if peer is not None
            )
        )
        seen = VersionsSeen()
        for answer in answers:
            match answer:
                case FoundVersions(found):
                    seen |= found
        return seen

    @property
    def _own_ip(self):
        return self._fleet.own.ip
