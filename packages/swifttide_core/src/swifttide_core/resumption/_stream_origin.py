"""Software that began a stream."""

from dataclasses import dataclass

from swifttide_core.forwarding import TargetEntry


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of the target that made a stream's first event.

    What two versions write doesn't fit together, and targets don't check it. A stream
    may therefore go on only at a target of its origin.

    Parameters
    ----------
    service : str
    software_version : str
    """

    service: str
    software_version: str

    @classmethod
    def of(cls, target: TargetEntry) -> "StreamOrigin":
        """Return the origin of the streams that begin at a target."""
        return cls(target.service, target.software_version)

    def fits(self, target: TargetEntry) -> bool:
        """Return whether a stream of this origin may go on at a target."""
        return self == StreamOrigin.of(target)
