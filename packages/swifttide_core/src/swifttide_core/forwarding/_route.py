"""One route of the operator's configuration."""

from dataclasses import dataclass

from swifttide_core.forwarding._request_kind import RequestKind


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route sends a share of its requests to.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share, relative to the route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and what they may cost.

    Parameters
    ----------
    name : str
    host : str
        Value of the ``Host`` header, lower case, without a port.
    prefix : str
        Beginning of the path; begins and ends with a slash.
    kind : RequestKind
    services : tuple of WeightedService
        One, or several among which requests are split.
    timeout_seconds : float
        Longest time that a caller is kept waiting.
    objective_seconds : float
        Time to the answer (streams: the first event) that earns the full worth.
    max_attempts : int
        Most targets that one attempt of a caller may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests need no key.
    sticky : bool
        Whether a target that has seen the same subject works faster.
    resumable : bool
        Whether a broken stream may go on at another target.
    keeps_turns : bool
        Whether requests are turns whose history the fleet keeps.
    keep_seconds : float
        How long a turn of this route is kept after its answer.
    max_gap_seconds : float
        Longest pause between events of a stream that is on time.
    regions : frozenset of str
        Where its requests may run and be carried; empty: anywhere.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    keeps_turns: bool = False
    keep_seconds: float = 0.0
    max_gap_seconds: float = 0.0
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT
