"""What happens during a run."""

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Disturbances that the world brings about."""

    SLOW_TARGET = "slow_target"
    TARGET_DOWN = "target_down"
    HOST_LOST = "host_lost"
    ZONE_LOST = "zone_lost"
    EDITS = "edits"


@dataclass(frozen=True, slots=True)
class Fault:
    """A disturbance with its begin and end.

    Parameters
    ----------
    kind : FaultKind
        What happens.
    begins_at, ends_at : float
        Seconds of the run.
    factor : float
        Speed of a slow target.
    """

    kind: FaultKind
    begins_at: float
    ends_at: float
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Surge:
    """More load of one customer, or of all, for a while.

    Parameters
    ----------
    factor : float
        Times its base load.
    begins_at, ends_at : float
        Seconds of the run.
    customer : str
        Empty for all.
    """

    factor: float
    begins_at: float
    ends_at: float
    customer: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and disturbances of a run.

    Parameters
    ----------
    name : str
        Row of the table.
    base_load : float
        Offered engine time over the engines' capacity.
    seconds : float
        Time in which programs start; the run goes on until all are done.
    surges : tuple of Surge
        Extra load.
    faults : tuple of Fault
        Disturbances.
    long_share, long_factor : float
        Part of programs whose output is longer, and by how much.
    n_hot_programs, hot_program_width : int
        Programs that start this many sub-agents at once.
    """

    name: str
    base_load: float = 0.9
    seconds: float = 900.0
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()
    long_share: float = 0.0
    long_factor: float = 1.0
    n_hot_programs: int = 0
    hot_program_width: int = 0

    def load(self, customer: str, now: float) -> float:
        """Return a customer's load factor at a time."""
        factor = self.base_load
        for surge in self.surges:
            concerned = surge.customer in ("", customer)
            if concerned and surge.begins_at <= now < surge.ends_at:
                factor *= surge.factor
        return factor

    def peak(self, customer: str) -> float:
        """Return a customer's largest load factor."""
        factor = self.base_load
        for surge in self.surges:
            if surge.customer in ("", customer):
                factor *= max(1.0, surge.factor)
        return factor


HOT = "large-1"
HOT_PART = 0.26


def _overload(total: float) -> Scenario:
    base = 0.6
    factor = (total - base * (1 - HOT_PART)) / (base * HOT_PART)
    surge = Surge(factor, 0.0, 900.0, HOT)
    return Scenario(f"overload-{total:g}x", base, surges=(surge,))


SCENARIOS = (
    Scenario("steady"),
    Scenario("burst", 0.7, surges=(Surge(3.0, 300.0, 340.0),)),
    Scenario("hot-customer", 0.7, surges=(Surge(4.0, 250.0, 550.0, HOT),)),
    Scenario("hot-program", 0.7, n_hot_programs=4, hot_program_width=40),
    Scenario(
        "slow-target",
        0.7,
        faults=(Fault(FaultKind.SLOW_TARGET, 250.0, 550.0, 0.3),),
    ),
    Scenario("long-among-short", 0.75, long_share=0.08, long_factor=6.0),
    _overload(1.5),
    _overload(3.0),
    Scenario("zone-lost", 0.6, faults=(Fault(FaultKind.ZONE_LOST, 300.0, 500.0),)),
    Scenario("host-lost", 0.8, faults=(Fault(FaultKind.HOST_LOST, 300.0, 600.0),)),
    Scenario("target-crash", 0.7, faults=(Fault(FaultKind.TARGET_DOWN, 300.0, 315.0),)),
    Scenario(
        "recovered-target", 0.75, faults=(Fault(FaultKind.TARGET_DOWN, 0.0, 300.0),)
    ),
    Scenario("config-edits", 0.7, faults=(Fault(FaultKind.EDITS, 250.0, 550.0),)),
)
