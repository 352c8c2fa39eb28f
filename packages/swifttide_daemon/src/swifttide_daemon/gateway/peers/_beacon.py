"""Beacon message: the state that each host sends to the others at short intervals."""

from typing import Annotated

import msgspec

from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS
from swifttide_daemon.gateway.peers._host_row import Cores, Port, Text

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class Beacon(msgspec.Struct, array_like=True, tag="beacon"):
    """State of one host, sent periodically to other hosts.

    The message is encoded as an array, because field names would make up half of its
    bytes.

    Parameters
    ----------
    ip : str
        IP address of the sender.
    port : int
        Port on which the sender accepts calls and beacons from other hosts.
    zone : str
        Availability zone of the sender.
    boot : str
        Random identifier of the sender's process, new at each process start.
    number : int
        Sequence number, which increases with each beacon of the same process. The
        receiver drops a beacon that arrives after a newer one.
    store_up : bool
        Whether the sender reaches the store directly.
    store_full : bool
        Whether the store has recently throttled calls of the sender.
    away_seconds : float or None
        Time since the sender was last disconnected from the store, or may have been.
        None if it never was.
    config_change, target_change : int
        Store versions of the newest changes of configuration and targets that the
        sender knows.
    outstanding : dict of str to int
        Number of the sender's requests in flight, by target.
    strikes : list of (str, str, str)
        Request fingerprint, target and target incarnation of the crashes that the
        sender has recently observed.
    standing_strikes : list of (str, str, str, float)
        Request fingerprint, target and target incarnation of crashes, and their ages in
        seconds. Sent for some time after a process has started at any host.
    completions : dict of str to float
        Seconds since which targets completed a request with recent strikes twice, by
        fingerprint.
    lending : list of int
        Hash slots of programs for which the sender lends tokens. Empty while the store
        is available.
    pause_seconds : float
        Time until the receiver gets the next beacon.
    cores : float
        Processor time available to the sender, in CPU seconds per second.
    """

    ip: Text
    port: Port
    zone: Text
    boot: Text
    number: Count
    store_up: bool = True
    store_full: bool = False
    away_seconds: Seconds | None = None
    config_change: Count = 0
    target_change: Count = 0
    outstanding: dict[str, Count] = {}
    strikes: list[tuple[str, str, str]] = []
    lending: list[Count] = []
    pause_seconds: Seconds = BEACON_INTERVAL_SECONDS
    cores: Cores = 1.0
    standing_strikes: list[tuple[str, str, str, Seconds]] = []
    completions: dict[str, Seconds] = {}
