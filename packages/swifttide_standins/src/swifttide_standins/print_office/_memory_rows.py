"""Rows in memory, with versions, conditions and a history of changes."""

import asyncio
from dataclasses import dataclass

Place = tuple[str, str, str]
"""Table, part and key."""


@dataclass(frozen=True)
class StoredValue:
    """A value and the version of the transaction that wrote it."""

    value: bytes
    version: int


class MemoryRows:
    """Linearizable rows.

    Attributes
    ----------
    version : int
        Of the newest transaction.
    log : list
        Every change: version, place and value; None for a removal.
    """

    def __init__(self):
        self.version = 0
        self.rows: dict[Place, StoredValue] = {}
        self.log: list[tuple[int, Place, bytes | None]] = []
        self.first_known = 0
        self.n_commits = 0
        self._changed = asyncio.Event()

    def commit(
        self,
        conditions: list[tuple[Place, int]],
        puts: list[tuple[Place, bytes]],
        removes: list[Place],
    ) -> list[tuple[Place, StoredValue | None]] | None:
        """Apply all or nothing; return the rows of a condition that failed."""
        current = [(place, self.rows.get(place)) for place, _ in conditions]
        for (_, row), (_, expected) in zip(current, conditions, strict=True):
            if (row.version if row else 0) != expected:
                return current
        self.n_commits += 1
        self.version += 1
        for place, value in puts:
            self.rows[place] = StoredValue(value, self.version)
            self.log.append((self.version, place, value))
        for place in removes:
            if self.rows.pop(place, None) is not None:
                self.log.append((self.version, place, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return None

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row without a condition."""
        self.commit([], [((table, part, key), value)], [])

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self.commit([], [], [(table, part, key)])

    def range(
        self, table: str, part: str, start: str, end: str
    ) -> list[tuple[Place, StoredValue]]:
        """Return the rows of a part in order of their keys."""
        found = [
            (place, row)
            for place, row in self.rows.items()
            if place[:2] == (table, part)
            and place[2] >= start
            and (not end or place[2] < end)
        ]
        return sorted(found, key=lambda item: item[0][2].encode())

    def changes(self, table: str, after: int) -> list[tuple[int, Place, bytes | None]]:
        """Return what changed in a table after a version."""
        return [c for c in self.log if c[0] > after and c[1][0] == table]

    def forget_history(self) -> None:
        """Drop all changes; who asks for earlier ones must read again."""
        self.first_known = self.version
        self.log.clear()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until something changes, or until the time is over."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
