"""Records the state machines of calls and turns in a trace file.

For each call or turn, the file holds the arguments that its state machine started
with, the events that the machine received and the actions that it returned.
``swifttide replay`` reads the file. Nothing is recorded unless a path is set.
"""

import os
import threading
from typing import Any

from swifttide_core.replay import StateMachine, encode_start, encode_step
from swifttide_daemon.store import new_id


class RecordedRun:
    """Recording of one call or turn.

    Parameters
    ----------
    recorder : Recorder
        Recorder that writes the steps.
    name : str
        Unique id of the run in the trace; empty if nothing is recorded.
    """

    def __init__(self, recorder: "Recorder", name: str) -> None:
        self._recorder = recorder
        self._name = name

    def record_step(self, event: Any, actions: tuple[Any, ...]) -> None:
        """Record an event and the actions that the state machine returned for it."""
        if self._recorder.enabled:
            self._recorder.append_line(encode_step(self._name, event, actions))


class Recorder:
    """Appends lines to a trace file, or does nothing if no path is set.

    Parameters
    ----------
    path : str
        Path of the trace file; if empty, nothing is recorded. The file contains names
        of customers, ids of programs and answers of services, but no conversations.
    """

    def __init__(self, path: str) -> None:
        self._lock = threading.Lock()
        self._fd = -1
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._fd = os.open(path, flags, 0o600)

    @property
    def enabled(self) -> bool:
        """Whether a trace is being recorded."""
        return self._fd >= 0

    def record_start(
        self,
        machine: StateMachine,
        arguments: tuple[Any, ...],
        actions: tuple[Any, ...],
    ) -> RecordedRun:
        """Record the start of a call or turn and return its recording."""
        run = RecordedRun(self, new_id() if self.enabled else "")
        if self.enabled:
            self.append_line(encode_start(machine, run._name, arguments, actions))
        return run

    def append_line(self, line: bytes) -> None:
        """Append a line to the trace file.

        If writing fails, such as on a full file system, recording ends for good. The
        recorded call itself must not fail.
        """
        try:
            with self._lock:
                os.write(self._fd, line)
        except OSError:
            self._fd = -1
