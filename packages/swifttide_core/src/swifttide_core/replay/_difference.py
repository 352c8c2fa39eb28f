"""Something that a replay found otherwise than stated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Difference:
    """Where a replay departs from its trace.

    Parameters
    ----------
    line : int
        Number of the line, from 1; 0 for the whole trace.
    run : str
        Call or turn that it concerns.
    stated, got : str
        What the trace says and what the replay found.
    """

    line: int
    run: str
    stated: str
    got: str

    def __str__(self) -> str:
        place = f"line {self.line}" if self.line else "whole trace"
        return f"{place}, run {self.run}: stated {self.stated}, got {self.got}"
