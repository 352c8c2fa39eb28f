"""Command line of the plain service."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from swifttide_standins.service._app import service_app
from swifttide_standins.service._effects import Effects
from swifttide_standins.web import ServeOptions, serve


@cappa.command(name="service", description="Serve a plain service's stand-in.")
@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of ``python -m swifttide_standins.service``."""

    port: Annotated[int, cappa.Arg(long=True, help="0: the OS chooses")] = 0
    ready_file: Annotated[str, cappa.Arg(long=True, help="gets the port")] = ""
    threads: Annotated[int, cappa.Arg(long=True)] = 64
    seconds: Annotated[float, cappa.Arg(long=True, help="time of a call")] = 0.0
    journal: Annotated[str, cappa.Arg(long=True, help="file that keeps effects")] = ""

    def __call__(self) -> None:
        """Serve until SIGTERM."""
        opts = ServeOptions(self.port, self.ready_file, self.threads)
        serve(service_app(Effects(self.journal), self.seconds), opts)
