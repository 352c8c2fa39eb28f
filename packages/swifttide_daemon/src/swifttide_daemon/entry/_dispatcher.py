"""Follows a call at its holder, across broken connections and takeovers."""

import logging
import time
from collections.abc import Iterator
from dataclasses import replace

import msgspec
import urllib3

from swifttide_core.membership import HostRow
from swifttide_core.slots import SlotKind, ranked_zones
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import (
    Call,
    CallEvent,
    CallTable,
    Failed,
    Finished,
    Reset,
    Waiting,
    decode_event,
)
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

HOLDER_SILENCE_TIMEOUT_SECONDS = 4.0
"""Silence of a holder, which says something every second, before a NEW connection
is tried."""

HOLDER_RETRY_INTERVAL_SECONDS = 0.2
ZONE_EXCLUSION_SECONDS = 3.0
"""How long a zone whose holder wasn't reached is passed over: its programs are served
here meanwhile, as safely, but without the engine caches that they have there."""

CALLS_PATH = "/peer/v1/calls"


class Dispatcher:
    """Sends calls to the holders of their programs.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    table : CallTable
        For programs that this host holds.
    takeover_seconds : float
        Longest time without any holder: a lease, its margins, and the claims.
    """

    def __init__(
        self,
        membership: MembershipService,
        peers: PeerClient,
        table: CallTable,
        takeover_seconds: float,
    ) -> None:
        self.membership = membership
        self.peers = peers
        self.table = table
        self.takeover_seconds = takeover_seconds
        self._excluded_until_by_zone: dict[str, float] = {}

    def holder(self, call: Call) -> HostRow | None:
        """Return the host that a call should go to now, or None.

        A program is served in its home zone; where that has no holder or isn't
        reached, in the next zone of its ranking. Single calls have the own zone as
        their home.
        """
        membership = self.membership
        zones = ranked_zones(call.placement_key, membership.zones())
        if not call.program:
            zones = sorted(zones, key=lambda zone: zone != membership.me.zone)
        now = time.monotonic()
        for zone in zones:
            if now < self._excluded_until_by_zone.get(zone, now):
                continue
            holder = membership.holder(SlotKind.PROGRAM, call.placement_key, zone)
            if holder is not None:
                return holder
        return None

    def exclude_zone_of(self, holder: HostRow) -> None:
        """Note that a holder wasn't reached; the own zone is never passed over."""
        if holder.zone != self.membership.me.zone:
            down_until = time.monotonic() + ZONE_EXCLUSION_SECONDS
            self._excluded_until_by_zone[holder.zone] = down_until

    def follow(self, call: Call, traceparent: str) -> Iterator[CallEvent]:
        """Yield the events of a call; the last one is final.

        Notes
        -----
        After a takeover the new holder runs the call anew, which yields `Reset`. The
        call itself decides whether that is allowed: a turn that is committed is
        answered from the history, a journaled call from the journal.
        """
        return _CallFollower(self, call, traceparent).events()


class _CallFollower:
    """One call and how far its events have come."""

    def __init__(self, dispatcher: Dispatcher, call: Call, traceparent: str) -> None:
        self.dispatcher = dispatcher
        self.call = call
        self.traceparent = traceparent
        self.deadline = time.monotonic() + call.remaining_seconds
        self.n_events_received = 0
        self.holder: tuple[str, str] | None = None
        self.may_have_been_sent = False
        self.holder_lost_after_send = False
        self.last_event_at = time.monotonic()

    def events(self) -> Iterator[CallEvent]:
        """Yield events until the final one."""
        while True:
            holder = self.dispatcher.holder(self.call)
            if holder is not None:
                yield from self._switch_holder(holder)
                ended = yield from self._follow_connection(holder)
                if ended:
                    return
            gave_up = self._final_refusal()
            if gave_up is not None:
                yield Failed(gave_up)
                return
            self.dispatcher.membership.look_again()
            time.sleep(HOLDER_RETRY_INTERVAL_SECONDS)
            yield Waiting()

    def _switch_holder(self, holder: HostRow) -> Iterator[CallEvent]:
        place = (holder.host, holder.incarnation)
        if self.holder not in (None, place):
            self.holder_lost_after_send = (
                self.holder_lost_after_send or self.may_have_been_sent
            )
            if self.n_events_received:
                self.n_events_received = 0
                yield Reset()
        self.holder = place

    def _follow_connection(self, holder: HostRow) -> Iterator[CallEvent]:
        """Yield what one connection brings; return whether the call has ended.

        A holder that refuses as not run is done with the call, so it doesn't count as
        one that got it, unless an earlier connection to it broke.
        """
        sent_before = self.may_have_been_sent
        for event in self._open_events(holder):
            self.last_event_at = time.monotonic()
            if isinstance(event, Waiting):
                yield event
                continue
            if self._is_not_holder_refusal(event):
                self.may_have_been_sent = sent_before
                return False
            if self._is_remote_platform_outage(event, holder):
                self.may_have_been_sent = sent_before
                self.dispatcher.exclude_zone_of(holder)
                return False
            self.n_events_received += 1
            yield self._include_lost_holders(event)
            if isinstance(event, Finished | Failed):
                return True
        return False

    def _open_events(self, holder: HostRow) -> Iterator[CallEvent]:
        left = max(0.0, self.deadline - time.monotonic())
        call = replace(
            self.call, remaining_seconds=left, from_event=self.n_events_received
        )
        membership = self.dispatcher.membership
        if holder.host == membership.me.host:
            if membership.epoch(SlotKind.PROGRAM, call.placement_key) is None:
                return
            self.may_have_been_sent = True
            running = self.dispatcher.table.attach(call, self.traceparent)
            yield from running.follow(self.n_events_received)
            return
        opened = self.dispatcher.peers.stream(
            holder.peer_url,
            CALLS_PATH,
            call,
            HOLDER_SILENCE_TIMEOUT_SECONDS,
            self.traceparent,
        )
        if opened.is_error():
            self.may_have_been_sent = (
                self.may_have_been_sent or opened.error.verdict is not Verdict.NOT_RUN
            )
            if opened.error.reason is not Reason.NOT_HOLDER:
                self.dispatcher.exclude_zone_of(holder)
            return
        self.may_have_been_sent = True
        try:
            for line in opened.ok:
                yield decode_event(line)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as exc:
            self.dispatcher.exclude_zone_of(holder)
            log.info(
                "connection to the holder broke",
                extra={
                    "request_id": self.call.request_id,
                    "peer": holder.host,
                    "cause": type(exc).__name__,
                },
            )

    def _include_lost_holders(self, event: CallEvent) -> CallEvent:
        """Return an event whose verdict also covers holders that were lost.

        A holder that got the call and vanished may have sent it to a target. What a
        later holder says of its own attempt, "not run", would then not be true of
        the request.
        """
        if isinstance(event, Failed):
            return Failed(
                event.refusal.with_earlier_attempts(self.holder_lost_after_send)
            )
        return event

    def _is_remote_platform_outage(self, event: CallEvent, holder: HostRow) -> bool:
        """Return whether another zone refuses because it has lost the platform.

        This zone may still see it. Passing the refusal on would stop every program
        whose home is the other zone for as long as that zone is cut off.
        """
        return (
            isinstance(event, Failed)
            and event.refusal.reason is Reason.PLATFORM_UNAVAILABLE
            and event.refusal.verdict is Verdict.NOT_RUN
            and holder.zone != self.dispatcher.membership.me.zone
            and self.dispatcher.membership.platform.available
        )

    def _is_not_holder_refusal(self, event: CallEvent) -> bool:
        return (
            isinstance(event, Failed)
            and event.refusal.reason is Reason.NOT_HOLDER
            and event.refusal.verdict is Verdict.NOT_RUN
        )

    def _final_refusal(self) -> Refusal | None:
        """Return the final refusal when waiting for a holder makes no sense any more.

        Whoever got the call may have sent it to a target, heard from or not.
        """
        now = time.monotonic()
        silent = now - self.last_event_at
        if now < self.deadline and silent < self.dispatcher.takeover_seconds:
            return None
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_been_sent else Verdict.NOT_RUN
        return Refusal(
            Reason.TIMEOUT if self.may_have_been_sent else Reason.NOT_HOLDER,
            "no host holds the program's slot",
            verdict=verdict,
            retry_after_seconds=1.0,
        )
