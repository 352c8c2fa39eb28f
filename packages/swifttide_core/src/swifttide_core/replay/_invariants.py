"""What must hold over a whole trace, whatever its lines state."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from swifttide_core.intents import Dispatch, IntentRow, TargetUnreached
from swifttide_core.programs import ReplyTurn, Turn
from swifttide_core.replay._difference import Difference


@dataclass(slots=True)
class InvariantChecker:
    """Follows all runs of a trace.

    Attributes
    ----------
    dispatched_runs : dict
        Runs that sent a call to a target, by customer and idempotency key.
    chunks : dict
        Chunks that a turn was answered from, by program and number.
    """

    dispatched_runs: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    chunks: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def record_step(self, run: str, subject: Any, event: Any, actions: tuple) -> None:
        """Take in one step.

        Parameters
        ----------
        run : str
        subject : IntentRow or Turn
            What the run is about.
        event : object or None
            What the machine was told.
        actions : tuple
            What it asked for.
        """
        match subject:
            case IntentRow(key=key):
                self._record_call_step(run, key, event, actions)
            case Turn(new_program=program):
                for action in actions:
                    if isinstance(action, ReplyTurn):
                        self.chunks[f"{program.key}#{action.number}"].add(action.chunk)

    def differences(self) -> list[Difference]:
        """Return the promises that were broken."""
        found = [
            Difference(0, ", ".join(runs), f"{key} runs at most once", str(len(runs)))
            for key, runs in self.dispatched_runs.items()
            if len(runs) > 1
        ]
        return found + [
            Difference(0, turn, "one chunk", ", ".join(sorted(chunks)))
            for turn, chunks in self.chunks.items()
            if len(chunks) > 1
        ]

    def _record_call_step(self, run: str, key: str, event: Any, actions: tuple) -> None:
        if isinstance(event, TargetUnreached) and run in self.dispatched_runs[key]:
            self.dispatched_runs[key].remove(run)
        self.dispatched_runs[key] += [run for a in actions if isinstance(a, Dispatch)]
