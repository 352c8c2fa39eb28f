"""Route of the operator's configuration: match rules, services, timeouts, retries."""

from dataclasses import dataclass

from swifttide_core.forwarding._request_kind import RequestKind


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of the requests of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the other services of the
        route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Match rule for requests, with their services, timeouts and retry settings.

    Parameters
    ----------
    name : str
    host : str
        Value of the ``Host`` header, in lower case and without a port.
    prefix : str
        Path prefix, which begins and ends with a slash.
    kind : RequestKind
        Whether requests may be retried.
    services : tuple of WeightedService
        One service, or several among which requests are split by weight.
    timeout_seconds : float
        Maximum time until the caller gets an answer.
    objective_seconds : float
        Latency objective: time to the answer, or to the first event of a stream,
        within which a request counts with its full value.
    max_attempts : int
        Maximum number of targets that one request of a caller is sent to.
    priority : int
        Priority, of which 0 is the most urgent.
    public : bool
        Whether requests need no API key.
    sticky : bool
        Whether a target is faster for requests whose affinity key it has served
        before.
    resumable : bool
        Whether an interrupted stream may be resumed at another target.
    keeps_turns : bool
        Whether requests are conversation turns whose history the hosts store.
    keep_seconds : float
        Time for which a turn is stored after its answer.
    max_gap_seconds : float
        Maximum time between two events of a stream that counts as on time.
    regions : frozenset of str
        Regions in which requests may run and through which they may be relayed. If
        empty, there is no restriction.
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
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT
