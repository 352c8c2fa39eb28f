"""What each host tells all others several times a second."""

import msgspec


class Beacon(msgspec.Struct, omit_defaults=True, tag="beacon"):
    """One host's news.

    Parameters
    ----------
    ip : str
        Of the sender.
    port : int
        For calls and beacons from other hosts.
    zone : str
        Of the sender.
    boot : str
        Drawn anew at each start of its process.
    number : int
        Grows with each beacon of a boot; an older one that comes late is dropped.
    store_up : bool
        Whether it reaches the store.
    store_full : bool
        Whether the store has turned its calls away lately as too many.
    away_seconds : float or None
        Since it was last without the store, or may have been; None if it never was.
    config_change, target_change : int
        Newest changes of configuration and targets that it knows, as versions of
        the store.
    outstanding : dict of str to int
        Its requests under way, by target.
    strikes : list of (str, str, str)
        Fingerprint, target and incarnation of crashes it saw lately.
    lending : list of int
        Slots of programs for which it lends tokens; none while the store is there.
    """

    ip: str
    port: int
    zone: str
    boot: str
    number: int
    store_up: bool = True
    store_full: bool = False
    away_seconds: float | None = None
    config_change: int = 0
    target_change: int = 0
    outstanding: dict[str, int] = {}
    strikes: list[tuple[str, str, str]] = []
    lending: list[int] = []
