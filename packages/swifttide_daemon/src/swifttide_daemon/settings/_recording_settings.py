"""Whether traces for replay are recorded."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordingSettings:
    """Recording of what the core's machines were told and asked for.

    Parameters
    ----------
    path : str
        File for JSON lines that ``swifttide replay`` takes; empty records nothing.
        It grows without bound: record for as long as a fault is looked for.
    """

    path: str = ""
