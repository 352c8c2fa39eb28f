"""Remembers the newest decisions of a scheduler, for questions that are repeated."""

from collections import OrderedDict

from swifttide_core.scheduling import TurnId
from swifttide_daemon.gateway.targets._order_messages import OrderAnswer

ANSWER_RETENTION_SECONDS = 1.0
"""Time for which a decision is remembered. A host whose answer was lost asks again
within a few tenths of a second."""

MAX_ANSWERS = 5_000
"""Maximum number of remembered decisions, about 300 bytes each: those of several
seconds at 1,000 questions per second."""


class RecentAnswers:
    """Decisions of the last second by the identity of their questions."""

    def __init__(self):
        self._answers: OrderedDict[TurnId, tuple[OrderAnswer, float]] = OrderedDict()

    def add(self, id: TurnId, answer: OrderAnswer, now: float) -> None:
        """Remember a decision, and remove those that are too old."""
        self._answers[id] = (answer, now)
        self._answers.move_to_end(id)
        while self._answers:
            _, oldest_at = next(iter(self._answers.values()))
            is_old = now - oldest_at > ANSWER_RETENTION_SECONDS
            if not is_old and len(self._answers) <= MAX_ANSWERS:
                break
            self._answers.popitem(last=False)

    def find(self, id: TurnId, now: float) -> OrderAnswer | None:
        """Return the decision on a question; None if it isn't remembered."""
        answer, decided_at = self._answers.get(id, (None, now))
        return answer if now - decided_at <= ANSWER_RETENTION_SECONDS else None

    def remove(self, id: TurnId) -> OrderAnswer | None:
        """Remove and return the decision on a question, if there is one."""
        answer, _ = self._answers.pop(id, (None, 0.0))
        return answer
