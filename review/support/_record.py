"""Writes what was sent, answered and run to the record of a case."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the case began.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def seconds(self) -> float:
        """Return the time since the case began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Write one line."""
        print(f"{self.seconds():8.3f} s  {text}", file=self._file, flush=True)

    def conclude(self, text: str) -> None:
        """Write one line, and print it too."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
