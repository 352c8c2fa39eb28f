"""Replays the lines of a trace and collects every difference."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from swifttide_core.replay._action_comparison import actions_match
from swifttide_core.replay._difference import Difference
from swifttide_core.replay._encoding import encode_with_type
from swifttide_core.replay._invariants import InvariantChecker
from swifttide_core.replay._machine import MACHINES, StateMachine
from swifttide_core.replay._trace_line import Outcome, TraceLine

DISPATCH_ACTION_TYPES = ("Dispatch", "RunModel")
"""Class names of the actions that send a request to a target."""

ANSWER_ACTION_TYPES = ("Reply", "Refuse", "ReplyTurn", "RefuseRequest")
"""Class names of the actions that answer the caller; each run has exactly one."""


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Result of a replay.

    Parameters
    ----------
    n_runs, n_steps : int
        Number of runs (calls and turns) and of events that were replayed.
    differences : tuple of Difference
        Empty if the replay matches the trace and no invariant is broken.
    """

    n_runs: int
    n_steps: int
    differences: tuple[Difference, ...]


@dataclass(slots=True)
class _Run:
    """State of one run, with the class names of all its actions so far."""

    machine: StateMachine
    subject: Any
    state: Any
    actions: list[str] = field(default_factory=list)


def replay_lines(lines: Iterable[bytes]) -> ReplayResult:
    """Replay a trace.

    Parameters
    ----------
    lines : iterable of bytes
        JSON lines. Empty lines and lines that start with ``//`` are skipped.

    Returns
    -------
    ReplayResult
        All differences: actions that differ from the recorded ones, outcomes that
        differ from the expected ones, invariants broken over the whole trace, and
        lines that can't be read.
    """
    replay = _Replay()
    for number, line in enumerate(lines, 1):
        if line.strip() and not line.startswith(b"//"):
            replay.replay_line(number, line)
    return ReplayResult(
        n_runs=len(replay.runs),
        n_steps=replay.n_steps,
        differences=(*replay.differences, *replay.invariants.differences()),
    )


class _Replay:
    """State of a replay: the runs so far and the differences found."""

    def __init__(self) -> None:
        self.runs: dict[str, _Run] = {}
        self.invariants = InvariantChecker()
        self.differences: list[Difference] = []
        self.n_steps = 0

    def replay_line(self, number: int, data: bytes) -> None:
        """Replay one line and report it as a difference if it can't be read."""
        try:
            line = msgspec.json.decode(data, type=TraceLine)
            self._replay_line(number, line)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            got = f"{type(exc).__name__}: {exc}"
            self.differences.append(Difference(number, "", "a valid trace line", got))

    def _replay_line(self, number: int, line: TraceLine) -> None:
        if line.machine:
            machine = MACHINES[line.machine]
            arguments = [
                msgspec.convert(raw, kind)
                for raw, kind in zip(line.start or (), machine.start_types, strict=True)
            ]
            step = machine.start(*arguments)
            run = _Run(machine, arguments[0], step.state)
            self.runs[line.run] = run
            self._compare(number, line, run, None, step.actions)
        elif line.event is not None:
            run = self.runs[line.run]
            members = {k: v for k, v in line.event.items() if k != "type"}
            event = msgspec.convert(members, run.machine.events[line.event["type"]])
            step = run.machine.step(run.state, event)
            run.state = step.state
            self.n_steps += 1
            self._compare(number, line, run, event, step.actions)
        if line.outcome is not None:
            self._check_outcome(number, line.run, line.outcome)

    def _compare(
        self, number: int, line: TraceLine, run: _Run, event: Any, actions: tuple
    ) -> None:
        run.actions += [type(action).__name__ for action in actions]
        self.invariants.record_step(line.run, run.subject, event, actions)
        got = [encode_with_type(action) for action in actions]
        if not actions_match(run.machine, line.actions, actions):
            stated = msgspec.json.encode(line.actions).decode()
            shown = msgspec.json.encode(got).decode()
            self.differences.append(Difference(number, line.run, stated, shown))

    def _check_outcome(self, number: int, name: str, outcome: Outcome) -> None:
        actions = self.runs[name].actions
        answers = [action for action in actions if action in ANSWER_ACTION_TYPES]
        if answers != [outcome.answer]:
            got = ", ".join(answers) or "no answer"
            self.differences.append(Difference(number, name, outcome.answer, got))
        dispatched = sum(action in DISPATCH_ACTION_TYPES for action in actions)
        if outcome.dispatched not in (None, dispatched):
            stated = f"{outcome.dispatched} dispatches"
            self.differences.append(Difference(number, name, stated, str(dispatched)))
