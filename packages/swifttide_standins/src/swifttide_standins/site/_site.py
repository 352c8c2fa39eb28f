"""The environment by which a shell reaches a running site."""

import shlex
from pathlib import Path

from swifttide_standins.launcher import Fleet, FleetPlan
from swifttide_standins.launcher._fleet import OPERATOR_KEY

TRACES = "hosts.spans"

PLAN = FleetPlan(
    zones=("khomas-a", "khomas-b"),
    hosts_per_zone=1,
    engines_per_zone=1,
    services=("fees", "print"),
    n_slots=8,
    engine_options={"models": "catalogue-8b"},
    daemon_settings={
        "traces": {"exporter": "file", "path": TRACES, "sample_ratio": 1.0}
    },
)
"""Two zones with an entry host and an engine each; traces of every request."""


def write_environment(fleet: Fleet, directory: Path, path: Path) -> None:
    """Write a file that a shell sources.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    directory : Path
        Where its processes keep their logs and traces.
    path : Path
        The file; readable by its owner only, since an operator's key stands in it.
    """
    urls = [host.url for host in fleet.hosts.values()]
    variables = {
        "SWIFTTIDE_URL": ",".join(urls),
        "SWIFTTIDE_OPERATOR_KEY": OPERATOR_KEY,
        "ENTRY_HOST": urls[0],
        "PLATFORM": fleet.platform.url,
        "ENGINE": next(iter(fleet.engines.values())).url,
        "SITE_LOGS": str(directory),
        "SITE_TRACES": str(directory / TRACES),
    }
    lines = [f"export {k}={shlex.quote(v)}\n" for k, v in variables.items()]
    part = path.with_suffix(".part")
    part.touch(mode=0o600)
    part.write_text("".join(lines), encoding="utf-8")
    part.replace(path)
