"""Bursts and a loss of all hosts, with and without the gate for new programs.

    python -m benchmarks.overload [SEEDS]

Hosts with the gateway's own decisions, engines that shed and callers that ask again, on
a paused clock (`swifttide_daemon.gateway.tests._overload`). For each load and with the
gate on and off: the programs that end in time, in windows of two seconds, least and
mean as parts of what the engines can finish, and how many are refused. The same seeds
give the same figures on every run.
"""

import asyncio
import logging
import sys
from dataclasses import dataclass

from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.tests._overload import N_TURNS, Fleet
from swifttide_daemon.gateway.tests._overload_engines import (
    ENGINE_CONCURRENCY,
    TURN_SECONDS,
)
from swifttide_daemon.gateway.tests.conftest import FakeStore
from swifttide_daemon.telemetry import EventLog
from swifttide_standins.paused_clock import run_paused

N_HOSTS = 5
N_ENGINES = 2
BEARABLE = N_ENGINES * ENGINE_CONCURRENCY / TURN_SECONDS / N_TURNS

CALM = 0.6
"""Load before and after a burst, as a part of what the engines can finish."""

BURST_AT, BURST_END, END = 6.0, 18.0, 30.0
BACK_SECONDS = 1.0
WINDOW_SECONDS = 2.0


class OpenEntry(ProgramEntry):
    """Lets every program begin."""

    async def check(self, request_id, service, program, seconds) -> None:
        """Let a new program begin."""


@dataclass(frozen=True, slots=True)
class Case:
    """A load, and whether all hosts are lost as it begins.

    Parameters
    ----------
    burst : float
        Programs that begin, for each that the engines can finish.
    loses_hosts : bool
    """

    burst: float
    loses_hosts: bool


CASES = [Case(b, lost) for b in (1.3, 2.5, 4.0, 6.0) for lost in (False, True)]


@dataclass(frozen=True, slots=True)
class Result:
    """What became of the programs of one play, as parts of what engines can finish."""

    least: float
    mean: float
    after: float
    n_refused: int


async def play(case: Case, seed: int, entry_type: type[ProgramEntry]) -> Result:
    """Play a burst once."""
    log = EventLog(logging.getLogger("swifttide.bench"))
    fleet = Fleet(N_HOSTS, N_ENGINES, FakeStore(), log, seed, entry_type)
    telling = asyncio.create_task(fleet.exchange_beacons())
    calm = asyncio.create_task(fleet.load(CALM * BEARABLE, END))
    await asyncio.sleep(BURST_AT)
    if case.loses_hosts:
        fleet.kill_all()
        await asyncio.sleep(BACK_SECONDS)
        fleet.start_all()
    more = (case.burst - CALM) * BEARABLE
    await fleet.load(more, BURST_END, "burst")
    await calm
    telling.cancel()
    return _result(fleet)


def _result(fleet) -> Result:
    outcomes = fleet.outcomes
    starts = range(int(BURST_AT) + 4, int(BURST_END), int(WINDOW_SECONDS))
    windows = [
        outcomes.count(outcomes.finished_in_time, s, s + WINDOW_SECONDS) for s in starts
    ]
    bearable = BEARABLE * WINDOW_SECONDS
    after = BURST_END + 2.0
    begun = outcomes.count(outcomes.started, after, END)
    return Result(
        min(windows) / bearable,
        sum(windows) / len(windows) / bearable,
        outcomes.count(outcomes.finished_in_time, after, END) / begun,
        len(outcomes.refusals),
    )


def main() -> int:
    """Play all cases and print a table."""
    logging.disable(logging.CRITICAL)
    n_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print(
        "| burst | hosts lost | gate | least window | mean | 2 s after it | refused |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for name, entry_type in (("off", OpenEntry), ("on", ProgramEntry)):
            results = [
                run_paused(play(case, seed, entry_type))
                for seed in range(1, n_seeds + 1)
            ]
            print(_row(case, name, results), flush=True)
    return 0


def _row(case, name, results) -> str:
    def mean(field):
        return sum(getattr(r, field) for r in results) / len(results)

    cells = [
        f"{case.burst:g}",
        "yes" if case.loses_hosts else "no",
        name,
        *(f"{mean(field):.2f}" for field in ("least", "mean", "after")),
        f"{mean('n_refused'):.0f}",
    ]
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    raise SystemExit(main())
