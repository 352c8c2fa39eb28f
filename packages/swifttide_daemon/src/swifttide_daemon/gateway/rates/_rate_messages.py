"""Datagrams between hosts for the rate limits of customers."""

import msgspec


class AskRate(msgspec.Struct, array_like=True, tag="ask_rate"):
    """Request for a token.

    Parameters
    ----------
    customer : str
        Name of the customer.
    boot : str
        Identifier of the process that sends the query.
    number : int
        Number of the request at that host; unchanged in repeated queries.
    wait_seconds : float
        Time for which the request may wait at the owner host; 0 if it needs a token
        that is available immediately.
    program : str
        Key of the program of the request; empty if it belongs to none.
    may_be_new : bool
        Whether this may be the first request of its program, which is admitted only if
        the rate suffices for one more program.
    ip : str
        Address of the original sender if the query is forwarded; empty otherwise.
    kind : str
        Kind of the program, from the route of its turns; empty if unknown.
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
    """Answer to a request for a token.

    Parameters
    ----------
    customer : str
        Name of the customer.
    boot : str
        Identifier of the process that sent the query.
    number : int
        Number of the request at the host that sent the query.
    is_granted : bool
        Whether the request got a token.
    is_queued : bool
        Whether the request waits at the owner host.
    seconds : float
        Expected time until a token is available, if the request is neither granted
        nor queued.
    """

    customer: str
    boot: str
    number: int
    is_granted: bool = False
    is_queued: bool = False
    seconds: float = 0.0


class HandRate(msgspec.Struct, array_like=True, tag="hand_rate"):
    """Transfer of tokens, which the sender has removed from its own buckets.

    Parameters
    ----------
    boot : str
        Identifier of the sender's process.
    number : int
        Sequence number, which increases with each transfer of a process.
    tokens : dict of str to tuple of float
        Fields of a `TokenTransfer` by customer.
    """

    boot: str
    number: int
    tokens: dict[str, tuple[float, float, float, float]]


RateMessage = AskRate | RateAnswer | HandRate
