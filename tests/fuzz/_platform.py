"""An in-memory platform: conditional transactions, lost answers, delayed writes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Weather(StrEnum):
    """How the platform treats one request."""

    FINE = "fine"
    DOWN = "down"
    LOST_ANSWER = "lost_answer"
    DELAYED = "delayed"


class NoAnswerError(Exception):
    """The platform gave no answer; a write may have taken effect, or still will."""


class ConflictError(Exception):
    """A check of a transaction failed; nothing was written."""


@dataclass(frozen=True, slots=True)
class Write:
    """One row to write if it still has `version` (0: is absent)."""

    table: str
    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Check:
    """A row that must still have `version` for a transaction to take effect."""

    table: str
    key: str
    version: int


class FakePlatform:
    """Tables and objects; each transaction id has one outcome for good."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.outcomes = {}
        self.delayed = []
        self._last_version = 0

    def read(self, table, key, weather=Weather.FINE):
        """Return (version, value); (0, None) when there is no such row."""
        if weather is not Weather.FINE:
            raise NoAnswerError
        return self.rows.get((table, key), (0, None))

    def transact(self, transaction, writes, checks=(), weather=Weather.FINE):
        """Return the version of each written row."""
        if weather is Weather.DELAYED:
            self.delayed.append((transaction, writes, checks))
        if weather in (Weather.DOWN, Weather.DELAYED):
            raise NoAnswerError
        outcome = self._take_effect(transaction, writes, checks)
        if weather is Weather.LOST_ANSWER:
            raise NoAnswerError
        if outcome is None:
            raise ConflictError
        return outcome

    def deliver(self, i):
        """Let the delayed transaction number `i` take effect."""
        self._take_effect(*self.delayed.pop(i))

    def put_object(self, name, content, weather=Weather.FINE):
        """Store an object; other bytes under the same name are a conflict."""
        if weather in (Weather.DOWN, Weather.DELAYED):
            raise NoAnswerError
        if self.objects.setdefault(name, content) != content:
            raise ConflictError
        if weather is Weather.LOST_ANSWER:
            raise NoAnswerError

    def _take_effect(self, transaction, writes, checks):
        if transaction not in self.outcomes:
            self.outcomes[transaction] = self._commit(writes, checks)
        return self.outcomes[transaction]

    def _commit(self, writes, checks):
        for row in (*checks, *writes):
            if self.rows.get((row.table, row.key), (0, None))[0] != row.version:
                return None
        versions = []
        for write in writes:
            self._last_version += 1
            self.rows[write.table, write.key] = (self._last_version, write.value)
            versions.append(self._last_version)
        return versions
