"""One process that the launcher started."""

import contextlib
import json
import os
import signal
import subprocess
import time
from pathlib import Path

READY_SECONDS = 30.0
POLL_SECONDS = 0.02
STOP_SECONDS = 20.0
LOG_TAIL_BYTES = 2000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CPU_FIELDS = slice(11, 13)
"""User and system time in ``/proc/PID/stat``, counted after the command's name."""


class ManagedProcess:
    """A process with its log and the file that it writes once it listens.

    Parameters
    ----------
    name : str
        For messages and file names.
    argv : list of str
        Command.
    directory : Path
        Gets the log and the ready file.
    ready_file : Path
        JSON object that the process writes once it serves.
    """

    def __init__(
        self, name: str, argv: list[str], directory: Path, ready_file: Path
    ) -> None:
        self.name = name
        self.argv = argv
        self.log = directory / f"{name}.log"
        self._ready_file = ready_file
        self._popen = self._start()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process hasn't ended."""
        return self._popen.poll() is None

    def wait_ready(self) -> dict:
        """Return what the process wrote once it served.

        Raises
        ------
        RuntimeError
            With the end of the log, when it ended or took too long.
        """
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline and self.alive:
            with contextlib.suppress(FileNotFoundError, json.JSONDecodeError):
                return json.loads(self._ready_file.read_text(encoding="utf-8"))
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f"{self.name} didn't get ready:\n{self.log_tail()}")

    def kill(self) -> None:
        """End the process at once (SIGKILL)."""
        self._popen.kill()
        self._popen.wait()

    def freeze(self) -> None:
        """Pause the process (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop gracefully (SIGTERM)."""
        self._popen.terminate()

    def wait(self, seconds: float = STOP_SECONDS) -> int | None:
        """Return the exit status, or None when it hasn't ended after `seconds`."""
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def restart(self, argv: list[str] | None = None) -> None:
        """Start the process anew after it ended."""
        self.kill()
        self.argv = self.argv if argv is None else argv
        self._popen = self._start()

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, user and system."""
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="utf-8")
        fields = stat.rpartition(") ")[2].split()
        return sum(map(int, fields[CPU_FIELDS])) / CLOCK_TICKS

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        statm = Path(f"/proc/{self.pid}/statm").read_text(encoding="utf-8")
        return int(statm.split()[1]) * PAGE_BYTES

    def log_tail(self) -> str:
        """Return the end of the log."""
        return self.log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def _start(self) -> subprocess.Popen:
        self._ready_file.unlink(missing_ok=True)
        with self.log.open("ab") as log:
            return subprocess.Popen(
                self.argv, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
