"""``swifttide explain``: one request's timeline and cause from the hosts' logs."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from swifttide_cli.commands._causes import cause_of
from swifttide_cli.commands._competitors import Competitors
from swifttide_cli.commands._log_lines import read_lines, seconds_of
from swifttide_cli.commands._options import Options
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report

BEFORE_SECONDS = 5.0
"""How long before a request's first line a change of a host's state is shown: a host
notices a lost peer, target or store within two seconds, and outages last seconds."""

STATE_EVENTS = frozenset(
    {
        "configuration_taken",
        "isolated",
        "isolation_ended",
        "lending_barred",
        "peer_lost",
        "peer_regained",
        "rate_share",
        "reload",
        "rows_from_peer",
        "settings_taken",
        "slots_handed_over",
        "slots_taken_over",
        "start",
        "store_full",
        "stopping",
        "store_history_lost",
        "store_lost",
        "store_out_of_reach",
        "store_reached",
        "store_regained",
        "strike",
        "target_cold",
        "target_left",
        "target_reachable",
        "target_seen",
        "target_unreachable",
        "zone_emptied",
        "zone_taken_back",
    }
)
"""Events that change what a host believes."""

LASTING = {
    "isolated": "isolation_ended",
    "store_out_of_reach": "store_reached",
    "target_unreachable": "target_reachable",
}
"""States that last, by the event that begins one, with the event that ends it."""

_HIDDEN = frozenset({"time", "level", "event", "host", "zone", "request_id"})


@cappa.command(
    name="explain",
    help="Tell from the hosts' logs why a request failed.",
    description="Joins the log lines of all hosts that saw the request, with what "
    "these hosts believed just before, and names the cause first.",
)
@dataclass(frozen=True)
class Explain:
    """Tell why a request failed.

    Parameters
    ----------
    request_id : str
        Id of the attempt, as the caller sent it.
    files : list of str
        Log files of the hosts; ``-`` or none reads standard input.
    """

    request_id: Annotated[str, cappa.Arg(help="Id of the attempt that failed.")]
    files: Annotated[
        list[str],
        cappa.Arg(value_name="FILE", num_args=-1, help="Log files; - for stdin."),
    ] = ()

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return read_lines(self.files).bind(self._explain)

    def _explain(self, lines) -> Result[Report, Failure]:
        own = [line for line in lines if line.get("request_id") == self.request_id]
        if not own:
            return Error(self._not_found())
        return Ok(_report(self.request_id, own, lines))

    def _not_found(self) -> Failure:
        return Failure(
            code=ExitCode.NOT_FOUND,
            message=f"no log line of request {self.request_id}",
            advice="give the logs of all hosts. A request that no host has logged "
            "never reached one, or was cut off by the death of its host; under load "
            "lines are left out, and the next line of that event counts them.",
        )


def _report(request_id, own, lines) -> Report:
    own.sort(key=seconds_of)
    first, last = seconds_of(own[0]), seconds_of(own[-1])
    hosts = {line.get("host") for line in own}
    targets = {line["target"] for line in own if "target" in line}
    around = [
        line
        for line in lines
        if line.get("host") in hosts
        and line["event"] in STATE_EVENTS
        and first - BEFORE_SECONDS <= seconds_of(line) <= last
        and _concerns(line, targets)
    ]
    around += _lasting(lines, hosts, targets, first - BEFORE_SECONDS)
    other_attempts = _other_attempts(request_id, own, lines)
    timeline = sorted([*around, *own, *other_attempts], key=seconds_of)
    rows = tuple(
        (
            f"{seconds_of(line) - first:+.3f}",
            line.get("host"),
            _event(line, request_id),
            _details(line),
        )
        for line in timeline
    )
    cause = cause_of(own, around)
    data = {"request_id": request_id, "cause": cause, "timeline": timeline}
    competitors = Competitors.find(own, lines)
    told = (f"cause: {cause}",)
    if competitors:
        data["gave_way_to"] = competitors.as_dict()
        text = competitors.as_text()
        told += (f"contention: {text}",) if text else ()
    return Report(
        data,
        lines=told,
        columns=("SECONDS", "HOST", "EVENT", "DETAILS"),
        rows=rows,
    )


def _other_attempts(request_id, own, lines):
    """Return the lines of the caller's other attempts at the same stream."""
    resumed = (line["resumed_attempt"] for line in own if line.get("resumed_attempt"))
    first = next(resumed, request_id)
    return [
        line
        for line in lines
        if line.get("request_id") != request_id
        and first in (line.get("request_id"), line.get("resumed_attempt"))
    ]


def _event(line, request_id) -> str:
    other = line.get("request_id", request_id)
    return line["event"] if other == request_id else f"{line['event']} ({other})"


def _lasting(lines, hosts, targets, before):
    """Return the states that began long before the request and hadn't ended.

    An outage of the store may have begun ten seconds before the request that it
    failed; shown only by its beginning nearby, the request would have no cause.
    """
    ends = {end: begin for begin, end in LASTING.items()}
    current = {}
    for line in sorted(lines, key=seconds_of):
        event = line["event"]
        state = ends.get(event, event)
        if state not in LASTING or line.get("host") not in hosts:
            continue
        if seconds_of(line) >= before or not _concerns(line, targets):
            continue
        place = (line["host"], state, line.get("target"))
        if event in ends:
            current.pop(place, None)
        else:
            current[place] = line
    return list(current.values())


def _concerns(line, targets) -> bool:
    """Whether a state event bears on the request: other targets' don't."""
    return "target" not in line or line["target"] in targets


def _details(line) -> str:
    return " ".join(f"{k}={v}" for k, v in line.items() if k not in _HIDDEN)
