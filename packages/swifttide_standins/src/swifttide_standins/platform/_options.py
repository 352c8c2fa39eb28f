"""Command line of the platform."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from swifttide_standins.platform._app import platform_app
from swifttide_standins.web import ServeOptions, serve


@cappa.command(name="platform", description="Serve the platform's stand-in.")
@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Options of ``python -m swifttide_standins.platform``."""

    port: Annotated[int, cappa.Arg(long=True, help="0: the OS chooses")] = 0
    ready_file: Annotated[str, cappa.Arg(long=True, help="gets the port")] = ""
    threads: Annotated[int, cappa.Arg(long=True)] = 64
    host_lag_seconds: Annotated[
        float, cappa.Arg(long=True, help="age of the host list")
    ] = 0.0

    def __call__(self) -> None:
        """Serve until SIGTERM."""
        opts = ServeOptions(self.port, self.ready_file, self.threads)
        serve(platform_app(self.host_lag_seconds), opts)
