"""The two users' sites, as far as their brief gives them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and memory of a model engine (the sites don't give theirs).

    Parameters
    ----------
    prefill_tokens_per_second : float
        Speed at prompts, one at a time.
    gap_base_seconds, gap_per_call_seconds : float
        Time between tokens of a batch of n is base + n * per call.
    prefill_slowdown : float
        What is left of the speed at output while a prompt is computed.
    max_batch : int
        Calls in the batch.
    cache_tokens : int
        Memory for running and cached contexts.
    import_tokens_per_second : float
        Speed at which an exported cache is read back.
    """

    prefill_tokens_per_second: float = 8_000.0
    gap_base_seconds: float = 0.018
    gap_per_call_seconds: float = 0.0016
    prefill_slowdown: float = 0.6
    max_batch: int = 32
    cache_tokens: int = 150_000
    import_tokens_per_second: float = 40_000.0


@dataclass(frozen=True, slots=True)
class ProgramClass:
    """Distribution of one profile's programs; lognormal where not said.

    Parameters
    ----------
    profile : str
        Name.
    share : float
        Part of a customer's programs.
    turns : tuple of int
        Smallest and largest number of calls.
    first_tokens, new_tokens, output_tokens : int
        Medians of the first prompt, later additions and output.
    pause_seconds : float
        Median tool pause.
    service_share : float
        Part of steps that call a plain service.
    sub_agent_share : float
        Part of steps that start two to four sub-agents of two or three calls.
    deadline_seconds : float
        Wanted latency.
    urgency : int
        From the profile.
    """

    profile: str
    share: float
    turns: tuple[int, int]
    first_tokens: int
    new_tokens: int
    output_tokens: int
    pause_seconds: float
    service_share: float
    sub_agent_share: float
    deadline_seconds: float
    urgency: int = 0


@dataclass(frozen=True, slots=True)
class Site:
    """Zones, hosts, targets, customers and programs of a user.

    Parameters
    ----------
    name : str
        Id of the site.
    zones : tuple of str
        Availability zones.
    n_hosts, n_engines, n_services : int
        Dealt to the zones in turn.
    customers : dict of str to float
        Part of the load that each sends.
    classes : tuple of ProgramClass
        Profiles.
    engine : EngineSpec
        All engines are alike.
    """

    name: str
    zones: tuple[str, ...]
    n_hosts: int
    n_engines: int
    n_services: int
    customers: dict[str, float]
    classes: tuple[ProgramClass, ...]
    engine: EngineSpec = EngineSpec()


CUSTOMERS = {
    "large-1": 0.26,
    "large-2": 0.22,
    "large-3": 0.17,
    "small-1": 0.09,
    "small-2": 0.08,
    "small-3": 0.07,
    "small-4": 0.06,
    "small-5": 0.05,
}

PRINT_OFFICE = Site(
    name="print-office",
    zones=("k1", "k2", "k3"),
    n_hosts=10,
    n_engines=5,
    n_services=3,
    customers=CUSTOMERS,
    classes=(
        ProgramClass("catalogue", 0.55, (4, 12), 2500, 500, 160, 2.0, 0.4, 0.1, 240.0),
        ProgramClass("pedigree", 0.45, (3, 8), 1500, 350, 90, 1.5, 0.5, 0.15, 160.0),
    ),
)

BUTCHER_DESK = Site(
    name="butcher-desk",
    zones=("u1", "u2", "u3", "u4"),
    n_hosts=11,
    n_engines=5,
    n_services=4,
    customers=CUSTOMERS,
    classes=(
        ProgramClass("order-chat", 0.45, (4, 10), 1200, 120, 110, 8.0, 0.3, 0.0, 300.0),
        ProgramClass("box-plan", 0.20, (8, 18), 2500, 350, 220, 10.0, 0.3, 0.05, 700.0),
        ProgramClass("stock", 0.35, (1, 2), 500, 100, 40, 0.5, 1.0, 0.0, 15.0, 1),
    ),
)

SITES = (PRINT_OFFICE, BUTCHER_DESK)
