"""Origin of a stream that is resumed, and how a host knows it."""

from dataclasses import dataclass
from enum import StrEnum

from swifttide_core.resumption._stream_origin import StreamOrigin


class OriginSource(StrEnum):
    """How the origin of a stream is known.

    ``OWN_RECORD`` and ``PEER_RECORD`` are records of the stream's first event at this
    host or at another one. ``REQUEST_RECORD`` means that records tell of one origin
    only for all streams that answered the same request. ``VERSION_HISTORY`` means that
    all targets of the service have had one version for as long as a stream may be
    resumed.
    """

    OWN_RECORD = "own_record"
    PEER_RECORD = "peer_record"
    REQUEST_RECORD = "request_record"
    VERSION_HISTORY = "version_history"


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """Origin of a stream that a caller resumes.

    Parameters
    ----------
    origin : StreamOrigin
    source : OriginSource
    """

    origin: StreamOrigin
    source: OriginSource
