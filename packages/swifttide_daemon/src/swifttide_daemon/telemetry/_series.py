"""Collectors of aioprometheus, made safe for threads and for any label."""

import re
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from aioprometheus.collectors import Counter, Gauge, Histogram

MAX_SERIES = 512
"""Label sets of one metric; the next ones are counted under ``other``."""

OTHER = "other"
_UNSAFE = re.compile(r"[^A-Za-z0-9._:/-]")
_MAX_LABEL_CHARACTERS = 64


@dataclass(slots=True)
class Series:
    """One metric with a bounded number of label sets.

    A label that callers choose, such as the name of a profile that doesn't exist,
    would else add a series for each value until the host's memory is gone. The
    text format of aioprometheus doesn't escape values either: a quote in one
    breaks the whole page for the scraper.

    Parameters
    ----------
    collector : Counter, Gauge or Histogram
        Where values are kept.
    lock : threading.Lock
        Shared by all metrics of a host; aioprometheus is made for one thread, and
        two that add at once lose an increment.
    """

    collector: Counter | Gauge | Histogram
    lock: threading.Lock
    _known: dict[tuple[str, ...], dict[str, str]] = field(default_factory=dict)

    def add(self, value: float = 1, **labels: str) -> None:
        """Add to a counter, or observe in a histogram."""
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
