"""Messages between the holder of a target and the holders of its programs."""

from dataclasses import dataclass

from swifttide_core.retention import PausedProgram


@dataclass(frozen=True, slots=True)
class ListedPrograms:
    """Programs that an engine lists, as ``customer/root/program``."""

    programs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Judgement:
    """What a program's holder says of a program that an engine lists.

    Parameters
    ----------
    program : str
    fencing : int
        Version of the program's row, for orders about its cache.
    gone : bool
        Whether it ended or was silent beyond its profile's limit.
    paused : PausedProgram or None
        Set while it waits for a tool; None while a call runs.
    paused_seconds : float
        How long it has waited.
    turns : int
        Committed turns.
    """

    program: str
    fencing: int
    gone: bool = False
    paused: PausedProgram | None = None
    paused_seconds: float = 0.0
    turns: int = 0


@dataclass(frozen=True, slots=True)
class Judgements:
    """Answer about listed programs; those that nothing is known of are left out."""

    judgements: tuple[Judgement, ...] = ()


@dataclass(frozen=True, slots=True)
class ExportedCache:
    """A cache that was moved from an engine to the platform's objects.

    Parameters
    ----------
    program : str
        ``customer/root/program``.
    name : str
        Object that holds it.
    tokens : int
    """

    program: str
    name: str
    tokens: int
