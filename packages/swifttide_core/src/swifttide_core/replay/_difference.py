"""Difference between a trace and its replay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference between a trace and its replay.

    Parameters
    ----------
    line : int
        Number of the line, counted from 1; 0 if the difference concerns the whole
        trace.
    run : str
        Id of the run, or of the runs or the turn that broke an invariant; empty if
        the line can't be read.
    stated, got : str
        What the trace states or an invariant requires, and what the replay found.
    """

    line: int
    run: str
    stated: str
    got: str

    def __str__(self) -> str:
        place = f"line {self.line}" if self.line else "whole trace"
        return f"{place}, run {self.run}: stated {self.stated}, got {self.got}"
