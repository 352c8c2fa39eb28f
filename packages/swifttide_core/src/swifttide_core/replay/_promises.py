"""What must hold over a whole trace, whatever its lines state."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from swifttide_core.intents import Dispatch, IntentRow, TargetUnreached
from swifttide_core.programs import ReplyTurn, Turn
from swifttide_core.replay._difference import Difference


@dataclass(slots=True)
class Promises:
    """Follows all runs of a trace.

    Attributes
    ----------
    sent : dict
        Runs that sent a call to a target, by customer and idempotency key.
    chunks : dict
        Chunks that a turn was answered from, by program and number.
    """

    sent: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    chunks: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def note(self, run: str, subject: Any, event: Any, actions: tuple) -> None:
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
                self._note_call(run, key, event, actions)
            case Turn(new_program=program):
                for action in actions:
                    if isinstance(action, ReplyTurn):
                        self.chunks[f"{program.key}#{action.number}"].add(action.chunk)

    def differences(self) -> list[Difference]:
        """Return the promises that were broken."""
        found = [
            Difference(0, ", ".join(runs), f"{key} runs at most once", str(len(runs)))
            for key, runs in self.sent.items()
            if len(runs) > 1
        ]
        return found + [
            Difference(0, turn, "one chunk", ", ".join(sorted(chunks)))
            for turn, chunks in self.chunks.items()
            if len(chunks) > 1
        ]

    def _note_call(self, run: str, key: str, event: Any, actions: tuple) -> None:
        if isinstance(event, TargetUnreached) and run in self.sent[key]:
            self.sent[key].remove(run)
        self.sent[key] += [run for a in actions if isinstance(a, Dispatch)]
