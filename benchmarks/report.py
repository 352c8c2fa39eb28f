"""Table and JSON of a run of the bench."""

import json
from pathlib import Path

from benchmarks.outcome import RunOutcome

COLUMNS = (
    ("p50", "p50 s", "{:.1f}"),
    ("p95", "p95 s", "{:.1f}"),
    ("p99", "p99 s", "{:.1f}"),
    ("goodput", "in time", "{:.3f}"),
    ("goodput_all", "all in time", "{:.3f}"),
    ("worst_share", "worst", "{:.2f}"),
    ("wrongful_refusals", "wrongful", "{:.4f}"),
    ("recomputed_tokens", "again", "{:.2f}"),
    ("held_token_seconds", "held Mt.s", "{:.0f}"),
    ("wasted_work", "wasted", "{:.3f}"),
)
"""Attribute, heading and format of each figure."""


def format_table(outcomes: list[RunOutcome]) -> str:
    """Return the table as text, one block for each site and scenario."""
    lines = [_line(["site", "scenario", "policy", *(c[1] for c in COLUMNS)])]
    row = None
    for outcome in outcomes:
        if row != (outcome.site, outcome.scenario):
            row = (outcome.site, outcome.scenario)
            lines.append("")
        figures = [fmt.format(getattr(outcome, name)) for name, _, fmt in COLUMNS]
        lines.append(_line([*row, outcome.policy, *figures]))
    return "\n".join(lines)


def format_aims(outcomes: list[RunOutcome]) -> str:
    """Return which aims are met and each row in which one is missed."""
    rows = _rows(outcomes)
    lines = []
    for (site, scenario), row in rows.items():
        ours, ideal = row["swifttide"], row["ideal"]
        lines.extend(_misses(site, scenario, ours, ideal, row))
    n_rows = len(rows)
    head = f"\nAims missed ({n_rows} rows looked at):"
    return "\n".join([head, *(lines or ["none"])])


def write_json(outcomes: list[RunOutcome], path: Path) -> None:
    """Write the figures, in a form that is equal for equal runs."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figures = [outcome.as_dict() for outcome in outcomes]
    text = json.dumps(figures, indent=1, sort_keys=True)
    path.write_text(text + "\n", encoding="utf-8")


def _rows(outcomes: list[RunOutcome]) -> dict:
    rows: dict = {}
    for outcome in outcomes:
        row = rows.setdefault((outcome.site, outcome.scenario), {})
        row[outcome.policy] = outcome
    return rows


def _misses(site, scenario, ours, ideal, row):
    where = f"  {site} {scenario}:"
    if scenario == "steady" and ours.p95 > 1.25 * ideal.p95:
        yield f"{where} p95 {ours.p95:.1f} s, over 1.25 x {ideal.p95:.1f} s"
    if ours.wrongful_refusals > 0.005:
        yield f"{where} wrongful refusals {ours.wrongful_refusals:.2%}, over 0.5%"
    if scenario == "overload-3x" and ours.worst_share < 0.9:
        yield f"{where} worst-served customer {ours.worst_share:.2f}, under 0.9"
    for name, other in row.items():
        if name in ("swifttide", "ideal"):
            continue
        if other.p95 < ours.p95:
            yield f"{where} p95 {ours.p95:.1f} s, {name} has {other.p95:.1f} s"
        if other.goodput > ours.goodput:
            yield f"{where} in time {ours.goodput:.3f}, {name} has {other.goodput:.3f}"
        if other.worst_share > ours.worst_share + 0.005:
            yield (
                f"{where} worst {ours.worst_share:.2f}, "
                f"{name} has {other.worst_share:.2f}"
            )


def _line(cells: list[str]) -> str:
    widths = [13, 17, 18] + [9] * (len(cells) - 3)
    pairs = zip(cells, widths, strict=True)
    return " ".join(
        cell.ljust(width) if number < 3 else cell.rjust(width)
        for number, (cell, width) in enumerate(pairs)
    )
