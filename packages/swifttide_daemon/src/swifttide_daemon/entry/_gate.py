"""Counts the requests under way, so that a planned stop cuts none."""

import threading
from collections.abc import Iterator
from enum import StrEnum

from swifttide_core.verdicts import Reason, Refusal


class GateState(StrEnum):
    """How far a host is in its life."""

    STARTING = "starting"
    OPEN = "open"
    LEAVING = "leaving"
    CLOSED = "closed"


class Gate:
    """Lets requests in and waits for the last one to leave.

    Notes
    -----
    ``LEAVING`` still takes requests: the balancer needs a moment to see that the
    host isn't ready any more, and a request that it sends meanwhile must not fail.
    """

    def __init__(self) -> None:
        self.state = GateState.STARTING
        self._n_in_flight = 0
        self._changed = threading.Condition()

    def set(self, state: GateState) -> None:
        """Move on to another state."""
        with self._changed:
            self.state = state

    def enter(self) -> Refusal | None:
        """Count a request in, or say why it isn't taken."""
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
        """Count a request out."""
        with self._changed:
            self._n_in_flight -= 1
            self._changed.notify_all()

    def n_in_flight(self) -> int:
        """Return the requests under way."""
        with self._changed:
            return self._n_in_flight

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait until no request is under way; return whether that came about."""
        with self._changed:
            return self._changed.wait_for(lambda: self._n_in_flight == 0, seconds)

    def track_body(self, chunks: Iterator[bytes]) -> Iterator[bytes]:
        """Yield the chunks of an answer and count its request out at the end."""
        return _TrackedBody(self, chunks)


class _TrackedBody:
    """Chunks of an answer whose request is counted out exactly once.

    A generator that was never started doesn't run its cleanup when it is closed: a
    caller that hangs up before the first chunk would be counted as inside for good.
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
        """End the answer, finished or not; the server calls this."""
        try:
            self._chunks.close()
        finally:
            self._leave_once()

    def _leave_once(self) -> None:
        if self._is_in_flight:
            self._is_in_flight = False
            self._gate.leave()
