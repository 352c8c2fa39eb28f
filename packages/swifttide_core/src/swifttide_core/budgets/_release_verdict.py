"""Answer of a slot owner about the reserve of a program's budget."""

from enum import StrEnum


class ReleaseVerdict(StrEnum):
    """Whether the account of a program may grant the reserve of its budget.

    The owner of the program's slot may lend the reserve during outages of the store.
    """

    RELEASED = "released"
    """No tokens of the reserve were lent, and none will be."""

    DOUBTFUL = "doubtful"
    """It is unknown whether tokens of the reserve were lent."""

    LATER = "later"
    """The owner is busy or not known yet; the question has to be repeated."""
