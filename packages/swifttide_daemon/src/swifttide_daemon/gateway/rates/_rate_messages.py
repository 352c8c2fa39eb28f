"""Datagrams about customers' rates."""

import msgspec


class AskRate(msgspec.Struct, array_like=True, tag="ask_rate"):
    """Ask for a token.

    Parameters
    ----------
    customer : str
    boot : str
        Process of the host that asks.
    number : int
        Of the request at that host; the same when it asks again.
    wait_seconds : float
        How long the request may wait at the keeper; 0 for a token that is there.
    program : str
        Key of the program that it belongs to; empty without one.
    may_be_new : bool
        Whether it may be the first of its program, so that it is let in only if the
        rate carries another program.
    ip : str
        Address of the host that asked first, where another one passes the question
        on; empty otherwise.
    kind : str
        Of the program, by its turns' route; empty where it isn't known.
    """

    customer: str
    boot: str
    number: int
    wait_seconds: float = 0.0
    program: str = ""
    may_be_new: bool = False
    ip: str = ""
    kind: str = ""


class RateAnswer(msgspec.Struct, array_like=True, tag="rate"):
    """What became of a question.

    Parameters
    ----------
    customer : str
    boot : str
        Of the host that asked.
    number : int
    is_granted : bool
        Whether the request may go on.
    is_queued : bool
        Whether it waits at the keeper.
    seconds : float
        Until there may be a token, where it neither may go on nor waits.
    """

    customer: str
    boot: str
    number: int
    is_granted: bool = False
    is_queued: bool = False
    seconds: float = 0.0


class HandRate(msgspec.Struct, array_like=True, tag="hand_rate"):
    """Hand tokens on; they are no longer the sender's when this is sent.

    Parameters
    ----------
    boot : str
        Of the sender.
    number : int
        Grows with each such message of a process.
    tokens : dict of str to tuple of float
        For each customer the fields of a `Handful`.
    """

    boot: str
    number: int
    tokens: dict[str, tuple[float, float, float, float]]


RateMessage = AskRate | RateAnswer | HandRate
