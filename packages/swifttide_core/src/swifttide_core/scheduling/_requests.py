"""Requests to the scheduler of a service, and its decisions."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from swifttide_core.forwarding import AllowedRegions, TargetEntry
from swifttide_core.scheduling._work_class import WorkClass


@dataclass(frozen=True, slots=True)
class TurnId:
    """Identity of a turn, assigned by the host that requests its placement.

    Parameters
    ----------
    host, boot : str
        Address of the host and identity of its process.
    number : int
        Number of the turn in that process.
    """

    host: str
    boot: str
    number: int


@dataclass(frozen=True, slots=True)
class ProgramRequest:
    """Request for the admission of a new program.

    Parameters
    ----------
    id : TurnId
        Identity of the request; a repeated request has the same one.
    program : str
        Key of the program.
    work : WorkClass
    seconds_left : float or None
        Time until the program's deadline; None if it has none.
    waited_seconds : float
        Time that the request has already waited for an answer.
    regions : frozenset of str or None
        Regions to which the program is bound; None for any.
    """

    id: TurnId
    program: str
    work: WorkClass = WorkClass()
    seconds_left: float | None = None
    waited_seconds: float = 0.0
    regions: AllowedRegions = None


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Request for a target to which a turn is sent.

    Parameters
    ----------
    id : TurnId
    program : str
        Key of its program; empty without one.
    zone : str
        Zone of the requesting host.
    work : WorkClass
    prompt_prefix : str
        Identity of the first part of its prompt, which programs share.
    branch : str
        Branch of the program's turns; the prompt of each turn of a branch begins with
        that of the turn before.
    previous_target : str
        Id of the target of the branch's previous turn, if the requesting host knows it.
    prompt_tokens, prefix_tokens : int
        Length of the prompt and of its shared first part.
    n_events : float
        Expected number of events of the answer; 0 if unknown.
    remaining_seconds : float
        Time after which no caller waits for the turn any more.
    program_seconds_left : float or None
        Time until the program's deadline; None if it has none.
    waited_seconds : float
        Time that the request has already waited for an answer.
    connected_targets : frozenset of str
        Ids of targets to which the requesting host has an idle connection.
    excluded_targets : frozenset of str
        Ids of targets that the turn must not go to.
    regions : frozenset of str or None
        Regions to which the turn is bound; None for any.
    is_stream : bool
        Whether it is a turn of a model. Turns wait for free slots, and are placed by
        their predicted completion; other requests are placed by the number of requests.
    software_version : str
        Version of the software that the target must run; None for any.
    """

    id: TurnId
    program: str
    zone: str
    work: WorkClass = WorkClass()
    prompt_prefix: str = ""
    branch: str = ""
    previous_target: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    n_events: float = 0.0
    remaining_seconds: float = 60.0
    program_seconds_left: float | None = None
    waited_seconds: float = 0.0
    connected_targets: frozenset[str] = field(default=frozenset())
    excluded_targets: frozenset[str] = field(default=frozenset())
    regions: AllowedRegions = None
    is_stream: bool = True
    software_version: str | None = None

    def accepts(self, target: TargetEntry) -> bool:
        """Return whether a target in service may run the turn."""
        is_version = self.software_version in (None, target.software_version)
        return is_version and target.id not in self.excluded_targets


@dataclass(frozen=True, slots=True)
class Eligible:
    """Targets to which a request may go now.

    Parameters
    ----------
    targets : sequence of TargetEntry
    capacity : float
        Number of requests that these targets run concurrently.
    limits : mapping of str to float or None
        Requests per second that each target may get, by id; None for no limit.
    """

    targets: Sequence[TargetEntry]
    capacity: float
    limits: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class TurnQueued:
    """All targets are occupied; the request waits at the scheduler.

    Parameters
    ----------
    retry_seconds : float
        Time after which the host asks again unless it has got the decision.
    """

    retry_seconds: float


@dataclass(frozen=True, slots=True)
class ProgramQueued:
    """The program waits at the scheduler, since it can still end by its deadline.

    Parameters
    ----------
    retry_seconds : float
        Time after which the host asks again unless it has got the decision.
    """

    retry_seconds: float


@dataclass(frozen=True, slots=True)
class PlacementGrant:
    """A waiting turn has got a target.

    Parameters
    ----------
    id : TurnId
    target : TargetEntry
    """

    id: TurnId
    target: TargetEntry


@dataclass(frozen=True, slots=True)
class AdmissionGrant:
    """A waiting program is admitted.

    Parameters
    ----------
    id : TurnId
    program : str
        Key of the program.
    work : WorkClass
    """

    id: TurnId
    program: str = ""
    work: WorkClass = WorkClass()


@dataclass(frozen=True, slots=True)
class AdmissionWithdrawn:
    """A waiting program is refused after all, since no target may run it.

    Parameters
    ----------
    id : TurnId
    retry_seconds : float
        Time until the caller should retry.
    """

    id: TurnId
    retry_seconds: float


@dataclass(frozen=True, slots=True)
class TurnResult:
    """What a host observed of a turn that has left its target.

    Parameters
    ----------
    first_seconds : float or None
        Time from sending the turn to its first event; None if there was none.
    gap_seconds : float or None
        Mean time between two events; None with fewer than two events.
    n_events : int
        Number of events.
    is_complete : bool
        Whether the answer was received to its end.
    """

    first_seconds: float | None = None
    gap_seconds: float | None = None
    n_events: int = 0
    is_complete: bool = False
