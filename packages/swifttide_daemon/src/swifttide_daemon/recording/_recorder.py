"""Records what the core's machines were told and asked for."""

import os
import threading
from typing import Any

from swifttide_core.replay import StateMachine, encode_start, encode_step
from swifttide_daemon.store import new_id


class RecordedRun:
    """One call or turn that is being recorded.

    Parameters
    ----------
    recorder : Recorder
    name : str
        Unique id of the run.
    """

    def __init__(self, recorder: "Recorder", name: str) -> None:
        self._recorder = recorder
        self._name = name

    def record_step(self, event: Any, actions: tuple[Any, ...]) -> None:
        """Record an event and what followed."""
        if self._recorder.enabled:
            self._recorder.append_line(encode_step(self._name, event, actions))


class Recorder:
    """Appends to a trace file, or does nothing.

    Parameters
    ----------
    path : str
        File; empty records nothing. It holds customers' names, program ids and the
        answers of services, but no conversations.
    """

    def __init__(self, path: str) -> None:
        self._lock = threading.Lock()
        self._fd = -1
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._fd = os.open(path, flags, 0o600)

    @property
    def enabled(self) -> bool:
        """Whether anything is recorded."""
        return self._fd >= 0

    def record_start(
        self,
        machine: StateMachine,
        arguments: tuple[Any, ...],
        actions: tuple[Any, ...],
    ) -> RecordedRun:
        """Record the start of a run."""
        run = RecordedRun(self, new_id() if self.enabled else "")
        if self.enabled:
            self.append_line(encode_start(machine, run._name, arguments, actions))
        return run

    def append_line(self, line: bytes) -> None:
        """Append a line; a full file system must not fail the call."""
        try:
            with self._lock:
                os.write(self._fd, line)
        except OSError:
            self._fd = -1
