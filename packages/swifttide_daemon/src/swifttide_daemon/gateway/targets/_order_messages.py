"""Datagrams between hosts and the host that schedules the turns of a service.

A host asks whether a program may begin and to which target a turn goes, and reports
when the turn has left its target. Work that has to wait keeps its number: the host asks
again under it, and the scheduler's host sends the decision to it later.

Fields that were added later stand at the end and have defaults, so that hosts of
different versions understand each other. A message fits into one packet.
"""

from typing import get_args

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
    rank : int
    customer, route : str
        See `WorkClass`.
    waited : float
        Time in seconds that the question has already waited for its decision.
    weight : float
        See `WorkClass`.
    """

    service: str
    boot: str
    number: int
    program: str
    seconds: float = 0.0
    regions: list[str] | None = None
    rank: int = 0
    customer: str = ""
    route: str = ""
    waited: float = 0.0
    weight: float = 1.0


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
    rank : int
    customer, route : str
    waited : float
        As in `AskEntry`.
    branch : str
        Branch of the program's turns.
    prompt_tokens, prefix_tokens : int
        Length of the prompt and of its first part.
    n_events : float
        Expected number of events of the answer; 0 if unknown.
    program_seconds : float
        Time until the program should be finished; 0 if it states none.
    is_stream : bool
        Whether the request is a turn of a model.
    weight : float
        As in `AskEntry`.
    software_version : str or None
        Version of the software that the target must run; None for any. Hosts of
        earlier versions ignore it, so the answer has to be checked.
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
    rank: int = 0
    customer: str = ""
    route: str = ""
    waited: float = 0.0
    branch: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    n_events: float = 0.0
    program_seconds: float = 0.0
    is_stream: bool = True
    weight: float = 1.0
    software_version: str | None = None


class AskLeft(msgspec.Struct, array_like=True, tag="ask_left"):
    """Reports that nobody waits for the decision on a question any more.

    Parameters
    ----------
    service : str
    boot : str
    number : int
        As in `AskEntry`.
    """

    service: str
    boot: str
    number: int


class OrderAnswer(msgspec.Struct, array_like=True, tag="order"):
    """The decision on a question, or the notice that it is still to come.

    Parameters
    ----------
    boot : str
        Identifies the process of the host that asked.
    number : int
        Number of the question.
    target : str
        Id of the target of the turn; empty if no target is known.
    retry_seconds : float
        Time after which a program that was turned away may come back, or a turn or a
        queued question may be asked again; 0 if it was admitted.
    is_queued : bool
        Whether the question waits for its decision, which gets the same number. A host
        of an earlier version takes this for a refusal with a time to retry.
    """

    boot: str
    number: int
    target: str = ""
    retry_seconds: float = 0.0
    is_queued: bool = False


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
    gap_seconds : float
        Mean time between two events; negative with fewer than two events.
    n_events : int
    """

    service: str
    boot: str
    number: int
    target: str
    first_seconds: float = -1.0
    is_whole: bool = False
    gap_seconds: float = -1.0
    n_events: int = 0


class OrderState(msgspec.Struct, array_like=True, tag="order_state"):
    """Part of what a scheduler has learned, for the hosts that may succeed it.

    Parameters
    ----------
    service : str
    part : dict of str to dict of str to list of float
        Some entries of `TurnScheduler.snapshot`.
    """

    service: str
    part: dict[str, dict[str, list[float]]]


OrderMessage = AskEntry | AskPlace | AskLeft | OrderAnswer | TurnLeft | OrderState

ORDER_MESSAGE_TYPES = get_args(OrderMessage)
