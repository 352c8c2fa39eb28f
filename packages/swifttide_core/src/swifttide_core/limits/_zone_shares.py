"""Division of a customer's rate and burst among zones: the ``shares`` row.

Load pattern: a customer's traffic moves from one zone to another; zones are cut
off from each other and from the platform for minutes.

Without it: equal shares leave most of a skewed customer's rate in zones where it
is not, and each of its requests then costs a draw in another zone.

Grounds: the row's fractions and offers always add up to one. A zone first stops
using a part, then commits it as an offer, and only a committed offer is taken: at
no moment do two zones use the same part, whichever of them dies, pauses or is cut
off in between. A move follows a spell of lending, so that it costs a few writes
per customer and change of traffic, not a write per request.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from swifttide_core.documents import Customer

SUM_TOLERANCE = 1e-6
"""Rounding that the sum of the fractions may show."""

FULL_FRACTION = 1.0 - 1e-6
"""Fraction at which a zone has all there is, but for rounding."""

MIN_TRANSFER_FRACTION = 0.05
"""Smallest fraction that is worth two writes at the platform."""

MIN_KEPT_SHARE_FRACTION = 0.5
"""Part of an equal share that a zone never gives up, for when it is cut off."""


MIN_ZONE_BURST_TOKENS = 8.0
"""Burst below which a zone's share isn't worth having: parts of a token in five
zones refuse a small customer that one bucket would serve."""


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Value of one ``shares`` row.

    Parameters
    ----------
    zones : mapping of str to float
        Fraction that each zone may use.
    offers : mapping of str to float
        Fractions that nobody uses, by the zone for which they were given up.
    """

    zones: Mapping[str, float]
    offers: Mapping[str, float]

    @classmethod
    def from_config(cls, customer: Customer, zones: Iterable[str]) -> "ZoneShares":
        """Divide equally among the zones that ``zones_with_share`` names."""
        served = zones_with_share(customer, zones)
        return cls(dict.fromkeys(served, 1.0 / len(served)), {})

    @classmethod
    def from_row(cls, value: Mapping) -> "ZoneShares":
        """Read a row.

        Raises
        ------
        ValueError
            When a fraction is negative or they don't add up to one.
        """
        zones = {str(z): float(f) for z, f in value.get("zones", {}).items()}
        offers = {str(z): float(f) for z, f in value.get("offers", {}).items()}
        shares = cls(zones, offers)
        check_zone_shares(shares)
        return shares

    def to_row(self) -> dict:
        """Return the row's value."""
        return {"zones": dict(self.zones), "offers": dict(self.offers)}

    def fraction(self, zone: str) -> float:
        """Return what a zone may use."""
        return self.zones.get(zone, 0.0)

    def with_offer(self, zone: str, to_zone: str, fraction: float) -> "ZoneShares":
        """Return the row in which ``zone`` has given up a part for ``to_zone``.

        Commit it only after the holder in ``zone`` has stopped using that part
        (``CustomerShare.set_limits``, then ``CustomerShare.fits_burst``).
        """
        amount = min(fraction, self.fraction(zone))
        zones = {**self.zones, zone: self.fraction(zone) - amount}
        offers = {**self.offers, to_zone: self.offers.get(to_zone, 0.0) + amount}
        return ZoneShares(zones, offers)

    def with_offer_accepted(self, zone: str) -> "ZoneShares":
        """Return the row in which ``zone`` has taken what is offered to it.

        Use it only after it was committed.
        """
        offers = dict(self.offers)
        amount = offers.pop(zone, 0.0)
        return ZoneShares({**self.zones, zone: self.fraction(zone) + amount}, offers)


def zones_with_share(customer: Customer, zones: Iterable[str]) -> tuple[str, ...]:
    """Return the zones that a customer's rate and burst are divided among.

    As many as get ``MIN_ZONE_BURST`` tokens each, by rendezvous hashing.
    """
    ranked = sorted(
        zones,
        key=lambda zone: xxhash.xxh64_intdigest(f"{customer.name}\0{zone}".encode()),
    )
    n_served = max(1, min(len(ranked), int(customer.burst / MIN_ZONE_BURST_TOKENS)))
    return tuple(ranked[:n_served])


def draw_zone_order(customer: Customer, zones: tuple[str, ...]) -> tuple[str, ...]:
    """Return the zones in which an entry host draws, one after the other.

    Parameters
    ----------
    customer : Customer
        With the limits in force.
    zones : tuple of str
        All zones, the own one first.

    Returns
    -------
    tuple of str
        The own zone if it has a share, other zones with one, then the rest, which
        may have got one by a move.
    """
    served = zones_with_share(customer, zones)
    order = [zone for zone in zones[:1] if zone in served]
    order += [zone for zone in served if zone not in order]
    order += [zone for zone in zones if zone not in order]
    return tuple(order)


def check_zone_shares(shares: ZoneShares) -> None:
    """Check that fractions and offers are a division of one.

    Raises
    ------
    ValueError
        With the value that was found.
    """
    parts = [*shares.zones.values(), *shares.offers.values()]
    if any(part < 0.0 for part in parts):
        raise ValueError(f"got a negative fraction in {parts}, expected none")
    if abs(sum(parts) - 1.0) > SUM_TOLERANCE:
        raise ValueError(f"got fractions that add up to {sum(parts)}, expected 1")
