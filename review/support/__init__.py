"""Stand-ins and helpers that the scripts of the review share."""

from review_support._callers import Answer, Channel, call_fields
from review_support._case import EXIT_BROKEN, EXIT_CANNOT_RUN, EXIT_HELD, run_case
from review_support._daemons import CannotRunError, Deployment
from review_support._record import Record
from review_support._runners import Run, Runner, Work

__all__ = [
    "EXIT_BROKEN",
    "EXIT_CANNOT_RUN",
    "EXIT_HELD",
    "Answer",
    "CannotRunError",
    "Channel",
    "Deployment",
    "Record",
    "Run",
    "Runner",
    "Work",
    "call_fields",
    "run_case",
]
