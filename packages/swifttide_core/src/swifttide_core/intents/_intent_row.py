"""The row of a non-repeatable call in the platform's table ``intents``."""

from dataclasses import dataclass
from enum import StrEnum


class IntentState(StrEnum):
    """Outcome of a non-repeatable call, as far as the journal has it."""

    INTENT = "intent"
    """The call may be dispatched. Until an outcome is recorded, it may have run."""

    DONE = "done"
    """The target answered; the answer is stored."""

    NOT_RUN = "not_run"
    """No byte reached a target; the call may be attempted again."""


@dataclass(frozen=True, slots=True)
class IntentRow:
    """Journal entry of one call, stored under its customer and Idempotency-Key.

    Parameters
    ----------
    customer, idempotency_key : str
        Key of the row.
    program : str
        Program that the call belongs to.
    service, path : str
        Service and path that are called.
    body_hash : str
        Hash of service, path and body.
    attempt : str
        Id of the attempt that wrote the intent; only this attempt may dispatch.
    state : IntentState
        Outcome as far as recorded.
    status : int
        HTTP status of the target's answer, if done.
    answer : str
        Body of the target's answer, if done.
    content_type : str
        Content type of the target's answer, if done.
    version : int
        Version of the stored row; 0 if there is none.
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
