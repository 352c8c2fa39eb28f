"""The size to design for."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """Load and limits of the whole fleet.

    Parameters
    ----------
    daemons, zones, runners : int
        Hosts, availability zones and engines.
    requests_per_second, tokens_per_second : float
        At the peak.
    token_gap_seconds : float
        Longest time between tokens for 95 in 100.
    programs, customers : int
        Under way, and in steady use.
    history_tokens : int
        Longest history of a program.
    edits_per_day : float
        Changes of configuration.
    edit_seconds : float
        Time in which an edit must be in force everywhere.
    control_core, control_bytes, control_bytes_per_second : float
        What a daemon may spend on control.
    platform_reads, platform_writes : float
        What the platform takes a second; "several hundred" writes read as 500.
    """

    daemons: int = 380
    zones: int = 5
    runners: int = 600
    requests_per_second: float = 1200.0
    tokens_per_second: float = 430_000.0
    token_gap_seconds: float = 0.072
    programs: int = 12_000
    customers: int = 7_900
    history_tokens: int = 430_000
    edits_per_day: float = 1_900.0
    edit_seconds: float = 11.0
    control_core: float = 0.013
    control_bytes: float = 64 * 2**20
    control_bytes_per_second: float = 4096.0
    platform_reads: float = 2000.0
    platform_writes: float = 500.0

    @property
    def zone_hosts(self) -> float:
        """Hosts of a zone."""
        return self.daemons / self.zones

    @property
    def streams(self) -> float:
        """Streams under way at a daemon, when every token takes the longest gap."""
        tokens = self.tokens_per_second / self.requests_per_second
        seconds = tokens * self.token_gap_seconds
        return self.requests_per_second * seconds / self.daemons
