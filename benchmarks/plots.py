"""Plots of a run as PNG; needs matplotlib, which is optional."""

from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

from benchmarks.outcome import RunOutcome  # noqa: E402

FIGURES = (
    ("p95", "p95 program latency, s"),
    ("goodput", "programs inside their deadline"),
    ("worst_share", "worst-served customer over its fair share"),
    ("wasted_work", "work for programs given up"),
)


def write_plots(outcomes: list[RunOutcome], directory: Path) -> None:
    """Write one PNG for each site and figure.

    Parameters
    ----------
    outcomes : list of RunOutcome
        Of a whole run.
    directory : Path
        Where to.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for site in dict.fromkeys(o.site for o in outcomes):
        for name, label in FIGURES:
            rows = [o for o in outcomes if o.site == site]
            figure = _draw(rows, name, f"{site}: {label}")
            figure.savefig(directory / f"{site}-{name}.png", dpi=100)
            plt.close(figure)


def _draw(rows: list[RunOutcome], name: str, title: str):
    scenarios = list(dict.fromkeys(o.scenario for o in rows))
    policies = list(dict.fromkeys(o.policy for o in rows))
    figure, axes = plt.subplots(figsize=(14, 5), layout="constrained")
    width = 0.8 / len(policies)
    places = np.arange(len(scenarios))
    for number, policy in enumerate(policies):
        values = [getattr(o, name) for o in rows if o.policy == policy]
        axes.bar(places + number * width, values, width, label=policy)
    axes.set_xticks(places + 0.4 - width / 2, scenarios, rotation=30, ha="right")
    axes.set_title(title)
    axes.legend(ncols=len(policies), fontsize="small")
    return figure
