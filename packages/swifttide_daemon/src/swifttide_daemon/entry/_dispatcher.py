"""Forwarding of a call to its holder, with recovery from lost connections and hosts.

The holder of a call is the host that holds the slot of its program. The dispatcher
selects the holder from the membership and yields the events of the call. When the
connection breaks, it connects again and continues after the last event received. When
another host has taken over the slot, the call starts again at that host. A call without
a program needs no holder; if none is found, the entry host runs it.
"""

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
from swifttide_daemon.entry._denied_slots import DeniedSlots
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

HOLDER_SILENCE_TIMEOUT_SECONDS = 4.0
"""Time without any line from a holder after which the connection is replaced by a new
one. A working holder sends at least one line per second."""

HOLDER_RETRY_INTERVAL_SECONDS = 0.2
ZONE_EXCLUSION_SECONDS = 3.0
"""Time during which a zone is not selected after its holder could not be reached. Its
programs are served by the next zone meanwhile. This is equally safe, but the engine
caches of the excluded zone are not used."""

MAX_DENIALS = 2
"""Number of refusals by a recorded holder of a slot, as not its holder, after which
the slot counts as denied. The view may be out of date at the first one; it is read
again before the second."""

CALLS_PATH = "/peer/v1/calls"


class Dispatcher:
    """Selects the holder of each call and yields the events of the call.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    table : CallTable
        Runs the calls of programs whose slot this host holds.
    takeover_seconds : float
        Longest time for which a slot may have no holder: the duration of a lease,
        its safety margins and the time to claim the slot.
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
        self._denied_slots = DeniedSlots()

    def holder(self, call: Call) -> HostRow | None:
        """Return the host to which a call is to be sent now, or None.

        A program is served in its home zone. If the home zone has no holder for the
        slot, its holder has denied the slot or the zone is excluded, the program is
        served in the next zone of its ranking.
        A call without a program is served in the zone of this host first.
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
            if holder is not None and not self._has_denied(holder, call, now):
                return holder
        return None

    def _has_denied(self, holder: HostRow, call: Call, now: float) -> bool:
        slot = self.membership.slot(SlotKind.PROGRAM, call.placement_key)
        return self._denied_slots.contains(holder, slot, now)

    def record_denial(self, holder: HostRow, call: Call) -> None:
        """Exclude a host as the holder of a call's slot, which it denied to hold.

        The host may be in the zone of this host, where its lease has expired.
        """
        slot = self.membership.slot(SlotKind.PROGRAM, call.placement_key)
        self._denied_slots.add(holder, slot, time.monotonic())
        log.info("holder denied its slot", extra={"slot": slot, "peer": holder.host})

    def exclude_zone_of(self, holder: HostRow) -> None:
        """Exclude the zone of a holder that could not be reached.

        The zone of this host is never excluded.
        """
        if holder.zone != self.membership.me.zone:
            excluded_until = time.monotonic() + ZONE_EXCLUSION_SECONDS
            self._excluded_until_by_zone[holder.zone] = excluded_until

    def follow(self, call: Call, traceparent: str) -> Iterator[CallEvent]:
        """Yield the events of a call, up to and including its final event.

        Notes
        -----
        After a takeover the new holder runs the call again. `Reset` is yielded if
        events of the first run have been yielded. The new holder decides whether the
        call may run again: a committed turn is answered from the history, and a
        journaled call is answered from the journal.
        """
        return _CallFollower(self, call, traceparent).events()


class _CallFollower:
    """State of one call that is being followed.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds at which the call is given up.
    n_events_received : int
        Number of events received from the current holder, keep-alives excluded.
    holder : tuple of (str, str) or None
        Host and incarnation of the current holder.
    may_have_been_sent : bool
        Whether a holder may have received the call.
    holder_lost_after_send : bool
        Whether a holder that may have received the call was replaced by another one.
    last_event_at : float
        Monotonic time in seconds of the last event, keep-alives included.
    n_denials : int
        Number of refusals in a row of the current holder, as not the holder.
    """

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
        self.n_denials = 0

    def events(self) -> Iterator[CallEvent]:
        """Yield the events of the call, up to and including the final one."""
        while True:
            holder = self.dispatcher.holder(self.call)
            if holder is not None:
                yield from self._switch_holder(holder)
                ended = yield from self._follow_connection(holder)
                if ended:
                    return
            elif not self.call.program:
                yield from self._run_here()
                return
            refusal = self._final_refusal()
            if refusal is not None:
                log.info(
                    "call given up",
                    extra={
                        "request_id": self.call.request_id,
                        "peer": holder.host if holder is not None else "",
                        "reason": refusal.reason.value,
                    },
                )
                yield Failed(refusal)
                return
            self.dispatcher.membership.invalidate_views()
            time.sleep(HOLDER_RETRY_INTERVAL_SECONDS)
            yield Waiting()

    def _switch_holder(self, holder: HostRow) -> Iterator[CallEvent]:
        new_holder = (holder.host, holder.incarnation)
        if self.holder not in (None, new_holder):
            self.holder_lost_after_send = (
                self.holder_lost_after_send or self.may_have_been_sent
            )
            self.n_denials = 0
            if self.n_events_received:
                self.n_events_received = 0
                yield Reset()
        self.holder = new_holder

    def _follow_connection(self, holder: HostRow) -> Iterator[CallEvent]:
        """Yield the events of one connection; return whether the call has ended.

        A holder that refuses a call with the verdict "not run" will not run it
        later. It is therefore not counted as a holder that may have received the
        call, unless an earlier connection to it broke.
        """
        was_possibly_sent = self.may_have_been_sent
        for event in self._open_events(holder):
            self.last_event_at = time.monotonic()
            if isinstance(event, Waiting):
                yield event
                continue
            if self._is_not_holder_refusal(event):
                self.may_have_been_sent = was_possibly_sent
                self._count_denial(holder)
                return False
            if self._is_remote_platform_outage(event, holder):
                self.may_have_been_sent = was_possibly_sent
                self.dispatcher.exclude_zone_of(holder)
                return False
            self.n_events_received += 1
            yield self._include_lost_holders(event)
            if isinstance(event, Finished | Failed):
                return True
        return False

    def _open_events(self, holder: HostRow) -> Iterator[CallEvent]:
        remaining_seconds = max(0.0, self.deadline - time.monotonic())
        call = replace(
            self.call,
            remaining_seconds=remaining_seconds,
            from_event=self.n_events_received,
        )
        membership = self.dispatcher.membership
        if holder.host == membership.me.host:
            if membership.epoch(SlotKind.PROGRAM, call.placement_key) is None:
                self._count_denial(holder)
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
            if opened.error.reason is Reason.NOT_HOLDER:
                self._count_denial(holder)
            else:
                self.dispatcher.exclude_zone_of(holder)
            return
        self.may_have_been_sent = True
        try:
            for line in opened.ok:
                yield decode_event(line)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as exc:
            self.dispatcher.exclude_zone_of(holder)
            log.info(
                "connection to the holder broke before the final event; retrying",
                extra={
                    "request_id": self.call.request_id,
                    "peer": holder.host,
                    "cause": type(exc).__name__,
                },
            )

    def _run_here(self) -> Iterator[CallEvent]:
        """Run a call without a program at this host, although it holds no slot of it.

        Its slot only spreads such calls over the hosts: there is no order, history or
        budget that a holder would have to protect.
        """
        yield from self._switch_holder(self.dispatcher.membership.me)
        remaining_seconds = max(0.0, self.deadline - time.monotonic())
        call = replace(self.call, remaining_seconds=remaining_seconds)
        running = self.dispatcher.table.attach(call, self.traceparent)
        for event in running.follow(0):
            yield self._include_lost_holders(event)

    def _count_denial(self, holder: HostRow) -> None:
        self.n_denials += 1
        if self.n_denials >= MAX_DENIALS:
            self.n_denials = 0
            self.dispatcher.record_denial(holder, self.call)

    def _include_lost_holders(self, event: CallEvent) -> CallEvent:
        """Return the event with a verdict that also covers lost holders.

        A holder that received the call and was lost may have sent it to a target. The
        verdict "not run" of a later holder covers only its own attempt and would be
        wrong for the request as a whole.
        """
        if isinstance(event, Failed):
            return Failed(
                event.refusal.with_earlier_attempts(self.holder_lost_after_send)
            )
        return event

    def _is_remote_platform_outage(self, event: CallEvent, holder: HostRow) -> bool:
        """Return whether a holder in another zone refuses for lack of the platform.

        The refusal is ignored while this host can reach the platform. Passing it on
        would stop every program whose home is the other zone for as long as that zone
        is cut off.
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
        """Return the final refusal if no further attempt is to be made, or None.

        Attempts end at the deadline, or when no event has arrived for the longest
        duration of a takeover. A holder that received the call may have sent it to a
        target, even if no event of it arrived.
        """
        now = time.monotonic()
        silence_seconds = now - self.last_event_at
        if now < self.deadline and silence_seconds < self.dispatcher.takeover_seconds:
            return None
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_been_sent else Verdict.NOT_RUN
        return Refusal(
            Reason.TIMEOUT if self.may_have_been_sent else Reason.NOT_HOLDER,
            "no holder of the program's slot completed the call in time",
            verdict=verdict,
            retry_after_seconds=1.0,
        )
