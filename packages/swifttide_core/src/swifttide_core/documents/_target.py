"""Target document: a model engine or a plain service that requests are sent to."""

from dataclasses import dataclass
from enum import StrEnum


class TargetKind(StrEnum):
    """Kind of a target: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """Engine or plain service to which requests are sent.

    Parameters
    ----------
    name : str
        Id of the target.
    kind : TargetKind
        Kind of the target.
    zone : str
        Availability zone in which the target runs.
    url : str
        Base URL with an IP address as its host.
    serves : str
        Model of an engine, or name of the plain service.
    checks_fencing : bool
        Whether the target refuses orders with an outdated fencing number.
    leaving : bool
        Whether no new work must be sent to the target.
    max_concurrency : int
        Upper bound of the concurrent calls; the adaptive limit stays below it.
    """

    name: str
    kind: TargetKind
    zone: str
    url: str
    serves: str
    checks_fencing: bool = False
    leaving: bool = False
    max_concurrency: int = 16
