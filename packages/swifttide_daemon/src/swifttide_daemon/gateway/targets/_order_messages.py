"""Datagrams about the order of turns in front of targets."""

import msgspec


class AskEntry(msgspec.Struct, array_like=True, tag="ask_entry"):
    """Ask whether a new program may begin.

    Parameters
    ----------
    service : str
    boot : str
        Process of the host that asks.
    number : int
        Of the question there; drawn, so that no answer to it can be forged.
    program : str
        Key of the program.
    seconds : float
        Until the program should be finished; 0 if it doesn't say.
    regions : list of str or None
        To which the program is bound.
    """

    service: str
    boot: str
    number: int
    program: str
    seconds: float = 0.0
    regions: list[str] | None = None


class AskPlace(msgspec.Struct, array_like=True, tag="ask_place"):
    """Ask which target a turn goes to.

    Parameters
    ----------
    service : str
    boot : str
    number : int
        Likewise.
    program : str
    zone : str
        Of the host that asks.
    subject : str
        What the prompt begins with.
    last : str
        Target of the turn before; empty where it isn't known.
    seconds : float
        Until nobody waits for the turn any more.
    without : list of str
        Targets that it must not go to.
    regions : list of str or None
        To which the turn is bound.
    connected : list of str
        Targets to which the host has an idle connection.
    """

    service: str
    boot: str
    number: int
    program: str
    zone: str
    subject: str = ""
    last: str = ""
    seconds: float = 0.0
    without: list[str] = []
    regions: list[str] | None = None
    connected: list[str] = []


class OrderAnswer(msgspec.Struct, array_like=True, tag="order"):
    """What became of a question.

    Parameters
    ----------
    boot : str
        Of the host that asked.
    number : int
    target : str
        Where the turn goes; empty if no target is known.
    retry_seconds : float
        When a program that was turned away may come back, or a turn ask again; 0 if it
        was let in.
    """

    boot: str
    number: int
    target: str = ""
    retry_seconds: float = 0.0


class TurnLeft(msgspec.Struct, array_like=True, tag="turn_left"):
    """A turn is no longer at its target.

    Parameters
    ----------
    service : str
    boot : str
    number : int
    target : str
    first_seconds : float
        From its sending to its first event; negative if there was none.
    is_whole : bool
        Whether its answer came to its end.
    """

    service: str
    boot: str
    number: int
    target: str
    first_seconds: float = -1.0
    is_whole: bool = False


OrderMessage = AskEntry | AskPlace | OrderAnswer | TurnLeft
