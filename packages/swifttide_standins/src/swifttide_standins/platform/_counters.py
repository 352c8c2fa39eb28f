"""Counts of what the platform was asked."""

import threading
from collections import Counter


class Counters:
    """Counts by name and by the calling host; safe to call from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total: Counter[str] = Counter()
        self._by_host: dict[str, Counter[str]] = {}

    def add(
        self, kind: str, host: str, what: str, bytes_in: int, bytes_out: int
    ) -> None:
        """Count one call.

        Parameters
        ----------
        kind : str
            "reads" or "writes".
        host : str
            Value of ``X-Host``.
        what : str
            Table or collection that it was about.
        bytes_in, bytes_out : int
            Size of the request and of the answer, HTTP headers included.
        """
        with self._lock:
            self._total[kind] += 1
            self._total[f"{kind}:{what}"] += 1
            self._total[f"bytes:{what}"] += bytes_in + bytes_out
            of_host = self._by_host.setdefault(host, Counter())
            of_host[kind] += 1
            of_host["bytes"] += bytes_in + bytes_out

    def report(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self._lock:
            by_host = {host: dict(counts) for host, counts in self._by_host.items()}
            report = {"reads": 0, "writes": 0, **self._total}
            return {**report, "by_host": by_host}
