"""What a program's caller got."""

from dataclasses import dataclass

from swifttide_standins.loadgen._call_record import CallRecord
from swifttide_standins.loadgen._call_spec import CallKind
from swifttide_standins.loadgen._outcome import Answered


@dataclass(frozen=True, slots=True)
class ProgramRecord:
    """Calls of a program and its sub-agent, in the order in which they were made.

    Parameters
    ----------
    program : str
        Id of the root.
    calls : tuple of CallRecord
        All calls.
    wrong : tuple of str
        A sentence for each answer that differs from the oracle's.
    finished : bool
        Whether every turn of the plan was answered.
    """

    program: str
    calls: tuple[CallRecord, ...]
    wrong: tuple[str, ...]
    finished: bool

    @property
    def turns(self) -> tuple[CallRecord, ...]:
        """Chat turns."""
        return tuple(c for c in self.calls if c.spec.kind is CallKind.CHAT)

    @property
    def service_calls(self) -> tuple[CallRecord, ...]:
        """Service calls."""
        return tuple(c for c in self.calls if c.spec.kind is CallKind.SERVICE)

    @property
    def n_answered(self) -> int:
        """Chat turns with a whole answer."""
        return sum(isinstance(c.outcome, Answered) for c in self.turns)

    @property
    def seconds(self) -> float:
        """Latency of the whole program."""
        if not self.calls:
            return 0.0
        ends = max(c.attempts[-1].ended for c in self.calls)
        return ends - self.calls[0].attempts[0].started
