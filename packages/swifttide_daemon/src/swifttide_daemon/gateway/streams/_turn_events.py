"""Remembers what turns have generated, until their transcripts are stored.

A stored turn has to contain all that its caller got, over all attempts that made its
answer. When its caller resumes it at another host, most often because the first one was
lost, that host gets only the rest from a target. So the host that relays a turn tells a
few other hosts, its keepers, each event before the caller has it, and the host at which
the turn is resumed asks them for the beginning. No store is involved: it takes a write
for each turn, not for each event.

A caller that resumes a turn need not name its first attempt. What is remembered is
therefore found by what was asked. Where several attempts asked the same and got
different answers, nobody can tell which one is resumed, and it counts as unknown.

Load: a datagram to each keeper for each event of a turn that may be resumed.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from swifttide_core.forwarding import AllowedRegions, Route
from swifttide_core.resumption import TurnEvent, TurnEventRecords
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    FoundTurnEvents,
    ReadTurnEvents,
)
from swifttide_daemon.gateway.streams._request_key import request_key
from swifttide_daemon.gateway.streams._stream_keepers import StreamKeepers
from swifttide_daemon.gateway.streams._turn_messages import TurnGenerated

N_KEEPERS = 3
"""Hosts that are told of a turn's events, in different availability zones."""

N_ASKED = 6
"""Hosts that are asked. More than there are keepers, as hosts that joined or left since
have changed the order."""

ASK_TIMEOUT_SECONDS = 0.1
"""Time-out of a question to another host; an answer takes 2 to 5 ms."""

KEEP_TIMEOUTS = 4.0
"""Time for which events are remembered after the last one, in time-outs of the route:
callers give up on a request after about one, and resume it within it."""

MAX_DATAGRAM_DATA_BYTES = 30_000
"""Most data in one datagram. JSON makes it a third longer, and a datagram holds at most
65,507 bytes. An event with more data is told to nobody."""


class TurnEvents:
    """Events of turns in progress, at this host and at the others.

    Parameters
    ----------
    fleet : Fleet
    peers : PeerClient
    send : callable
        Sends a message to an IP address. The message may be lost.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        send: Callable[[str, TurnGenerated], None],
    ):
        self._fleet = fleet
        self._peers = peers
        self._send = send
        self._keepers = StreamKeepers(fleet)
        self._records = TurnEventRecords()

    def record(
        self,
        customer: str,
        req: CallerRequest,
        n_before: int,
        events: Iterable[TurnEvent],
        route: Route,
        homes: AllowedRegions = None,
    ) -> None:
        """Remember events of a turn's answer, and tell its keepers.

        Parameters
        ----------
        customer : str
        req : CallerRequest
        n_before : int
            Number of events of the answer before these.
        events : iterable of TurnEvent
        route : Route
        homes : frozenset of str or None
            Regions whose hosts may keep them; None for any.
        """
        key = request_key(customer, req)
        attempt = req.resumed_attempt or req.id
        seconds = KEEP_TIMEOUTS * route.timeout_seconds
        keepers = self._keepers.told(key, N_KEEPERS, seconds, homes)
        for group in _groups(events):
            message = TurnGenerated(key, attempt, n_before, group, seconds)
            n_before += len(group)
            self.handle_message(message)
            if sum(len(event.data or b"") for event in group) > MAX_DATAGRAM_DATA_BYTES:
                continue
            for ip in keepers:
                self._send(ip, message)

    def handle_message(self, message: TurnGenerated) -> None:
        """Remember events that this host or another one relayed."""
        now = asyncio.get_running_loop().time()
        self._records.add(
            message.key,
            message.attempt,
            message.n_before,
            message.events,
            message.seconds,
            now,
        )

    async def find(
        self,
        customer: str,
        req: CallerRequest,
        route: Route,
        homes: AllowedRegions = None,
    ) -> tuple[TurnEvent, ...] | None:
        """Return the events that the caller of a resumed turn has; None if unknown.

        If the caller doesn't name its attempt, other hosts may know of another answer.
        The only one that is found then counts if most keepers have answered.

        Parameters
        ----------
        customer : str
        req : CallerRequest
            Names the last event that the caller has.
        route : Route
        homes : frozenset of str or None
            Regions whose hosts may have been told; None for any.
        """
        key = request_key(customer, req)
        question = ReadTurnEvents(key, req.resumed_attempt, req.last_event_id)
        seconds = KEEP_TIMEOUTS * route.timeout_seconds
        keepers = self._keepers.ranked_recent(key, seconds, homes)[:N_KEEPERS]
        running = self._keepers.ranked(key, homes)[:N_ASKED]
        own = self._fleet.own.ip
        peers = {
            ip: peer
            for ip in (*running, *keepers)
            if ip != own and (peer := self._fleet.by_ip(ip)) is not None
        }
        calls = (
            self._peers.call(peer, question, ASK_TIMEOUT_SECONDS)
            for peer in peers.values()
        )
        found = set(self._find_own(question))
        answered = {own}
        for ip, answer in zip(peers, await asyncio.gather(*calls), strict=True):
            match answer:
                case FoundTurnEvents(answers):
                    answered.add(ip)
                    found |= {tuple(events) for events in answers}
        if len(found) != 1:
            return None
        if not req.resumed_attempt and not self._keepers.is_majority(answered, keepers):
            return None
        return found.pop()

    def answer(self, question: ReadTurnEvents) -> FoundTurnEvents:
        """Return how the answers to a turn begin, as far as this host knows."""
        return FoundTurnEvents([list(events) for events in self._find_own(question)])

    def _find_own(self, question):
        now = asyncio.get_running_loop().time()
        return self._records.find(
            question.key, question.attempt, question.last_event_id, now
        )


def _groups(events: Iterable[TurnEvent]) -> Iterator[list[TurnEvent]]:
    """Split events into groups that fit into one datagram each."""
    group: list[TurnEvent] = []
    n_bytes = 0
    for event in events:
        if group and n_bytes + event.n_bytes > MAX_DATAGRAM_DATA_BYTES:
            yield group
            group, n_bytes = [], 0
        group.append(event)
        n_bytes += event.n_bytes
    if group:
        yield group
