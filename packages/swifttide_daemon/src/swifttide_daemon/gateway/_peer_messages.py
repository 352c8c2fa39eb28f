"""Calls between hosts."""

import msgspec

from swifttide_daemon.gateway._shared_store import (
    Applied,
    Conflict,
    HistoryLost,
    Rows,
    Transaction,
    Unavailable,
)


class GiveBackTokens(msgspec.Struct, tag="give_back_tokens"):
    """Return the free tokens of a program's budget to its account."""

    program: str


class Done(msgspec.Struct, tag="done"):
    """The call was carried out, or not."""

    ok: bool


class RelayCommit(msgspec.Struct, tag="commit"):
    """Apply a transaction for a host that doesn't reach the store."""

    tx: Transaction


class RelayRead(msgspec.Struct, tag="read"):
    """Read rows for a host that doesn't reach the store."""

    table: str
    part: str
    start: str
    end: str


class RelayChanges(msgspec.Struct, tag="changes"):
    """Wait for changes for a host that doesn't reach the store."""

    table: str
    after: int
    wait_seconds: float


class ReadCopy(msgspec.Struct, tag="read_copy"):
    """Return a table's rows as the host knows them, whatever the store does."""

    table: str


class StoreOutcome(msgspec.Struct, tag="store_outcome"):
    """What the store answered; exactly one field is set."""

    applied: Applied | None = None
    conflict: Conflict | None = None
    rows: Rows | None = None
    history_lost: HistoryLost | None = None
    unavailable: Unavailable | None = None

    @classmethod
    def of(cls, outcome) -> "StoreOutcome":
        """Wrap an outcome."""
        match outcome:
            case Applied():
                return cls(applied=outcome)
            case Conflict():
                return cls(conflict=outcome)
            case Rows():
                return cls(rows=outcome)
            case HistoryLost():
                return cls(history_lost=outcome)
            case _:
                return cls(unavailable=outcome)

    def unwrap(self):
        """Return the outcome."""
        return (
            self.applied
            or self.conflict
            or self.rows
            or self.history_lost
            or self.unavailable
            or Unavailable("an empty answer", True)
        )


PeerRequest = GiveBackTokens | RelayCommit | RelayRead | RelayChanges | ReadCopy
PeerAnswer = Done | StoreOutcome

_requests = msgspec.json.Decoder(PeerRequest)
_answers = msgspec.json.Decoder(PeerAnswer)


def encode(message: PeerRequest | PeerAnswer) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def decode_request(data: bytes) -> PeerRequest:
    """Decode a call; raises `msgspec.DecodeError`."""
    return _requests.decode(data)


def decode_answer(data: bytes) -> PeerAnswer:
    """Decode an answer; raises `msgspec.DecodeError`."""
    return _answers.decode(data)
