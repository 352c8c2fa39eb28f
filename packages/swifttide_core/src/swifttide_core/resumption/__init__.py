"""Decides at which targets a stream that broke off may go on, without I/O."""

from swifttide_core.resumption._known_origin import KnownOrigin, OriginSource
from swifttide_core.resumption._origin_keepers import (
    keeper_candidates,
    rank_origin_keepers,
)
from swifttide_core.resumption._origin_records import OriginRecords
from swifttide_core.resumption._request_origins import RequestOrigins
from swifttide_core.resumption._service_versions import (
    STREAM_AGE_TIMEOUTS,
    ServiceVersions,
)
from swifttide_core.resumption._stream_origin import StreamOrigin
from swifttide_core.resumption._turn_event_records import (
    TurnEvent,
    TurnEventRecords,
)
from swifttide_core.resumption._version_history import VersionHistory, VersionsSeen

__all__ = [
    "STREAM_AGE_TIMEOUTS",
    "KnownOrigin",
    "OriginRecords",
    "OriginSource",
    "RequestOrigins",
    "ServiceVersions",
    "StreamOrigin",
    "TurnEvent",
    "TurnEventRecords",
    "VersionHistory",
    "VersionsSeen",
    "keeper_candidates",
    "rank_origin_keepers",
]
