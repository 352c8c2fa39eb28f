"""Steps of the replay of recorded failures."""

import json
from collections import Counter
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

from swifttide_core.replay import replay_lines

TRACES = Path(__file__).parents[1] / "traces"
SENT = ("Dispatch", "RunModel")
REPLIES = ("Reply", "ReplyTurn")

scenarios("recorded_failures.feature")


@given(parsers.parse('the trace "{name}"'), target_fixture="lines")
def read_trace(name):
    return (TRACES / f"{name}.jsonl").read_bytes().splitlines()


@when("it is replayed", target_fixture="replayed")
def replay(lines):
    return replay_lines(lines)


@then("every decision is as recorded")
def as_recorded(replayed):
    assert replayed.n_runs > 0
    assert replayed.differences == ()


@then(parsers.parse("{n:d} calls were sent to a target"))
def sent(lines, n):
    assert sum(counts(lines)[kind] for kind in SENT) == n


@then(
    parsers.parse(
        'callers got {replies:d} answers, {unknown:d} "may_have_run" '
        'and {not_run:d} "not_run"'
    )
)
def told(lines, replies, unknown, not_run):
    found = counts(lines)
    assert sum(found[kind] for kind in REPLIES) == replies
    assert found["may_have_run"] == unknown
    assert found["not_run"] == not_run


def counts(lines):
    """Count actions by type, and refusals by verdict."""
    actions = [a for line in lines for a in json.loads(line).get("actions", ())]
    refusals = [a["refusal"]["verdict"] for a in actions if "refusal" in a]
    return Counter([a["type"] for a in actions] + refusals)
