"""A call on its way from its entry host to the holder of its program."""

from dataclasses import dataclass
from enum import StrEnum


class CallKind(StrEnum):
    """What a call asks for."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, authenticated and admitted.

    Parameters
    ----------
    request_id : str
        The same on every further try, so that a holder attaches a second
        connection to the call that is already running.
    kind : CallKind
        Chat turn or call of a plain service.
    customer : str
        Customer of the key that came with it.
    key_hash : str
        Hash of that key, to notice its withdrawal while the call runs.
    profile : str
        Profile that the caller named.
    program, root, parent : str
        Program, the root of its tree, and who started it; an empty program is a
        single call without history.
    turn : int or None
        Number that the caller gave.
    idempotency_key : str
        The caller's, or empty.
    service, path, content_type : str
        Of a plain service's call.
    body : bytes
        The caller's body.
    remaining_seconds : float
        Time that is left when the message is sent; clocks of hosts aren't compared.
    from_event : int
        First event that is wanted; earlier ones have arrived.
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
        """Key whose slot decides for the call."""
        return f"{self.customer}/{self.root or self.request_id}"

    @property
    def is_sub_agent(self) -> bool:
        """Whether another program has started this one."""
        return self.program != self.root

    @property
    def program_path(self) -> str:
        """Name under which an engine caches the program; empty for a single call."""
        if not self.program:
            return ""
        return f"{self.customer}/{self.root}/{self.program}"
