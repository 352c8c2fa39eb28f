"""What each host tells all others several times a second."""

import msgspec

from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS


class Beacon(msgspec.Struct, array_like=True, tag="beacon"):
    """One host's news; a list on the wire, as names would be half of its bytes.

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
    pause_seconds : float
        Until the receiver gets the next beacon.
    cores : float
        Processor time that the sender has in a second, in seconds.
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
    pause_seconds: float = BEACON_INTERVAL_SECONDS
    cores: float = 1.0
