"""Division of a customer's rate and burst among availability zones: the ``shares`` row.

Load pattern: a customer's traffic moves from one zone to another, and zones lose their
connections to each other and to the platform for minutes.

With fixed equal shares, most of the rate of a customer with uneven traffic would be in
zones without its requests, and each request would need a draw in another zone.

The fractions and offers of a row always add up to one. A zone first stops using a
fraction, then commits it as an offer, and only a committed offer is accepted by the
other zone. Two zones therefore never use the same fraction, even if either of them
crashes, pauses or loses its connections in between. A transfer is made only after a
period of demand from another zone, so that it costs a few writes per customer and shift
of the traffic, not one write per request.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from swifttide_core.documents import Customer

SUM_TOLERANCE = 1e-6
"""Permitted rounding error of the sum of the fractions."""

FULL_FRACTION = 1.0 - 1e-6
"""Fraction from which a zone counts as having the whole rate, allowing for rounding."""

MIN_TRANSFER_FRACTION = 0.05
"""Smallest fraction that justifies the two platform writes of a transfer."""

MIN_KEPT_SHARE_FRACTION = 0.5
"""Fraction of an equal share that a zone always keeps, in case it gets isolated."""


MIN_ZONE_BURST_TOKENS = 8.0
"""Minimum burst of a zone's share, in tokens. With less, the tokens of a small customer
would be split into fractions over five zones, and requests would be refused that a
single bucket would admit."""


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Value of a ``shares`` row.

    Parameters
    ----------
    zones : mapping of str to float
        Fraction that each zone may use.
    offers : mapping of str to float
        Fractions that no zone uses, by the zone to which they are offered.
    """

    zones: Mapping[str, float]
    offers: Mapping[str, float]

    @classmethod
    def from_config(cls, customer: Customer, zones: Iterable[str]) -> "ZoneShares":
        """Divide equally among the zones that ``zones_with_share`` returns."""
        served = zones_with_share(customer, zones)
        return cls(dict.fromkeys(served, 1.0 / len(served)), {})

    @classmethod
    def from_row(cls, value: Mapping) -> "ZoneShares":
        """Create the shares from the value of a row.

        Raises
        ------
        ValueError
            If a fraction is negative or the fractions do not add up to one.
        """
        zones = {str(z): float(f) for z, f in value.get("zones", {}).items()}
        offers = {str(z): float(f) for z, f in value.get("offers", {}).items()}
        shares = cls(zones, offers)
        check_zone_shares(shares)
        return shares

    def to_row(self) -> dict:
        """Return the value of the row."""
        return {"zones": dict(self.zones), "offers": dict(self.offers)}

    def fraction(self, zone: str) -> float:
        """Return the fraction that a zone may use."""
        return self.zones.get(zone, 0.0)

    def with_offer(self, zone: str, to_zone: str, fraction: float) -> "ZoneShares":
        """Return the row in which ``zone`` has offered a fraction to ``to_zone``.

        Commit it only after the holder in ``zone`` has stopped using that fraction
        (``CustomerShare.set_limits``, then ``CustomerShare.fits_burst``).
        """
        amount = min(fraction, self.fraction(zone))
        zones = {**self.zones, zone: self.fraction(zone) - amount}
        offers = {**self.offers, to_zone: self.offers.get(to_zone, 0.0) + amount}
        return ZoneShares(zones, offers)

    def with_offer_accepted(self, zone: str) -> "ZoneShares":
        """Return the row in which ``zone`` has accepted what is offered to it.

        The zone may use the fraction only after this row was committed.
        """
        offers = dict(self.offers)
        amount = offers.pop(zone, 0.0)
        return ZoneShares({**self.zones, zone: self.fraction(zone) + amount}, offers)


def zones_with_share(customer: Customer, zones: Iterable[str]) -> tuple[str, ...]:
    """Return the zones among which a customer's rate and burst are divided.

    Rendezvous hashing selects as many zones as get ``MIN_ZONE_BURST_TOKENS`` each, but
    at least one.
    """
    ranked = sorted(
        zones,
        key=lambda zone: xxhash.xxh64_intdigest(f"{customer.name}\0{zone}".encode()),
    )
    n_served = max(1, min(len(ranked), int(customer.burst / MIN_ZONE_BURST_TOKENS)))
    return tuple(ranked[:n_served])


def draw_zone_order(customer: Customer, zones: tuple[str, ...]) -> tuple[str, ...]:
    """Return the zones in the order in which an entry host draws from them.

    Parameters
    ----------
    customer : Customer
        Customer with the limits in force.
    zones : tuple of str
        All zones, beginning with the zone of the entry host.

    Returns
    -------
    tuple of str
        The own zone if it has a share, then the other zones with a share, then the
        remaining zones, which may have received a share by a transfer.
    """
    served = zones_with_share(customer, zones)
    order = [zone for zone in zones[:1] if zone in served]
    order += [zone for zone in served if zone not in order]
    order += [zone for zone in zones if zone not in order]
    return tuple(order)


def check_zone_shares(shares: ZoneShares) -> None:
    """Check that fractions and offers are non-negative and add up to one.

    Raises
    ------
    ValueError
        If they do not; the message contains the value found.
    """
    parts = [*shares.zones.values(), *shares.offers.values()]
    if any(part < 0.0 for part in parts):
        raise ValueError(f"got fractions {parts}, expected none below 0")
    if abs(sum(parts) - 1.0) > SUM_TOLERANCE:
        raise ValueError(f"fractions add up to {sum(parts)}, expected 1")
