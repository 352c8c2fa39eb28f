"""How a platform's rows are read."""

from collections.abc import Callable
from dataclasses import dataclass

from swifttide_core.forwarding import RoutingConfig, TargetEntry


@dataclass(frozen=True, slots=True)
class Decoders:
    """How the store's rows are read.

    Parameters
    ----------
    config_table, config_key : str
        Where the operator's document lies.
    targets_table : str
        Where targets register.
    config : callable
        Returns a `RoutingConfig`; raises `ValueError`.
    target : callable
        Returns a `TargetEntry`, or None for an entry that names no target.
    emptied_zone : callable
        Takes a key of the operator's table and returns the availability zone that its
        row empties of requests; None for another row.
    ready_path : str
        Path of the balancer's question.
    """

    config_table: str
    config_key: str
    targets_table: str
    config: Callable[[bytes], RoutingConfig]
    target: Callable[[str, bytes | None], TargetEntry | None]
    emptied_zone: Callable[[str], str | None]
    ready_path: str
