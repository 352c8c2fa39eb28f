"""Calls between hosts."""

import msgspec

from swifttide_core.budgets import ReleaseVerdict
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Conflict,
    HistoryLost,
    Rows,
    Transaction,
    Unavailable,
)


class TakeTokens(msgspec.Struct, tag="take_tokens"):
    """Hand over the free tokens of a program, which leave the host with the answer."""

    program: str
    asker: str


class AskTokens(msgspec.Struct, tag="ask_tokens"):
    """Find tokens for a turn while the store is away.

    Parameters
    ----------
    program : str
        Key of the program.
    budget : int
        Tokens that all turns of the program may generate.
    need : int
        Tokens of use now.
    most : int
        Most that one turn may generate.
    asker : str
        IP of the asking host.
    """

    program: str
    budget: int
    need: int
    most: int
    asker: str


class HandedTokens(msgspec.Struct, tag="handed_tokens"):
    """Tokens that are the asking host's from now on.

    Parameters
    ----------
    tokens : int
    moved_to : str
        IP of a host that took tokens here before, and may have some.
    """

    tokens: int
    moved_to: str = ""


class AskRelease(msgspec.Struct, tag="ask_release"):
    """Lend nothing to a program any more, so that its account can grant it all."""

    program: str
    budget: int


class Loan(msgspec.Struct):
    """What is lent to a program without a row.

    Parameters
    ----------
    budget : int
        Of the program, as the turn that asked first had it.
    held : int
        What an account of the program holds back.
    left : int
        Tokens that may still be lent.
    lent : int
        Tokens lent and not yet charged to the account.
    holders : list of str
        Hosts that may have some of the program's tokens.
    released : bool
        Whether nothing may be lent: the account has it all.
    """

    budget: int
    held: int = 0
    left: int = 0
    lent: int = 0
    holders: list[str] = []
    released: bool = False


class HandSlots(msgspec.Struct, tag="hand_slots"):
    """Lend from these slots from now on; the sender doesn't any more.

    Parameters
    ----------
    waits : dict of int to float
        Slots, and in how many seconds each may be lent from.
    loans : dict of str to Loan
        By key of the program.
    """

    waits: dict[int, float]
    loans: dict[str, Loan]


class KeepCopy(msgspec.Struct, tag="keep_copy"):
    """Keep a turn in memory while the store is away.

    Parameters
    ----------
    turn : str
        Key of the turn.
    transcript : bytes
    seconds : float
        How long the turn is kept.
    origin : str
        IP of the host that stores it when the store is back.
    origin_boot : str
        Of the origin's process. With another boot, or while the origin is silent,
        whoever has a copy stores it.
    """

    turn: str
    transcript: bytes
    seconds: float
    origin: str
    origin_boot: str


class DropCopies(msgspec.Struct, tag="drop_copies"):
    """These turns are stored; copies are no longer needed."""

    turns: list[str]


class ReadTurn(msgspec.Struct, tag="read_turn"):
    """Return a turn that the host has in memory."""

    turn: str


class FoundTurn(msgspec.Struct, tag="found_turn"):
    """A turn's transcript; None where it isn't in memory."""

    transcript: bytes | None


class Done(msgspec.Struct, tag="done"):
    """The call was carried out, or not."""

    ok: bool


class Released(msgspec.Struct, tag="released"):
    """What the owner of a program's slot says of what it may lend."""

    verdict: ReleaseVerdict


class RelayCommit(msgspec.Struct, tag="commit"):
    """Apply a transaction for a host that doesn't reach the store."""

    tx: Transaction

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        keys = [*(p.key for p in self.tx.puts), *self.tx.removes]
        keys += [c.key for c in self.tx.conditions]
        return (keys[0].table, keys[0].part) if keys else ("", "")


class RelayRead(msgspec.Struct, tag="read"):
    """Read rows for a host that doesn't reach the store."""

    table: str
    part: str
    start: str
    end: str

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        return self.table, self.part


class RelayChanges(msgspec.Struct, tag="changes"):
    """Wait for changes for a host that doesn't reach the store."""

    table: str
    after: int
    wait_seconds: float

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        return self.table, ""


class ReadCopy(msgspec.Struct, tag="read_copy"):
    """Return a table's rows as the host knows them, whatever the store does."""

    table: str


class FollowTable(msgspec.Struct, tag="follow_table"):
    """Return what changed in a table after a version, as the host learns of it."""

    table: str
    after: int
    wait_seconds: float


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


PeerRequest = (
    TakeTokens
    | AskTokens
    | AskRelease
    | HandSlots
    | KeepCopy
    | DropCopies
    | ReadTurn
    | RelayCommit
    | RelayRead
    | RelayChanges
    | ReadCopy
    | FollowTable
)
PeerAnswer = Done | Released | HandedTokens | FoundTurn | StoreOutcome

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
