"""The effects that the service had."""

import threading
from collections import Counter
from pathlib import Path

MAX_HEADERS = 5000


class Effects:
    """Counts arrivals by idempotency key, deliberately without deduplication.

    Parameters
    ----------
    journal : str
        File with a key a line that outlives the process, so that a crash doesn't
        hide an effect from the count; empty for none.
    """

    def __init__(self, journal: str = "") -> None:
        self._lock = threading.Lock()
        self._journal = Path(journal) if journal else None
        self._effects: Counter[str] = Counter(self._read_journal())
        self._by_customer: Counter[str] = Counter()
        self._headers: dict[str, None] = {}

    def add(self, key: str, customer: str, headers: dict[str, str]) -> int:
        """Count an effect and return how many there were in all."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        with self._lock:
            self._effects[key] += 1
            self._by_customer[customer] += 1
            if len(self._headers) < MAX_HEADERS:
                self._headers.update(dict.fromkeys(lines))
            if self._journal:
                with self._journal.open("a", encoding="utf-8") as file:
                    file.write(f"{key}\n")
            return self._effects.total()

    def report(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self._lock:
            return {
                "effects": dict(self._effects),
                "customers": dict(self._by_customer),
                "headers_seen": list(self._headers),
            }

    def _read_journal(self) -> list[str]:
        if self._journal is None or not self._journal.exists():
            return []
        return self._journal.read_text(encoding="utf-8").splitlines()
