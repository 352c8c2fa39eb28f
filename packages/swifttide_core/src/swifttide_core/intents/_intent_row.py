"""The row of a non-repeatable call in the platform's table ``intents``."""

from dataclasses import dataclass
from enum import StrEnum


class IntentState(StrEnum):
    """What is known of a non-repeatable call."""

    INTENT = "intent"
    """Dispatch was allowed; without an outcome it may have run."""

    DONE = "done"
    """The target answered; the answer is stored."""

    NOT_RUN = "not_run"
    """No byte reached a target; the call may be tried again."""


@dataclass(frozen=True, slots=True)
class IntentRow:
    """Journal entry of one call, under its customer and Idempotency-Key.

    Parameters
    ----------
    customer, idempotency_key : str
        Key of the row.
    program : str
        Program that the call belongs to.
    service, path : str
        What was called.
    body_hash : str
        Hash of service, path and body.
    attempt : str
        Id of the attempt that may dispatch; only its writer does.
    state : IntentState
        What is known.
    status : int
        Status of the target's answer when done.
    answer : str
        The target's answer when done.
    content_type : str
        Content type of the answer.
    version : int
        Version of the row; 0 when there is none.
    """

    customer: str
    idempotency_key: str
    program: str = ""
    service: str = ""
    path: str = ""
    body_hash: str = ""
    attempt: str = ""
    state: IntentState = IntentState.INTENT
    status: int = 0
    answer: str = ""
    content_type: str = ""
    version: int = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{self.customer}/{self.idempotency_key}"
