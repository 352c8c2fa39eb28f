"""One fault of a target."""

from dataclasses import dataclass
from enum import StrEnum


class FaultMode(StrEnum):
    """How a target misbehaves.

    Notes
    -----
    ``SILENT`` meets the connections that were open when it was set and the requests
    that run on them, for good; new connections work.
    """

    NONE = "none"
    SLOW = "slow"
    HANG = "hang"
    CUT_HALF = "cut_half"
    CROSSED = "crossed"
    CRASH_ON = "crash_on"
    SILENT = "silent"
    LOST_ANSWER = "lost_answer"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and which requests it meets.

    Parameters
    ----------
    mode : FaultMode
        What happens.
    seconds : float
        ``slow``: delay before the answer; ``hang``: length, 0 for as long as the
        fault is set.
    word_seconds : float
        ``slow`` at an engine: delay added before each word.
    text : str
        Only requests whose content holds it; ``crash_on`` needs one.
    count : int
        Requests that it meets before it ends by itself; 0 for no end.
    """

    mode: FaultMode = FaultMode.NONE
    seconds: float = 0.0
    word_seconds: float = 0.0
    text: str = ""
    count: int = 0
