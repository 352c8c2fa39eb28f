"""Datagram by which hosts tell each other what a turn has generated so far."""

import msgspec

from swifttide_core.resumption import TurnEvent


class TurnGenerated(msgspec.Struct, array_like=True, tag="turn_generated"):
    """Remember further events of a turn's answer.

    Parameters
    ----------
    key : str
        Key of the turn.
    attempt : str
        Id of the attempt that began the answer.
    n_before : int
        Number of events before these.
    events : list of TurnEvent
    seconds : float
        Time for which they are to be remembered.
    """

    key: str
    attempt: str
    n_before: int
    events: list[TurnEvent]
    seconds: float
