"""Decoders that make the gateway independent of a platform's row format."""

from collections.abc import Callable
from dataclasses import dataclass

from swifttide_core.forwarding import RoutingConfig, TargetEntry


@dataclass(frozen=True, slots=True)
class Decoders:
    """Names of the platform's tables, and functions that decode their rows.

    Parameters
    ----------
    config_table, config_key : str
        Table and key of the operator's configuration document.
    targets_table : str
        Table in which targets register.
    config : callable
        Takes the bytes of the document and returns a `RoutingConfig`; raises
        `ValueError`.
    target : callable
        Takes the key and the bytes of an entry; returns a `TargetEntry`. Raises
        `ValueError` for an entry that does not describe a usable target.
    emptied_zone : callable
        Takes a key of the operator's table. Returns the availability zone that the row
        drains of requests, or None for any other row.
    ready_path : str
        URL path of the load balancer's readiness probe.
    """

    config_table: str
    config_key: str
    targets_table: str
    config: Callable[[bytes], RoutingConfig]
    target: Callable[[str, bytes], TargetEntry]
    emptied_zone: Callable[[str], str | None]
    ready_path: str
