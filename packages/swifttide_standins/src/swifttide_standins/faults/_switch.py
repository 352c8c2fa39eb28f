"""The fault that a target has now."""

import threading

from swifttide_standins.faults._fault import Fault, FaultMode
from swifttide_standins.web import BadInput

FOREVER_SECONDS = 3600.0
MAX_CONNECTIONS = 20_000


class FaultSwitch:
    """Holds one fault and says whom it meets; safe to call from any thread."""

    def __init__(self, fault: Fault | None = None) -> None:
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._fault = Fault() if fault is None else fault
        self._left = self._fault.count
        self._seen: dict[str, None] = {}
        self._silent: frozenset[str] = frozenset()

    def put(self, fault: Fault) -> None:
        """Replace the fault; whoever hangs in the old one goes on.

        Raises
        ------
        BadInput
            When ``crash_on`` comes without a text, which would meet every request.
        """
        if fault.mode is FaultMode.CRASH_ON and not fault.text:
            raise BadInput("text: got '', expected a text for crash_on")
        with self._lock:
            self._fault = fault
            self._left = fault.count
            silent = fault.mode is FaultMode.SILENT
            self._silent = frozenset(self._seen) if silent else frozenset()
            self._ended.set()
            self._ended = threading.Event()

    def take(self, conn_id: str, content: str) -> Fault:
        """Return the fault that a request meets, and note its connection.

        Parameters
        ----------
        conn_id : str
            Connection of the request.
        content : str
            What the fault's text is searched in.
        """
        with self._lock:
            self._seen[conn_id] = None
            if len(self._seen) > MAX_CONNECTIONS:
                self._seen.pop(next(iter(self._seen)))
            fault = self._fault
            if fault.mode is FaultMode.SILENT:
                return fault if conn_id in self._silent else Fault()
            if fault.text not in content:
                return Fault()
            self._count_down()
            return fault

    def is_silent(self, conn_id: str) -> bool:
        """Return whether the connection has gone silent."""
        return conn_id in self._silent

    def hang(self, seconds: float = 0.0) -> None:
        """Block until the fault is replaced, at most `seconds` (0: no end)."""
        self._ended.wait(seconds or FOREVER_SECONDS)

    def _count_down(self) -> None:
        if self._fault.count == 0:
            return
        self._left -= 1
        if self._left == 0:
            self._fault = Fault()
