"""Software versions that the targets of each service have had."""

from collections.abc import Iterable
from dataclasses import dataclass

from swifttide_core.forwarding import TargetEntry

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
    `versions_within`.
    """

    def __init__(self):
        self._complete_since = float("inf")
        self._left_at: dict[str, dict[str, float]] = {}

    def restart(self, now: float) -> None:
        """Begin anew: changes before ``now`` may have been missed."""
        self._complete_since = now

    def record_left(self, target: TargetEntry, now: float) -> None:
        """Record that a target has left, or has another version from now on."""
        versions = self._left_at.setdefault(target.service, {})
        versions.pop(target.software_version, None)
        versions[target.software_version] = now
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
        return VersionsSeen(frozenset(found), now - self._complete_since >= seconds)
