"""What a measurement plays: customers, arrivals, edits and failures."""

from dataclasses import dataclass

from swifttide_core.documents import Customer


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request.

    Parameters
    ----------
    at : float
        Seconds.
    customer : str
        Whose it is.
    host : int
        Index of its entry host; host ``i`` stands in zone ``i % n_zones``.
    """

    at: float
    customer: str
    host: int


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of a customer's limits, accepted at ``at``.

    Parameters
    ----------
    at : float
        Seconds; zone ``i`` puts it in force ``0.5 * i`` seconds later.
    customer : Customer
        New rate and burst.
    """

    at: float
    customer: Customer


@dataclass(frozen=True, slots=True)
class Cut:
    """Zone 0 reaches no other zone and not the platform from ``at`` to ``until``."""

    at: float
    until: float


@dataclass(frozen=True, slots=True)
class HolderLoss:
    """The holders of all customers in zone 0 are replaced.

    Parameters
    ----------
    at : float
        When they stop.
    planned : bool
        A planned stop hands over; a kill waits for the lease to lapse.
    """

    at: float
    planned: bool


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load on one fleet.

    Parameters
    ----------
    name : str
        As it stands in the table.
    n_hosts, n_zones : int
        Size of the fleet.
    customers : tuple of Customer
        Limits at the start.
    arrivals : tuple of Arrival
        In order of time.
    events : tuple of Edit, Cut or HolderLoss
        In order of time.
    """

    name: str
    n_hosts: int
    n_zones: int
    customers: tuple[Customer, ...]
    arrivals: tuple[Arrival, ...]
    events: tuple[Edit | Cut | HolderLoss, ...] = ()
