"""The demo's tables."""

from collections import Counter

from rich.console import Console
from rich.table import Table

from swifttide_standins.demo._check import Check
from swifttide_standins.demo._findings import Findings
from swifttide_standins.loadgen import ProgramRecord, Refused


def print_report(found: Findings, checks: list[Check]) -> None:
    """Print what each program's caller got, and the checks."""
    console = Console(width=100)
    console.print(_program_table(found))
    console.print(_call_table(found))
    console.print(_check_table(checks))


def _program_table(found: Findings) -> Table:
    table = Table("program", "turns", "in order", "effects", "sent again", "seconds")
    for record in found.programs:
        table.add_row(
            record.program,
            str(record.n_answered),
            _order(record),
            _effects(record, found.effects),
            _resent(record),
            f"{record.seconds:.1f}",
        )
    return table


def _call_table(found: Findings) -> Table:
    table = Table("call at the killed host", "got", "effects", "sent again")
    for call in found.calls_at_kill:
        key = call.spec.idempotency_key
        got = getattr(call.outcome, "verdict", type(call.outcome).__name__)
        causes = Counter(_cause(a.outcome) for a in call.attempts[:-1])
        table.add_row(key, got, str(found.effects.get(key, 0)), _counted(causes))
    return table


def _order(record: ProgramRecord) -> str:
    if record.wrong:
        return f"NO: {len(record.wrong)} differ"
    if record.finished:
        return "yes"
    return f"NO: {_cause(record.calls[-1].outcome)}"


def _effects(record: ProgramRecord, effects: dict[str, int]) -> str:
    parts = []
    for call in record.service_calls:
        n_effects = effects.get(call.spec.idempotency_key, 0)
        verdict = getattr(call.outcome, "verdict", type(call.outcome).__name__)
        parts.append(f"{n_effects} {verdict}")
    return ", ".join(f"{n}x ({part})" for part, n in Counter(parts).items())


def _resent(record: ProgramRecord) -> str:
    causes = Counter(
        _cause(attempt.outcome)
        for call in record.calls
        for attempt in call.attempts[:-1]
    )
    return _counted(causes)


def _counted(causes: Counter[str]) -> str:
    return ", ".join(f"{n} {cause}" for cause, n in causes.items())


def _cause(outcome: object) -> str:
    match outcome:
        case Refused(reason=reason):
            return reason
        case _:
            return type(outcome).__name__


def _check_table(checks: list[Check]) -> Table:
    table = Table("must hold", "holds", "seen")
    for check in checks:
        table.add_row(check.name, "yes" if check.holds else "NO", check.seen)
    return table
