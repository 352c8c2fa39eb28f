"""Which part of its share a zone gives up, from what it measures."""

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
"""Draws from another zone that are worth two writes at the platform. Below it a
customer's arrivals are too few to tell a move of its traffic from chance."""


@dataclass(frozen=True, slots=True)
class TransferShare:
    """Give a part of the own share up for another zone.

    Parameters
    ----------
    to_zone : str
        Zone that drew most here.
    fraction : float
        Part of the customer's whole rate and burst.
    """

    to_zone: str
    fraction: float


@dataclass(frozen=True, slots=True)
class NoTransfer:
    """Leave the shares as they are."""


def plan_transfer(
    shares: ZoneShares,
    zone: str,
    zones: tuple[str, ...],
    demand_per_second: Mapping[str, float],
    customer: Customer,
) -> TransferShare | NoTransfer:
    """Decide what the holder in ``zone`` gives up.

    Parameters
    ----------
    shares : ZoneShares
        The row as last read.
    zone : str
        Own zone.
    zones : tuple of str
        All zones.
    asked_per_second : mapping of str to float
        From ``CustomerShare.demand_per_second``: another zone's holder asks here
        only when its own share does not suffice, and only while it is alive.
    customer : Customer
        With the limits in force.

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
    own_need = demand_per_second.get(zone, 0.0) / customer.rate_per_second
    spare = shares.fraction(zone) - max(floor, own_need)
    fraction = min(spare, others[to_zone] / customer.rate_per_second)
    if fraction < MIN_TRANSFER_FRACTION:
        return NoTransfer()
    return TransferShare(to_zone, fraction)


def _transfer_all(shares, zone, served):
    """Give all up: after an edit the burst is too small for so many zones."""
    if shares.fraction(zone) <= 0.0:
        return NoTransfer()
    return TransferShare(served[0], shares.fraction(zone))


def _transfer_to_new_zone(shares, zone, served, missing):
    """Give a part up for a zone that has none since an edit raised the burst."""
    richest = max(shares.zones, key=lambda z: (shares.zones[z], z))
    if zone != richest:
        return NoTransfer()
    return TransferShare(missing, min(1.0 / len(served), shares.fraction(zone) / 2.0))
