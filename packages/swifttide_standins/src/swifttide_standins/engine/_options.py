"""Command line of the engine."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from swifttide_standins.engine._app import engine_app
from swifttide_standins.engine._settings import EngineSettings
from swifttide_standins.web import ServeOptions, serve


@cappa.command(name="engine", description="Serve an engine's stand-in.")
@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of ``python -m swifttide_standins.engine``."""

    port: Annotated[int, cappa.Arg(long=True, help="0: the OS chooses")] = 0
    ready_file: Annotated[str, cappa.Arg(long=True, help="gets the port")] = ""
    threads: Annotated[int, cappa.Arg(long=True)] = 64
    models: Annotated[str, cappa.Arg(long=True, help="comma-separated")] = "default"
    words_per_second: Annotated[float, cappa.Arg(long=True)] = 100.0
    prefill_words_per_second: Annotated[float, cappa.Arg(long=True)] = 20_000.0
    max_running: Annotated[int, cappa.Arg(long=True)] = 16
    cache_capacity_bytes: Annotated[int, cappa.Arg(long=True)] = 64 * 2**20
    load_lag_seconds: Annotated[float, cappa.Arg(long=True)] = 0.5
    load_model_seconds: Annotated[float, cappa.Arg(long=True)] = 0.5
    checks_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    platform_url: Annotated[str, cappa.Arg(long=True)] = ""
    crash_on: Annotated[str, cappa.Arg(long=True, help="text that ends it")] = ""

    def __call__(self) -> None:
        """Serve until SIGTERM."""
        settings = EngineSettings(
            models=tuple(self.models.split(",")),
            words_per_second=self.words_per_second,
            prefill_words_per_second=self.prefill_words_per_second,
            max_running=self.max_running,
            cache_capacity_bytes=self.cache_capacity_bytes,
            load_lag_seconds=self.load_lag_seconds,
            load_model_seconds=self.load_model_seconds,
            checks_fencing=self.checks_fencing,
            platform_url=self.platform_url,
            crash_on=self.crash_on,
        )
        opts = ServeOptions(self.port, self.ready_file, self.threads)
        serve(engine_app(settings), opts)
