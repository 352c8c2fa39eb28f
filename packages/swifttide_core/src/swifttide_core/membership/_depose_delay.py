"""Extension of host leases while the platform is unavailable.

Decides how long a host waits before it deposes another host whose lease row does not
change. To depose a host is to mark its incarnation as dead, so that other hosts may
claim its slots. This description also covers `ExtensionRound` and `PromiseState`, which
implement the other parts of the protocol.

While the platform is down, no host can renew its lease. Without extensions, all leases
would expire six seconds later and every availability zone would stop, although hosts
and targets work.

A host that cannot renew its lease therefore asks every host of its zone that is not
known to be dead (`ExtensionRound`). A host that cannot reach the platform either
promises to depose no host and claim no slot for P seconds (`PromiseState`). When all
hosts have promised, the lease is extended to P seconds after the request was sent,
less the drift margin. A host that can reach the platform says so instead, and the
asking host renews its lease through it: the other host sends the same conditional write
with the same transaction id on its behalf.

All hosts have to promise, not only a majority, because one host can depose another by
one conditional write. A single host that reaches the platform and has not promised may
do so. A majority would suffice if deposing required a majority too. But then a zone
that lost most of its hosts at once would be stopped until an operator intervenes, who
may not be available. The disadvantage of asking all is that a single unreachable
host ends the extension. The zone then refuses all requests that need a slot holder
until the platform or that host is back.

The promises are safe for the following reasons:

- A promise starts at the promising host when it answers, and at the asking host before
  the request is sent, so that it ends at the asking host first.
- A promise remains valid until its end when the platform comes back earlier.
- A host that restarts forgets its promises, but it monitors a lease row for a whole
  lease before it deposes the host, and P is at most the duration of a lease.
- Promises never revive an expired lease; only a renewal does.
- A host that joined while the asking host could not read the platform is not asked.
  Each lease row therefore states the head version of the zone that its holder knew
  (`knows_head`). A joining host that the holder did not know waits for
  `max_extension_seconds` instead of the duration of a lease (`depose_delay_seconds`),
  and promises extend no lease beyond that limit.

A zone without the platform still provides the following:

- Order of calls, admission at targets, rate and burst limits, and crash strikes: the
  slot holders decide as before, from memory and from the zone's share of each
  customer's rate. The slots of a holder that fails remain without a holder until the
  platform is back.
- History and budget: turns of ``durable`` programs are refused with the verdict
  ``not_run`` and a retry delay of one renewal period, because neither the reservation
  nor the commit can be written. Turns in progress get ``may_have_run`` if the outcome
  of the commit remains unknown. Turns of ``caller`` programs continue, because each
  call contains their history.
- Non-repeatable calls: refused with ``not_run``, because no intent can be written.
  Calls in progress end with the target's answer. The journal is written when the
  platform is back, and until then requests with the same key get ``may_have_run``.
- Keys and configuration: the last known state remains in force. No edit is accepted
  while the platform is down, so that none is missed. If only one zone is cut off, it
  learns of edits from the hosts of other zones. It refuses new work when it could not
  confirm for longer than the profile allows that its state is current, because a
  withdrawn key must stop working.
- Engine memory and leaving targets: releases continue from the memory of the holders.
  Tombstones that cannot be written are written later.
- Graceful stop: streams run to their end. Slots cannot be handed over, and are claimed
  when the platform is back.
"""

from swifttide_core.membership._extension_times import ExtensionTimes
from swifttide_core.membership._lease_times import LeaseTimes


def depose_delay_seconds(
    times: LeaseTimes, outage: ExtensionTimes, knows_head: int, registered_head: int
) -> float:
    """Return the seconds for which a lease row must be unchanged to depose its host.

    Parameters
    ----------
    times : LeaseTimes
        Durations of the lease.
    outage : ExtensionTimes
        Durations of promises and extensions.
    knows_head : int
        Head version of the zone that the host of the row knew at its last renewal.
    registered_head : int
        Head version of the zone that the registration of this host created.

    Returns
    -------
    float
        The duration of a lease and the drift margin if the other host knew this host
        and would have asked it before extending its lease. Otherwise the largest
        extension and the clock drift during that time.
    """
    if knows_head >= registered_head:
        return times.lease_seconds + times.drift_margin_seconds
    drift = (
        times.drift_margin_seconds * outage.max_extension_seconds / times.lease_seconds
    )
    return outage.max_extension_seconds + drift
