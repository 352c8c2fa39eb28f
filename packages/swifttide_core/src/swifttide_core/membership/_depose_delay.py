"""An outage of the platform is not the death of a host.

When the platform is down, no host can renew. Without this module all leases lapse six
seconds later and every availability zone stops, though hosts and targets are well.
A holder that can't renew therefore asks EVERY host of its zone that isn't known to be
dead (`ExtensionRound`). One that sees no platform promises to depose and claim nothing
for P seconds (`PromiseBook`); the lease is prolonged to P seconds after the request was
sent, less the margin, when all have promised. One that sees the platform says so, and
the asker renews through it: the same conditional write, under the same transaction
id, sent on its behalf.

Why all and not a majority: deposing takes one host and one conditional write, so a
single host that sees the platform and hasn't promised may depose. A majority would
be enough if deposing took a majority too; then a zone that lost most of its hosts
at once would stand still until a person came, and nobody is awake. The price: one host
that can't be reached ends the extension, and the zone refuses what needs a holder
until the platform or that host is back.

Why the promise is safe:

- It runs at the promiser from the moment of the answer, at the asker from before the
  request, so it ends at the asker first.
- It holds when the platform comes back, until it has run out.
- A promiser that restarts has forgotten it, but watches a whole lease before it
  deposes, and P is at most the lease.
- A lapsed lease is never revived by promises, only by a renewal.
- A host that joined while the asker couldn't see isn't asked. Each lease row therefore
  carries the head version of the zone that its holder knew (`knows_head`); a joiner
  that the holder didn't know of waits `limit_seconds` instead of a lease
  (`depose_wait`), and promises carry no lease past that limit.

What a zone without the platform still does, promise by promise of the brief:

- Order of calls, admission at targets, rate and burst, crash strikes: decided by the
  holders as before, from memory and from the zone's share of each customer's rate.
  A holder that dies takes its slots with it until the platform is back.
- History, budget: turns of ``durable`` programs are refused, since neither
  reservation nor commit can be written; ``not_run``, to come back after a renewal
  period. Turns in flight get ``may_have_run`` when the commit stays unknown. Turns of
  ``caller`` programs go on: their history travels with the call.
- Non-repeatable calls: refused, ``not_run``: no intent can be written. Calls in
  flight end with the target's answer; the journal is written when the platform is
  back, and until then the same key answers ``may_have_run``.
- Keys and configuration: the last state known goes on; no edit is accepted while the
  platform is down, so none is missed. A zone that is cut off alone learns of edits
  from the hosts of other zones, and refuses new work when it has confirmed its
  freshness nowhere for the profile's allowance: a withdrawn key must stop.
- Engine memory, leaving targets: releases go on from the holders' memory; tombstones
  that can't be written are written later.
- Graceful stop: streams run to their end; slots can't be handed over and are claimed
  when the platform is back.
"""

from swifttide_core.membership._extension_times import ExtensionTimes
from swifttide_core.membership._lease_times import LeaseTimes


def depose_delay_seconds(
    times: LeaseTimes, outage: ExtensionTimes, knows_head: int, registered_head: int
) -> float:
    """Return for how many seconds a lease row must stand still to be deposed.

    Parameters
    ----------
    times : LeaseTimes
        Durations of the lease.
    outage : ExtensionTimes
        Durations of promises.
    knows_head : int
        Head version of the zone that the row's holder knew when it last renewed.
    registered_head : int
        Head version that this host's own registration made.

    Returns
    -------
    float
        A lease and the margin when the holder would have asked this host before
        it prolonged its lease; otherwise the limit of promises, and the drift.
    """
    if knows_head >= registered_head:
        return times.lease_seconds + times.drift_margin_seconds
    drift = (
        times.drift_margin_seconds * outage.max_extension_seconds / times.lease_seconds
    )
    return outage.max_extension_seconds + drift
