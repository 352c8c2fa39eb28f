"""Invariants over all runs of a trace, whatever actions its lines record.

A call is dispatched by at most one run, not counting runs whose target was not
reached. A turn is always answered from the same chunk. Two runs may break an invariant
although each of them matches its recording.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from swifttide_core.intents import Dispatch, IntentRow, TargetUnreached
from swifttide_core.programs import ReplyTurn, Turn
from swifttide_core.replay._difference import Difference


@dataclass(slots=True)
class InvariantChecker:
    """Collects the dispatches and answers of all runs and reports broken invariants.

    Attributes
    ----------
    dispatched_runs : dict
        Ids of the runs that dispatched a call to a target, by the key of the call's
        row (customer and idempotency key).
    chunks : dict
        Chunks that each turn was answered from, by program and turn number.
    """

    dispatched_runs: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    chunks: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def record_step(self, run: str, subject: Any, event: Any, actions: tuple) -> None:
        """Record one step of a run.

        Parameters
        ----------
        run : str
            Id of the run.
        subject : IntentRow or Turn
            Call or turn that the run executes.
        event : object or None
            Event that the state machine received; None at the start.
        actions : tuple
            Actions that the state machine returned.
        """
        match subject:
            case IntentRow(key=key):
                self._record_call_step(run, key, event, actions)
            case Turn(new_program=program):
                for action in actions:
                    if isinstance(action, ReplyTurn):
                        self.chunks[f"{program.key}#{action.number}"].add(action.chunk)

    def differences(self) -> list[Difference]:
        """Return one difference for each call or turn that breaks an invariant."""
        found = [
            Difference(0, ", ".join(runs), f"{key} runs at most once", str(len(runs)))
            for key, runs in self.dispatched_runs.items()
            if len(runs) > 1
        ]
        return found + [
            Difference(
                0, turn, "turn answered from one chunk", ", ".join(sorted(chunks))
            )
            for turn, chunks in self.chunks.items()
            if len(chunks) > 1
        ]

    def _record_call_step(self, run: str, key: str, event: Any, actions: tuple) -> None:
        if isinstance(event, TargetUnreached) and run in self.dispatched_runs[key]:
            self.dispatched_runs[key].remove(run)
        self.dispatched_runs[key] += [run for a in actions if isinstance(a, Dispatch)]
