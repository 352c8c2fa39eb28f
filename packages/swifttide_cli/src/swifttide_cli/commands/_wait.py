"""Waiting until an edit is in force at every live host."""

import time
from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from swifttide_cli.api import HostRow, OperatorClient
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report

POLL_SECONDS = 0.25
LIVE = "live"


@dataclass(frozen=True, kw_only=True)
class WaitOptions:
    """Whether an edit waits for the fleet.

    Parameters
    ----------
    wait : bool
        Wait until every live host has the edit in force.
    wait_seconds : float
        Longest wait.
    """

    wait: Annotated[
        bool,
        cappa.Arg(long="--wait", help="Until every live host has it in force."),
    ] = False
    wait_seconds: Annotated[
        float,
        cappa.Arg(long="--wait-seconds", help="Longest wait."),
    ] = 30.0

    def finish(
        self, client: OperatorClient, report: Report, version: int
    ) -> Result[Report, Failure]:
        """Return the report of an accepted edit once it is in force."""
        if not self.wait:
            return Ok(report)
        return _wait(client, version, self.wait_seconds).map(
            lambda n_hosts: _add_in_force(report, n_hosts)
        )


def _add_in_force(report: Report, n_hosts: int) -> Report:
    line = f"In force at {n_hosts} live hosts."
    data = {**report.data, "in_force_hosts": n_hosts}
    return Report(data=data, lines=(*report.lines, line), notes=report.notes)


def _wait(client: OperatorClient, version: int, seconds: float) -> Result[int, Failure]:
    """Poll the list of hosts; a daemon that fails to answer is asked again."""
    deadline = time.monotonic() + seconds
    while True:
        found = client.hosts()
        live = [h for h in found.default_value([]) if h.state == LIVE]
        behind = [h for h in live if h.config_version < version]
        if live and not behind:
            return Ok(len(live))
        if time.monotonic() >= deadline:
            return Error(_not_in_force(version, seconds, behind, found))
        time.sleep(POLL_SECONDS)


def _not_in_force(
    version: int,
    seconds: float,
    behind: list[HostRow],
    found: Result[list[HostRow], Failure],
) -> Failure:
    details = tuple(
        f"{h.host} in {h.zone} has version {h.config_version}" for h in behind
    )
    if found.is_error():
        details = (found.error.message, *found.error.details)
    return Failure(
        code=ExitCode.NOT_IN_FORCE,
        message=f"accepted as version {version}, but not in force everywhere after "
        f"{seconds:g} s",
        advice="the edit stays; look with `swifttide hosts`. A host that is cut off "
        "takes it once it reaches the platform or a peer.",
        details=details or ("no live host is listed",),
        data={"version": version, "behind": [h.host for h in behind]},
    )
