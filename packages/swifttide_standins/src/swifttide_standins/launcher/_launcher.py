"""Starts processes in a temporary directory and always ends them."""

import json
import logging
import secrets
import sys
import tempfile
from pathlib import Path
from types import TracebackType

from swifttide_standins.launcher._managed_process import ManagedProcess

logger = logging.getLogger(__name__)

STANDIN = "swifttide_standins.{}"
DAEMON = "swifttide_daemon"


class Launcher:
    """Context manager that ends all it started when it is left.

    Attributes
    ----------
    directory : Path
        Holds settings, logs and ready files; deleted at the end.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="swifttide-")
        self.directory = Path(self._temporary.name)
        self._processes: list[ManagedProcess] = []
        self._secret = self.directory / "deployment-secret"
        self._secret.write_text(secrets.token_hex(32), encoding="utf-8")

    def __enter__(self) -> "Launcher":
        """Return the launcher."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process, frozen ones too, and delete the directory.

        After an error the end of each log is logged first, since the logs are gone
        afterwards.
        """
        for process in self._processes:
            process.kill()
        if exc is not None:
            self.show_logs()
        self._temporary.cleanup()

    def show_logs(self) -> None:
        """Log the end of each process's log that has more than its first line."""
        for process in self._processes:
            tail = process.log_tail()
            if tail.count("\n") > 1:
                logger.error("log of %s:\n%s", process.name, tail)

    def standin(self, kind: str, name: str, **options: object) -> ManagedProcess:
        """Start a stand-in.

        Parameters
        ----------
        kind : {"platform", "engine", "service"}
            Which one.
        name : str
            Of the process.
        **options
            Of its command line; True stands for a bare switch, False for none.
        """
        ready_file = self.directory / f"{name}.ready"
        argv = [sys.executable, "-m", STANDIN.format(kind)]
        argv += ["--ready-file", str(ready_file), *_switches(options)]
        return self._add(ManagedProcess(name, argv, self.directory, ready_file))

    def daemon(self, host: str, settings: dict) -> ManagedProcess:
        """Start a ``swifttided``.

        Parameters
        ----------
        host : str
            Id of the host.
        settings : dict
            Settings but for the host's id, the secret and the ready file.
        """
        ready_file = self.directory / f"{host}.ready"
        own = {
            "host": host,
            "deployment_secret_file": str(self._secret),
            "ready_file": str(ready_file),
        }
        path = self.directory / f"{host}.json"
        path.write_text(json.dumps({**settings, **own}, indent=1), encoding="utf-8")
        argv = [sys.executable, "-m", DAEMON, "--settings", str(path)]
        return self._add(ManagedProcess(host, argv, self.directory, ready_file))

    def _add(self, process: ManagedProcess) -> ManagedProcess:
        self._processes.append(process)
        return process


def _switches(options: dict[str, object]) -> list[str]:
    argv = []
    for name, value in options.items():
        switch = f"--{name.replace('_', '-')}"
        match value:
            case True:
                argv.append(switch)
            case False:
                pass
            case _:
                argv += [switch, str(value)]
    return argv
