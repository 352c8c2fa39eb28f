"""Software versions that the targets of each service have had."""

from collections.abc import Iterable
from dataclasses import dataclass

from swifttide_core.forwarding import TargetEntry
from swifttide_core.resumption._service_versions import ServiceVersions

MAX_VERSIONS_PER_SERVICE = 32
"""Versions without a target that are remembered for each service."""


@dataclass(frozen=True, slots=True)
class VersionsSeen:
    """Software versions that a service's targets had in a period that ends now.

    Parameters
    ----------
    versions : frozenset of str
    is_complete : bool
        Whether the whole period was observed; otherwise there may have been others.
    """

    versions: frozenset[str] = frozenset()
    is_complete: bool = False

    def __or__(self, other: "VersionsSeen") -> "VersionsSeen":
        """Return what two observers of the same period have seen together."""
        return VersionsSeen(
            self.versions | other.versions, self.is_complete or other.is_complete
        )

    @property
    def only_version(self) -> str | None:
        """The single version of the whole period; None if there may be another."""
        if not self.is_complete or len(self.versions) != 1:
            return None
        return next(iter(self.versions))


class VersionHistory:
    """Records when versions lost their last target.

    The targets that serve now are the owner's to know; it passes them to
    `versions_within`. Before this host began to observe, what all hosts have noted
    tells (`ServiceVersions`).

    Attributes
    ----------
    n_restarts : int
        Number of times that the history has begun anew.
    """

    def __init__(self):
        self._complete_since = float("inf")
        self._noted_since: dict[str, float] = {}
        self._left_at: dict[str, dict[str, float]] = {}
        self.n_restarts = 0

    def restart(self, now: float) -> None:
        """Begin anew: changes before ``now`` may have been missed."""
        self._complete_since = now
        self._noted_since.clear()
        self.n_restarts += 1

    def add_noted(
        self, service: str, noted: ServiceVersions, now_ms: int, now: float
    ) -> None:
        """Add what all hosts have noted up to now.

        Parameters
        ----------
        service : str
        noted : ServiceVersions
        now_ms : int
            Current time of the store.
        now : float
            The same in monotonic seconds.
        """
        for version, left_ms in noted.left_ms.items():
            # Versions that have targets may lose them before this host knows of them.
            at = now if left_ms is None else now - (now_ms - left_ms) / 1000.0
            self._record_left(service, version, at)
        self._noted_since[service] = now - (now_ms - noted.since_ms) / 1000.0

    def record_left(self, target: TargetEntry, now: float) -> None:
        """Record that a target has left, or has another version from now on."""
        self._record_left(target.service, target.software_version, now)

    def _record_left(self, service, version, at):
        versions = self._left_at.setdefault(service, {})
        versions[version] = max(at, versions.pop(version, at))
        if len(versions) > MAX_VERSIONS_PER_SERVICE:
            del versions[next(iter(versions))]

    def versions_within(
        self, service: str, seconds: float, targets: Iterable[TargetEntry], now: float
    ) -> VersionsSeen:
        """Return the versions of a service in the last ``seconds``.

        Parameters
        ----------
        service : str
        seconds : float
        targets : iterable of TargetEntry
            All targets that serve now.
        now : float
            Current time in monotonic seconds.
        """
        left = self._left_at.get(service, {})
        found = {version for version, at in left.items() if now - at <= seconds}
        found |= {t.software_version for t in targets if t.service == service}
        since = min(self._complete_since, self._noted_since.get(service, float("inf")))
        return VersionsSeen(frozenset(found), now - since >= seconds)
