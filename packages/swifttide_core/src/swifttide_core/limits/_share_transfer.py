"""Decide which fraction of its share a zone transfers to another zone.

The decision uses the ``shares`` row, the measured demand per zone and the limits of the
customer.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from swifttide_core.documents import Customer
from swifttide_core.limits._zone_shares import (
    MIN_KEPT_SHARE_FRACTION,
    MIN_TRANSFER_FRACTION,
    ZoneShares,
    zones_with_share,
)

MIN_DEMAND_PER_SECOND = 0.5
"""Minimum demand of another zone, in tokens per second, that justifies the two platform
writes of a transfer. Below it, too few requests arrive to tell a shift of the traffic
from random variation."""


@dataclass(frozen=True, slots=True)
class TransferShare:
    """Decision to transfer a part of the own share to another zone.

    Parameters
    ----------
    to_zone : str
        Zone that receives the transfer.
    fraction : float
        Transferred fraction of the customer's total rate and burst.
    """

    to_zone: str
    fraction: float


@dataclass(frozen=True, slots=True)
class NoTransfer:
    """Decision to leave the shares unchanged."""


def plan_transfer(
    shares: ZoneShares,
    zone: str,
    zones: tuple[str, ...],
    demand_per_second: Mapping[str, float],
    customer: Customer,
) -> TransferShare | NoTransfer:
    """Decide what the holder in ``zone`` transfers.

    Parameters
    ----------
    shares : ZoneShares
        Row as last read.
    zone : str
        Zone of this holder.
    zones : tuple of str
        All zones.
    demand_per_second : mapping of str to float
        Result of ``CustomerShare.demand_per_second``. The holder of another zone asks
        here only if its own share does not suffice, and only while it is alive.
    customer : Customer
        Customer with the limits in force.

    Returns
    -------
    TransferShare or NoTransfer
    """
    served = zones_with_share(customer, zones)
    if zone not in served:
        return _transfer_all(shares, zone, served)
    missing = [z for z in served if z not in shares.zones and z not in shares.offers]
    if missing:
        return _transfer_to_new_zone(shares, zone, served, missing[0])
    others = {z: d for z, d in demand_per_second.items() if z != zone and z in served}
    if not others or customer.rate_per_second <= 0.0:
        return NoTransfer()
    to_zone = max(others, key=lambda z: (others[z], z))
    if others[to_zone] < MIN_DEMAND_PER_SECOND:
        return NoTransfer()
    floor = MIN_KEPT_SHARE_FRACTION / len(served)
    own_demand = demand_per_second.get(zone, 0.0) / customer.rate_per_second
    surplus = shares.fraction(zone) - max(floor, own_demand)
    fraction = min(surplus, others[to_zone] / customer.rate_per_second)
    if fraction < MIN_TRANSFER_FRACTION:
        return NoTransfer()
    return TransferShare(to_zone, fraction)


def _transfer_all(shares, zone, served):
    """Transfer the whole share: after an edit, the burst is too small for this zone."""
    if shares.fraction(zone) <= 0.0:
        return NoTransfer()
    return TransferShare(served[0], shares.fraction(zone))


def _transfer_to_new_zone(shares, zone, served, missing):
    """Transfer a part to a zone that is entitled to a share since an edit of the burst.

    Only the zone with the largest fraction does this.
    """
    largest_zone = max(shares.zones, key=lambda z: (shares.zones[z], z))
    if zone != largest_zone:
        return NoTransfer()
    return TransferShare(missing, min(1.0 / len(served), shares.fraction(zone) / 2.0))
