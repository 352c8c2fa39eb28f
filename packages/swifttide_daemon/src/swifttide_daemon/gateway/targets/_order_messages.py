"""Datagrams between hosts and the keeper of a service's order of turns.

A host asks the keeper whether a program may begin and to which target a turn goes, and
reports when the turn has left its target.
"""

import msgspec


class AskEntry(msgspec.Struct, array_like=True, tag="ask_entry"):
    """Asks whether a new program may begin.

    Parameters
    ----------
    service : str
    boot : str
        Identifies the process of the host that asks.
    number : int
        Number of the question at that host. It is random, so that no answer to it can
        be forged.
    program : str
        Key of the program.
    seconds : float
        Time until the program should be finished; 0 if it states none.
    regions : list of str or None
        Regions to which the program is bound.
    """

    service: str
    boot: str
    number: int
    program: str
    seconds: float = 0.0
    regions: list[str] | None = None


class AskPlace(msgspec.Struct, array_like=True, tag="ask_place"):
    """Asks to which target a turn goes.

    Parameters
    ----------
    service : str
    boot : str
    number : int
        As in `AskEntry`.
    program : str
        Key of the program.
    zone : str
        Zone of the host that asks.
    subject : str
        Identifies the beginning of the prompt.
    last : str
        Id of the target of the previous turn; empty if it is not known.
    seconds : float
        Time until no caller waits for the turn any more.
    without : list of str
        Ids of targets that the turn must not go to.
    regions : list of str or None
        Regions to which the turn is bound.
    connected : list of str
        Ids of targets to which the host has an idle connection.
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
    """The keeper's answer to a question.

    Parameters
    ----------
    boot : str
        Identifies the process of the host that asked.
    number : int
        Number of the question.
    target : str
        Id of the target of the turn; empty if no target is known.
    retry_seconds : float
        Time after which a program that was turned away may come back, or a turn may ask
        again; 0 if it was admitted.
    """

    boot: str
    number: int
    target: str = ""
    retry_seconds: float = 0.0


class TurnLeft(msgspec.Struct, array_like=True, tag="turn_left"):
    """Reports that a turn is no longer at its target.

    Parameters
    ----------
    service : str
    boot : str
    number : int
    target : str
    first_seconds : float
        Time from sending the turn to its first event; negative if there was none.
    is_whole : bool
        Whether the answer was complete.
    """

    service: str
    boot: str
    number: int
    target: str
    first_seconds: float = -1.0
    is_whole: bool = False


OrderMessage = AskEntry | AskPlace | OrderAnswer | TurnLeft
