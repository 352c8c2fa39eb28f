"""Which decisions take part in a run of the bench."""

from dataclasses import dataclass, field

from swifttide_core.admission import AdmissionConfig
from swifttide_core.retention import RetentionConfig
from swifttide_core.routing import RoutingConfig


@dataclass(frozen=True, slots=True)
class Features:
    """Decisions that an ablation switches off.

    Parameters
    ----------
    admission : AdmissionConfig
        Settings of model targets.
    routing : RoutingConfig
        Settings of the router.
    retention : RetentionConfig
        Settings of retention.
    fair : bool
        Whether customers are told apart in the queue.
    affinity : bool
        Whether the router hears of prefixes.
    retain : bool
        Whether retention decides on paused programs.
    release : bool
        Whether the cache of ended programs is released.
    local_counts : bool
        Whether the router hears what its host sent.
    renew : bool
        Whether running grants are renewed and adopted by a new holder.
    deadlines : bool
        Whether the queue hears of deadlines.
    urgency : bool
        Whether the queue hears of urgency.
    working_set : bool
        Whether the queue hears how long histories are.
    remaining : bool
        Whether the queue hears how long a program still needs.
    adaptive : bool
        Whether the limit moves below the operators' bound.
    gate_sub_agents : bool
        Whether sub-agents wait for room like new programs.
    reports : bool
        Whether the engines report the calls that wait inside.
    """

    admission: AdmissionConfig = field(
        default_factory=lambda: AdmissionConfig(lease_seconds=15.0)
    )
    routing: RoutingConfig = field(default_factory=RoutingConfig)
    retention: RetentionConfig = field(default_factory=RetentionConfig)
    fair: bool = True
    affinity: bool = True
    retain: bool = True
    release: bool = True
    local_counts: bool = True
    renew: bool = True
    deadlines: bool = True
    urgency: bool = True
    working_set: bool = True
    remaining: bool = True
    adaptive: bool = True
    reports: bool = True
    gate_sub_agents: bool = True
