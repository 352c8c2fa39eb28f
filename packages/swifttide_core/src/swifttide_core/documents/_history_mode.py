"""Choice of the party that stores the history of a program."""

from enum import StrEnum


class HistoryMode(StrEnum):
    """Place where the history of a program is stored.

    Notes
    -----
    Turns of ``DURABLE`` programs are committed to the platform before the caller
    receives the final event. During an outage of the platform, new turns are refused
    with the verdict "not run" and a time after which to retry. Callers of ``CALLER``
    programs send the complete history with each call. Their turns continue to be
    served during an outage, as no history can be lost.
    """

    DURABLE = "durable"
    CALLER = "caller"
