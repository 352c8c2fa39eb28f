"""Registration entry that a target writes about itself."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One running target of a service, as it registered itself.

    Parameters
    ----------
    id : str
        Registration id. Another process at the same address has a different id.
    service : str
    ip : str
    port : int
    zone : str
    capacity : int
        Requests that the target executes concurrently.
    draining : bool
        Whether the target has announced its shutdown and must get no new requests.
    started_ms : int
        Start time of the process, in milliseconds. It identifies a restart under the
        same id.
    cold_seconds : float or None
        Remaining warm-up time that the target reported when it wrote the entry; None
        if the reported value is invalid. It decreases with each entry and is therefore
        left out of comparisons.
    software_version : str
        Version of the software that the target runs. Versions have no order.
    """

    id: str
    service: str
    ip: str
    port: int
    zone: str
    capacity: int
    draining: bool = False
    started_ms: int = 0
    cold_seconds: float | None = field(default=0.0, compare=False)
    software_version: str = ""
