"""Who holds the history of a program."""

from enum import StrEnum


class HistoryMode(StrEnum):
    """Where a program's history lasts.

    Notes
    -----
    ``DURABLE`` turns are committed to the platform before the caller gets the last
    event, so an outage of the platform refuses new turns (not run, with when to
    come back). ``CALLER`` programs send their whole history with each call, so
    their turns go on during an outage: there is nothing that could be lost.
    """

    DURABLE = "durable"
    CALLER = "caller"
