"""Record of what was sent, answered and run in a case."""

import json
import time


class Record:
    """Writes events with their times to a file.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, event, **fields):
        """Write one event."""
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
