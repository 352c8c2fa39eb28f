"""``swifttide contention``: who was served and refused while slots were scarce."""

from collections import Counter
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from expression import Error, Ok, Result

from swifttide_cli.commands._contended_window import (
    COLUMNS,
    ContendedWindow,
    name_in,
)
from swifttide_cli.commands._log_lines import read_lines
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._scheduler_status import EVENT, SchedulerStatus
from swifttide_cli.commands._target_shares import COLUMNS as TARGET_COLUMNS
from swifttide_cli.commands._target_shares import target_shares
from swifttide_cli.commands._windows import (
    DEFAULT_WINDOW_SECONDS,
    ENDINGS,
    check_window,
    split_windows,
)
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report, Table

WORK_FIELDS = ("service", "route", "rank", "customer")
"""Fields of a refusal that ``no_place_for_program`` of the same request may add."""


@cappa.command(
    name="contention",
    help="Show from the hosts' logs who was served and refused under load.",
    description="For each service and window of time: slots, load, limit and reserved "
    "slots at the highest load; requests served, waiting and refused by rank, customer "
    "and zone, and their waits. Then the speed of each target and its share.",
)
@dataclass(frozen=True)
class Contention:
    """Show who was served and refused under load.

    Parameters
    ----------
    files : list of str
        Log files of the hosts; ``-`` or none reads standard input.
    window : float
        Length of a window, in seconds.
    service : str
        Service to show; empty for all.
    """

    files: Annotated[
        list[str],
        cappa.Arg(value_name="LOG", num_args=-1, help="Log files; - for stdin."),
    ] = ()
    window: Annotated[
        float, cappa.Arg(long="--window", help="Seconds of a window (2).")
    ] = DEFAULT_WINDOW_SECONDS
    service: Annotated[
        str, cappa.Arg(long="--service", value_name="NAME", help="Show one service.")
    ] = ""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            check_window(self.window)
            .bind(lambda _: read_lines(self.files))
            .bind(self._report)
        )

    def _report(self, lines) -> Result[Report, Failure]:
        own = _with_work(lines)
        services = sorted({line["service"] for line in own})
        if self.service:
            own = [line for line in own if line["service"] == self.service]
        if not own:
            return Error(self._not_found(services))
        windows = _windows(own, self.window)
        served = Counter(
            (line["service"], line["target"])
            for line in own
            if line["event"] == "request_served" and line.get("target")
        )
        statuses = [SchedulerStatus.from_line(x) for x in own if x["event"] == EVENT]
        shown = [self.service] if self.service else services
        shares = target_shares(statuses, served, shown)
        left_out = _left_out(own)
        targets = Table("Targets", TARGET_COLUMNS, tuple(s.as_row() for s in shares))
        return Ok(
            Report(
                {
                    "windows": [w.as_dict() for w in windows],
                    "targets": [s.as_dict() for s in shares],
                    "left_out": dict(left_out),
                },
                columns=COLUMNS,
                rows=tuple(row for w in windows for row in w.as_rows()),
                tables=(targets,) if shares else (),
                notes=tuple(
                    f"hosts left out {n} lines {event}: these requests aren't counted"
                    for event, n in sorted(left_out.items())
                ),
            )
        )

    def _not_found(self, services) -> Failure:
        if not services:
            message = "no line of a request or of a scheduler's status"
            advice = "give the logs of all hosts."
        else:
            message = f"no line of service {self.service}"
            advice = f"the logs have lines of: {', '.join(services)}."
        return Failure(ExitCode.NOT_FOUND, message, advice)


def _with_work(lines) -> list[dict[str, Any]]:
    """Return the lines to count, each with the name of its service.

    Lines of older hosts lack the service, rank and customer. A refusal gets them from
    ``no_place_for_program`` of its request, a served request gets its service from the
    schedulers that know its target.
    """
    refused = {
        line.get("request_id"): line
        for line in lines
        if line["event"] == "no_place_for_program" and line.get("request_id")
    }
    service_of = {
        target: status.service
        for status in (
            SchedulerStatus.from_line(x) for x in lines if x["event"] == EVENT
        )
        for target in status.targets
    }
    found = []
    for line in lines:
        if line["event"] not in ENDINGS and line["event"] != EVENT:
            continue
        more = {}
        if line["event"] == "request_refused":
            told = refused.get(line.get("request_id"), {})
            more = {name: told.get(name) for name in WORK_FIELDS}
        elif line["event"] == "request_served":
            more = {"service": service_of.get(line.get("target"))}
        known = {k: v for k, v in line.items() if v is not None and v != ""}
        own = more | known
        found.append(own | {"service": name_in(own, "service")})
    return found


def _windows(own, seconds) -> list[ContendedWindow]:
    windows = []
    for start, lines in split_windows(own, seconds).items():
        by_service: dict[str, ContendedWindow] = {}
        for line in lines:
            service = line["service"]
            window = by_service.setdefault(service, ContendedWindow(service, start))
            if line["event"] == EVENT:
                window.add_status(SchedulerStatus.from_line(line))
            else:
                window.add_request(line)
        for window in by_service.values():
            window.close()
        windows += [by_service[service] for service in sorted(by_service)]
    return windows


def _left_out(own) -> Counter[str]:
    """Return the number of lines that hosts suppressed to bound their logs."""
    counts: Counter[str] = Counter()
    for line in own:
        n = line.get("suppressed")
        if line["event"] in ENDINGS and isinstance(n, int):
            counts[line["event"]] += n
    return counts
