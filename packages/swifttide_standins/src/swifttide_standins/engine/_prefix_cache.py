"""The prefix cache, by program."""

import os
import threading
from collections import OrderedDict


class PrefixCache:
    """Rendered histories by program, dropped least recently used first.

    Parameters
    ----------
    capacity_bytes : int
        Of all programs together.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._lock = threading.Lock()
        self._prefixes: OrderedDict[str, bytes] = OrderedDict()

    def store(self, program: str, prefix: bytes) -> None:
        """Keep a program's history, dropping others where it needs the room."""
        if not program:
            return
        with self._lock:
            self._prefixes[program] = prefix
            self._prefixes.move_to_end(program)
            while self._held() > self.capacity_bytes:
                self._prefixes.popitem(last=False)

    def match(self, program: str, prompt: bytes) -> int:
        """Return how many bytes of `prompt` the program's prefix covers."""
        with self._lock:
            prefix = self._prefixes.get(program, b"")
        if prompt.startswith(prefix):
            return len(prefix)
        return len(os.path.commonprefix([prefix, prompt]))

    def get(self, program: str) -> bytes | None:
        """Return a program's prefix or None."""
        with self._lock:
            return self._prefixes.get(program)

    def release(self, program: str) -> bool:
        """Drop a program's prefix and return whether there was one."""
        with self._lock:
            return self._prefixes.pop(program, None) is not None

    def listing(self) -> dict[str, int]:
        """Return the bytes held by program."""
        with self._lock:
            return {program: len(p) for program, p in self._prefixes.items()}

    def _held(self) -> int:
        return sum(map(len, self._prefixes.values()))
