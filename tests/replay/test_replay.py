"""Steps of replay.feature."""

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

from swifttide_core.intents import TargetSilent, TargetUnreached, step_call
from swifttide_core.replay import CALL_MACHINE, replay_lines
from swifttide_core.replay import _replay as replay_module

TRACES = Path(__file__).parent / "traces"

scenarios("replay.feature")


@given(parsers.parse('the trace "{name}"'), target_fixture="lines")
def trace(name):
    return (TRACES / f"{name}.jsonl").read_bytes().splitlines(keepends=True)


@given("a version that takes a lost answer for a call that never went out")
def other_version(monkeypatch):
    def step(state, event):
        if isinstance(event, TargetSilent):
            event = TargetUnreached()
        return step_call(state, event)

    machines = {
        **replay_module.MACHINES,
        CALL_MACHINE.name: replace(CALL_MACHINE, step=step),
    }
    monkeypatch.setattr(replay_module, "MACHINES", machines)


@given("the first charge recorded once more under another attempt")
def recorded_twice(lines):
    starts = (json.loads(x) for x in lines if x.startswith(b"{"))
    run = next(s["run"] for s in starts if s.get("machine") == "call").encode()
    again = [x.replace(run, b"again") for x in lines if run in x]
    lines += again


@when("it is replayed", target_fixture="found")
def replayed(lines):
    return replay_lines(lines)


@when("the operator runs swifttide replay", target_fixture="output")
def command():
    argv = [sys.executable, "-m", "swifttide_cli", "replay"]
    path = TRACES / "lost-answers.jsonl"
    done = subprocess.run([*argv, path], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    return done.stdout


@then("everything is as stated")
def as_stated(found):
    assert [str(d) for d in found.differences] == []


@then(parsers.parse("{n:d} calls and turns were replayed"))
def counted(found, n):
    assert found.n_runs == n


@then("the replay shows a difference")
def differs(found):
    assert found.differences


@then("the replay says that the call would run twice")
def runs_twice(found):
    assert any("at most once" in d.stated for d in found.differences)


@then("the command says that all is as stated")
def command_output(output):
    assert "all as stated" in output
