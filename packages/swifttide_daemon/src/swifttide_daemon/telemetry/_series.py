"""Wrapper of aioprometheus collectors, safe for threads and for untrusted labels."""

import re
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from aioprometheus.collectors import Counter, Gauge, Histogram

MAX_SERIES = 512
"""Limit of label sets per metric; further ones are counted under ``other``."""

OTHER = "other"
_UNSAFE = re.compile(r"[^A-Za-z0-9._:/-]")
_MAX_LABEL_CHARACTERS = 64


@dataclass(slots=True)
class Series:
    """One metric with a limited number of label sets.

    A label that callers choose, such as the name of a profile that doesn't exist,
    would otherwise add a series for each value until the host runs out of memory. The
    text format of aioprometheus also doesn't escape label values: a quote in one would
    make the whole page invalid for the scraper.

    Parameters
    ----------
    collector : Counter, Gauge or Histogram
        Collector that stores the values.
    lock : threading.Lock
        Lock shared by all metrics of a host. aioprometheus is not thread-safe:
        concurrent additions would lose increments.
    """

    collector: Counter | Gauge | Histogram
    lock: threading.Lock
    _known: dict[tuple[str, ...], dict[str, str]] = field(default_factory=dict)

    def add(self, value: float = 1, **labels: str) -> None:
        """Increment a counter, or observe a value in a histogram."""
        with self.lock:
            self.collector.add(self._safe_labels(labels), value)

    def set(self, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self.lock:
            self.collector.set(self._safe_labels(labels), value)

    def _safe_labels(self, labels: Mapping[str, str]) -> dict[str, str]:
        values = tuple(labels.values())
        found = self._known.get(values)
        if found is not None:
            return found
        if len(self._known) >= MAX_SERIES:
            return dict.fromkeys(labels, OTHER)
        found = {name: _safe_value(value) for name, value in labels.items()}
        self._known[values] = found
        return found


def _safe_value(value: str) -> str:
    return _UNSAFE.sub("_", str(value))[:_MAX_LABEL_CHARACTERS]
