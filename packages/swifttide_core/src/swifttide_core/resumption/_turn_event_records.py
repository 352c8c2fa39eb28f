"""Events of recent turns, as one host remembers them.

Load: an entry for each event of a turn that may be resumed, at a few hosts.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 16_777_216
"""Size of all events that are remembered. A turn usually has some KB."""

EVENT_OVERHEAD_BYTES = 150
"""Memory that an event takes besides its data."""


@dataclass(frozen=True, slots=True)
class TurnEvent:
    """An event of a turn's answer.

    Parameters
    ----------
    id : int or None
        Id of the event; None if it has none.
    data : bytes or None
        Values of its data lines, joined by line feeds; None if it has no such line.
    """

    id: int | None
    data: bytes | None

    @property
    def n_bytes(self) -> int:
        """Size in memory, in bytes."""
        return EVENT_OVERHEAD_BYTES + len(self.data or b"")


@dataclass(slots=True)
class _Record:
    events: list[TurnEvent] = field(default_factory=list)
    n_bytes: int = 0
    expires_at: float = 0.0


class TurnEventRecords:
    """Maps turns to the events of their answers, for a limited time.

    A turn may have been sent by several attempts of its caller, each with an answer of
    its own. The oldest records are dropped beyond `MAX_EVENT_BYTES`.
    """

    def __init__(self):
        self._records: OrderedDict[tuple[str, str], _Record] = OrderedDict()
        self._attempts: dict[str, set[str]] = {}
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """Size of all events, in bytes."""
        return self._n_bytes

    def add(
        self,
        key: str,
        attempt: str,
        n_before: int,
        events: Iterable[TurnEvent],
        seconds: float,
        now: float,
    ) -> None:
        """Remember further events of an answer.

        Events that don't follow those known are ignored: the answer then isn't known
        beyond its gap.

        Parameters
        ----------
        key : str
            Key of the turn.
        attempt : str
            Id of the attempt that began the answer.
        n_before : int
            Number of events before these. With 0 the answer begins anew.
        events : iterable of TurnEvent
        seconds : float
            Time for which the answer is remembered.
        now : float
            Current time in monotonic seconds.
        """
        if n_before == 0:
            self._drop((key, attempt))
        record = self._records.setdefault((key, attempt), _Record())
        self._records.move_to_end((key, attempt))
        self._attempts.setdefault(key, set()).add(attempt)
        record.expires_at = now + seconds
        if len(record.events) == n_before:
            added = list(events)
            record.events += added
            n_bytes = sum(event.n_bytes for event in added)
            record.n_bytes += n_bytes
            self._n_bytes += n_bytes
        self._drop_oldest(now)

    def find(
        self, key: str, attempt: str, last_event_id: int, now: float
    ) -> frozenset[tuple[TurnEvent, ...]]:
        """Return how the answers to a turn begin, up to an event.

        Parameters
        ----------
        key : str
            Key of the turn.
        attempt : str
            Id of the attempt that began the answer; empty for any.
        last_event_id : int
            Id of the last event that its caller has.
        now : float
            Current time in monotonic seconds.

        Returns
        -------
        frozenset of tuple of TurnEvent
            Empty if no answer is known up to that event; more than one where answers
            differ.
        """
        found = set()
        for known in self._attempts.get(key, ()):
            record = self._records[key, known]
            if record.expires_at > now and attempt in ("", known):
                found |= _up_to(record.events, last_event_id)
        return frozenset(found)

    def _drop_oldest(self, now):
        while self._records:
            place, oldest = next(iter(self._records.items()))
            if self._n_bytes <= MAX_EVENT_BYTES and oldest.expires_at > now:
                return
            self._drop(place)

    def _drop(self, place):
        record = self._records.pop(place, None)
        if record is None:
            return
        self._n_bytes -= record.n_bytes
        key, attempt = place
        attempts = self._attempts[key]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts[key]


def _up_to(events, last_event_id):
    """Return the events up to an id as the only element of a set; empty if unknown."""
    for n, event in enumerate(events, start=1):
        if event.id == last_event_id:
            return {tuple(events[:n])}
    return set()
