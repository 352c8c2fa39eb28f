"""Origins of recent streams, as one host remembers them."""

from collections import OrderedDict
from dataclasses import dataclass

from swifttide_core.resumption._stream_origin import StreamOrigin

MAX_RECORDS = 50_000
"""Streams that are remembered, about 400 bytes each."""


@dataclass(frozen=True, slots=True)
class _Record:
    origin: StreamOrigin
    expires_at: float


class OriginRecords:
    """Maps keys of streams to their origins for a limited time.

    The oldest records are dropped beyond `MAX_RECORDS`.
    """

    def __init__(self):
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, key: str, origin: StreamOrigin, seconds: float, now: float) -> None:
        """Remember the origin of a stream; a known stream keeps its first one.

        Parameters
        ----------
        key : str
        origin : StreamOrigin
        seconds : float
            Time for which it is remembered.
        now : float
            Current time in monotonic seconds.
        """
        known = self._records.pop(key, None)
        if known is not None and known.expires_at > now:
            origin = known.origin
        self._records[key] = _Record(origin, now + seconds)
        self._drop_oldest(now)

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; None if it isn't known at ``now``."""
        record = self._records.get(key)
        return record.origin if record and record.expires_at > now else None

    def _drop_oldest(self, now):
        while self._records:
            oldest = next(iter(self._records.values()))
            if len(self._records) <= MAX_RECORDS and oldest.expires_at > now:
                return
            self._records.popitem(last=False)
