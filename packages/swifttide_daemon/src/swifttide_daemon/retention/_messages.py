"""Messages between the holder of a target and the holders of its programs."""

from dataclasses import dataclass

from swifttide_core.retention import PausedProgram


@dataclass(frozen=True, slots=True)
class ListedPrograms:
    """Programs in the cache listing of an engine, as ``customer/root/program``."""

    programs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Judgement:
    """State of a listed program, as its holder reports it.

    Parameters
    ----------
    program : str
    fencing : int
        Version of the program's row, sent as fencing token with orders about its
        cache.
    gone : bool
        Whether the program has ended or been idle beyond the limit of its profile.
    paused : PausedProgram or None
        Set while the program pauses between calls, such as for a tool; None while it
        is active or has no stored row.
    paused_seconds : float
        Duration of the pause so far.
    turns : int
        Number of committed turns.
    """

    program: str
    fencing: int
    gone: bool = False
    paused: PausedProgram | None = None
    paused_seconds: float = 0.0
    turns: int = 0


@dataclass(frozen=True, slots=True)
class Judgements:
    """Reply about listed programs; unknown programs are left out."""

    judgements: tuple[Judgement, ...] = ()


@dataclass(frozen=True, slots=True)
class ExportedCache:
    """A cache that was exported from an engine to the platform's object storage.

    Parameters
    ----------
    program : str
        ``customer/root/program``.
    name : str
        Name of the object that contains the cache.
    tokens : int
        Number of tokens in the cache.
    """

    program: str
    name: str
    tokens: int
