"""What a caller sends."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


class CallKind(StrEnum):
    """Chat turn or service call."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One call; sent again it is the same to the byte.

    Parameters
    ----------
    kind : CallKind
        Chat turn or service call.
    program, parent : str
        Program and, for a sub-agent, the one that started it.
    path : str
        Of the request line.
    body : bytes
        JSON.
    turn : int
        From 1; 0 for a service call.
    idempotency_key : str
        Of a service call.
    """

    kind: CallKind
    program: str
    path: str
    body: bytes
    parent: str = ""
    turn: int = 0
    idempotency_key: str = ""

    @classmethod
    def from_turn(
        cls, program: str, parent: str, turn: int, content: str, max_tokens: int
    ) -> "CallSpec":
        """Return a streamed chat turn with one new message."""
        messages = [{"role": "user", "content": content}]
        body = {"messages": messages, "max_tokens": max_tokens, "stream": True}
        return cls(
            kind=CallKind.CHAT,
            program=program,
            parent=parent,
            path="/v1/chat/completions",
            body=msgspec.json.encode(body),
            turn=turn,
        )

    @classmethod
    def from_service(
        cls, program: str, service: str, path: str, idempotency_key: str
    ) -> "CallSpec":
        """Return a service call."""
        return cls(
            kind=CallKind.SERVICE,
            program=program,
            path=f"/v1/services/{service}/{path}",
            body=msgspec.json.encode({"entry": idempotency_key}),
            idempotency_key=idempotency_key,
        )

    def headers(self, key: str, profile: str) -> dict[str, str]:
        """Return the request's headers for a caller's key."""
        headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            "Swifttide-Profile": profile,
            "Swifttide-Program": self.program,
        }
        if self.parent:
            headers["Swifttide-Parent"] = self.parent
        if self.turn:
            headers["Swifttide-Turn"] = str(self.turn)
        if self.idempotency_key:
            headers["Idempotency-Key"] = self.idempotency_key
        return headers
