"""What a fleet consists of."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Zones, their processes and the daemons' timing.

    Parameters
    ----------
    zones : tuple of str
        Availability zones.
    hosts_per_zone, engines_per_zone : int
        Processes of each zone.
    services : tuple of str
        Plain services, one process each, which is a target of every zone.
    n_slots : int
        Slots of a zone.
    lease_seconds, renew_seconds, drift_margin_seconds : float
        Lease of the daemons, shorter than in production so that a takeover
        doesn't take up most of a run.
    poll_seconds : float
        Time between the daemons' reads of the configuration's head.
    engine_options, service_options, platform_options : dict
        Further options of the stand-ins' command lines.
    daemon_settings : dict
        Further settings of the daemons.
    target_options : dict
        Further members of the targets' documents.
    """

    zones: tuple[str, ...] = ("za", "zb")
    hosts_per_zone: int = 2
    engines_per_zone: int = 2
    services: tuple[str, ...] = ("billing",)
    n_slots: int = 64
    lease_seconds: float = 3.0
    renew_seconds: float = 1.0
    drift_margin_seconds: float = 0.5
    poll_seconds: float = 0.5
    engine_options: dict = field(default_factory=dict)
    service_options: dict = field(default_factory=dict)
    platform_options: dict = field(default_factory=dict)
    daemon_settings: dict = field(default_factory=dict)
    target_options: dict = field(default_factory=dict)

    def settings(self, zone: str, platform_url: str, operator_hash: str) -> dict:
        """Return the settings that a zone's daemons share."""
        return {
            "zone": zone,
            "platform_url": platform_url,
            "operator_key_hashes": [operator_hash],
            "n_slots": self.n_slots,
            "lease": {
                "lease_seconds": self.lease_seconds,
                "renew_seconds": self.renew_seconds,
                "drift_margin_seconds": self.drift_margin_seconds,
            },
            "config": {"poll_seconds": self.poll_seconds},
            **self.daemon_settings,
        }
