"""Origins of recent streams by what was asked, as one host remembers them."""

from collections import OrderedDict

from swifttide_core.resumption._stream_origin import StreamOrigin

MAX_REQUESTS = 50_000
"""Requests that are remembered, about 500 bytes each."""


class RequestOrigins:
    """Maps requests to the origins of the streams that answered them.

    Several attempts may ask the same and get streams of different origins. The requests
    whose last stream began longest ago are dropped beyond `MAX_REQUESTS`.
    """

    def __init__(self):
        self._expiries: OrderedDict[str, dict[StreamOrigin, float]] = OrderedDict()

    def add(self, key: str, origin: StreamOrigin, seconds: float, now: float) -> None:
        """Remember the origin of a stream.

        Parameters
        ----------
        key : str
            Key of the request.
        origin : StreamOrigin
        seconds : float
            Time for which it is remembered.
        now : float
            Current time in monotonic seconds.
        """
        expiries = self._expiries.setdefault(key, {})
        expiries[origin] = max(now + seconds, expiries.get(origin, 0.0))
        self._expiries.move_to_end(key)
        while self._expiries:
            oldest = next(iter(self._expiries.values()))
            if len(self._expiries) <= MAX_REQUESTS and max(oldest.values()) > now:
                return
            self._expiries.popitem(last=False)

    def find(self, key: str, now: float) -> frozenset[StreamOrigin]:
        """Return the origins of the streams that answered a request."""
        expiries = self._expiries.get(key, {})
        return frozenset(origin for origin, at in expiries.items() if at > now)
