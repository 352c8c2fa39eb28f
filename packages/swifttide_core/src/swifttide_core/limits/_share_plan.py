"""Which part of its share a zone gives up, from what it measures."""

from collections.abc import Mapping
from dataclasses import dataclass

from swifttide_core.limits._zone_shares import KEEP_FRACTION, MIN_MOVE, ZoneShares

MIN_DRAWN_PER_SECOND = 0.5
"""Draws from another zone that are worth two writes at the platform. Below it a
customer's arrivals are too few to tell a move of its traffic from chance."""


@dataclass(frozen=True, slots=True)
class GiveUp:
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
class Stay:
    """Leave the shares as they are."""


def plan_move(
    shares: ZoneShares,
    zone: str,
    drawn_per_second: Mapping[str, float],
    rate_per_second: float,
) -> GiveUp | Stay:
    """Decide what the holder in ``zone`` gives up.

    Parameters
    ----------
    shares : ZoneShares
        The row as last read.
    zone : str
        Own zone.
    drawn_per_second : mapping of str to float
        Tokens a second lent from here, by the zone of the entry host that drew:
        another zone draws here only when its own share does not suffice.
    rate_per_second : float
        The customer's whole rate.

    Returns
    -------
    GiveUp or Stay
    """
    others = {z: d for z, d in drawn_per_second.items() if z != zone}
    if not others or rate_per_second <= 0.0:
        return Stay()
    to_zone = max(others, key=lambda z: (others[z], z))
    if others[to_zone] < MIN_DRAWN_PER_SECOND:
        return Stay()
    n_zones = max(1, len(shares.zones))
    floor = KEEP_FRACTION / n_zones
    own_need = drawn_per_second.get(zone, 0.0) / rate_per_second
    spare = shares.fraction(zone) - max(floor, own_need)
    fraction = min(spare, others[to_zone] / rate_per_second)
    if fraction < MIN_MOVE:
        return Stay()
    return GiveUp(to_zone, fraction)
