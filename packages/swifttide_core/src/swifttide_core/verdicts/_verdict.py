"""Verdict of a request: whether a target may have executed it."""

from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request may have had an effect at a target.

    Notes
    -----
    The values are sent in the ``Swifttide-Verdict`` header and in the ``verdict``
    member of every problem body.
    """

    NOT_RUN = "not_run"
    """No byte of the request can have reached a target."""

    RAN = "ran"
    """The target answered; the request took effect exactly once."""

    MAY_HAVE_RUN = "may_have_run"
    """Bytes were sent, and no answer shows whether the request took effect."""
