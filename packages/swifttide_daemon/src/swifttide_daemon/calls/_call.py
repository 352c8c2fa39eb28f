"""Message in which an entry host sends a call to the holder of its program."""

from dataclasses import dataclass
from enum import StrEnum


class CallKind(StrEnum):
    """Kind of a call: a chat turn or a call of a plain service."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Call:
    """One authenticated and admitted request of a caller.

    Parameters
    ----------
    request_id : str
        Id of the request. It is the same on each attempt of the entry host, so that
        a holder attaches a second connection to the call that is already running.
    kind : CallKind
        Chat turn or call of a plain service.
    customer : str
        Customer to whom the key of the request was granted.
    key_hash : str
        Hash of the key, to notice its withdrawal while the call is running.
    profile : str
        Name of the profile that the caller selected.
    program, root, parent : str
        Ids of the program, of the root of its tree and of the program that started
        it. An empty program denotes a single call without history.
    turn : int or None
        Turn number given by the caller.
    idempotency_key : str
        Idempotency key given by the caller, or empty.
    service, path, content_type : str
        Name of the plain service, path below it and type of the body; empty for a
        chat turn.
    body : bytes
        Body of the caller's request.
    remaining_seconds : float
        Time left until the deadline when the message is sent. A duration is sent as
        the clocks of two hosts can't be compared.
    from_event : int
        Index of the first event to be sent. Earlier events have already arrived.
    """

    request_id: str
    kind: CallKind
    customer: str
    key_hash: str
    profile: str
    program: str = ""
    root: str = ""
    parent: str = ""
    turn: int | None = None
    idempotency_key: str = ""
    service: str = ""
    path: str = ""
    content_type: str = ""
    body: bytes = b""
    remaining_seconds: float = 120.0
    from_event: int = 0

    @property
    def placement_key(self) -> str:
        """Key that determines the slot, and so the holder, of the call."""
        return f"{self.customer}/{self.root or self.request_id}"

    @property
    def is_sub_agent(self) -> bool:
        """Whether the program was started by another program."""
        return self.program != self.root

    @property
    def program_path(self) -> str:
        """Name under which an engine caches the program; empty for a single call."""
        if not self.program:
            return ""
        return f"{self.customer}/{self.root}/{self.program}"
