"""A target: a model engine or a plain service."""

from dataclasses import dataclass
from enum import StrEnum


class TargetKind(StrEnum):
    """What a target serves."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests are sent.

    Parameters
    ----------
    name : str
        Id of the target.
    kind : TargetKind
        Engine or plain service.
    zone : str
        Availability zone that it stands in.
    url : str
        Base URL, by IP number.
    serves : str
        Model of an engine, or name of the plain service.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    leaving : bool
        Whether it must get no new work.
    max_concurrency : int
        Upper bound of calls at once; the adaptive limit moves below it.
    """

    name: str
    kind: TargetKind
    zone: str
    url: str
    serves: str
    checks_fencing: bool = False
    leaving: bool = False
    max_concurrency: int = 16
