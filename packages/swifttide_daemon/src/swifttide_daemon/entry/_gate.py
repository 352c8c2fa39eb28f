"""Count of the requests in flight, for a graceful shutdown.

A host that is stopped refuses new requests and waits until all requests in flight have
ended. Without the count, a planned stop would abort requests.
"""

import threading
from collections.abc import Iterator
from enum import StrEnum

from swifttide_core.verdicts import Reason, Refusal


class GateState(StrEnum):
    """Stage of a host between start and shutdown."""

    STARTING = "starting"
    OPEN = "open"
    LEAVING = "leaving"
    CLOSED = "closed"


class Gate:
    """Accepts or refuses requests and counts those in flight.

    Notes
    -----
    Requests are still accepted in the state ``LEAVING``. The load balancer needs some
    time to notice that the host is not ready any more, and requests that it sends
    during that time must not fail. Only ``CLOSED`` refuses requests.
    """

    def __init__(self) -> None:
        self.state = GateState.STARTING
        self._n_in_flight = 0
        self._changed = threading.Condition()

    def set(self, state: GateState) -> None:
        """Change the state of the host."""
        with self._changed:
            self.state = state

    def enter(self) -> Refusal | None:
        """Add a request to the count, or return the refusal if the gate is closed."""
        with self._changed:
            if self.state is GateState.CLOSED:
                return Refusal(
                    Reason.STOPPING,
                    "this host is stopping; send the request again",
                    retry_after_seconds=1.0,
                )
            self._n_in_flight += 1
            return None

    def leave(self) -> None:
        """Remove a request from the count."""
        with self._changed:
            self._n_in_flight -= 1
            self._changed.notify_all()

    def n_in_flight(self) -> int:
        """Return the number of requests in flight."""
        with self._changed:
            return self._n_in_flight

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait until no request is in flight; return False after a timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._n_in_flight == 0, seconds)

    def track_body(self, chunks: Iterator[bytes]) -> Iterator[bytes]:
        """Return the chunks of an answer and count its request until they end."""
        return _TrackedBody(self, chunks)


class _TrackedBody:
    """Chunks of an answer whose request is removed from the count exactly once.

    This is a class because a generator that was never started doesn't run its
    ``finally`` blocks when it is closed. The request of a caller that disconnects
    before the first chunk would then stay in the count forever.
    """

    def __init__(self, gate: Gate, chunks: Iterator[bytes]) -> None:
        self._gate = gate
        self._chunks = chunks
        self._is_in_flight = True

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except BaseException:
            self._leave_once()
            raise

    def close(self) -> None:
        """Close the answer, complete or not; called by the HTTP server."""
        try:
            self._chunks.close()
        finally:
            self._leave_once()

    def _leave_once(self) -> None:
        if self._is_in_flight:
            self._is_in_flight = False
            self._gate.leave()
