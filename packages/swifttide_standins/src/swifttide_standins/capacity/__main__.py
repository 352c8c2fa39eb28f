"""``make capacity``: measure and print the slopes."""

import signal
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from swifttide_standins.capacity._control import measure_control
from swifttide_standins.capacity._derive import derive
from swifttide_standins.capacity._edits import measure_edits
from swifttide_standins.capacity._memory import measure_memory
from swifttide_standins.capacity._report import (
    print_derived,
    print_slopes,
    write_slopes,
)
from swifttide_standins.capacity._requests import measure_requests
from swifttide_standins.capacity._size import Size
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._targets import measure_targets

PARTS = {
    "control": measure_control,
    "requests": measure_requests,
    "memory": measure_memory,
    "edits": measure_edits,
    "targets": measure_targets,
}


@cappa.command(name="capacity", description="Measure slopes on real processes.")
@dataclass(frozen=True, slots=True)
class CapacityOptions:
    """Options of ``python -m swifttide_standins.capacity``."""

    parts: Annotated[
        tuple[str, ...], cappa.Arg(help=f"of {', '.join(PARTS)}; none for all")
    ] = ()
    json: Annotated[str, cappa.Arg(long=True, help="file that gets the slopes")] = ""

    def __call__(self) -> None:
        """Measure and print."""
        slopes: list[Slope] = []
        for part in self.parts or PARTS:
            started = time.monotonic()
            found = PARTS[part]()
            print_slopes(found)
            print(f"{part}: {time.monotonic() - started:.0f} s", flush=True)
            slopes += found
        if not self.parts:
            values = {slope.name: slope.value for slope in slopes}
            print_derived(derive(values, Size()))
        if self.json:
            write_slopes(slopes, self.json)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    cappa.invoke(CapacityOptions)
