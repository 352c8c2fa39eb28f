"""Messages of the calls between hosts: requests, answers and their JSON encoding.

The docstring of a request states what the receiving host does.
"""

import msgspec

from swifttide_core.checks import JsonDecoder
from swifttide_core.resumption import StreamOrigin, TurnEvent, VersionsSeen
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Conflict,
    HistoryLost,
    Rows,
    Transaction,
    Unavailable,
)


class TakeTokens(msgspec.Struct, tag="take_tokens"):
    """Hand over the free tokens of a program.

    The tokens are deducted from the receiving host when it sends the answer.

    Parameters
    ----------
    program : str
        Key of the program.
    asker : str
        IP address of the host that takes the tokens.
    """

    program: str
    asker: str


class AskTokens(msgspec.Struct, tag="ask_tokens"):
    """Lend tokens for a turn (one model request) while the store is unavailable.

    Parameters
    ----------
    program : str
        Key of the program.
    budget : int
        Tokens that all turns of the program together may generate.
    need : int
        Number of tokens that the turn can use now.
    most : int
        Maximum number of tokens that one turn may generate.
    asker : str
        IP address of the requesting host.
    """

    program: str
    budget: int
    need: int
    most: int
    asker: str


class HandedTokens(msgspec.Struct, tag="handed_tokens"):
    """Tokens that belong to the requesting host from now on.

    Parameters
    ----------
    tokens : int
    moved_to : str
        IP address of a host that took the program's tokens from here earlier and may
        still have some.
    """

    tokens: int
    moved_to: str = ""


class AskRelease(msgspec.Struct, tag="ask_release"):
    """Lend nothing of what an account grants; asked by hosts of an earlier release.

    Parameters
    ----------
    program : str
        Key of the program.
    budget : int
        Tokens that all turns of the program together may generate.
    """

    program: str
    budget: int


class Loan(msgspec.Struct):
    """Tokens that are lent to a program without a write to the store.

    Parameters
    ----------
    budget : int
        Token budget of the program, as stated by the first turn that asked.
    left : int
        Tokens that may still be lent.
    lent : int
        Tokens that are lent and not yet charged to the account.
    holders : list of str
        IP addresses of hosts that may have some of the program's tokens.
    released : bool
        Whether lending has ended because loans have exceeded the budget.
    """

    budget: int
    left: int = 0
    lent: int = 0
    holders: list[str] = []
    released: bool = False


class HandSlots(msgspec.Struct, tag="hand_slots"):
    """Take over lending for programs of some hash slots; the sender has stopped.

    Parameters
    ----------
    waits : dict of int to float
        For each slot, the seconds until lending from it may start.
    loans : dict of str to Loan
        Loans by key of the program.
    """

    waits: dict[int, float]
    loans: dict[str, Loan]


class KeepCopy(msgspec.Struct, tag="keep_copy"):
    """Keep a copy of a turn in memory while the store is unavailable.

    Parameters
    ----------
    turn : str
        Key of the turn.
    transcript : bytes
    seconds : float
        Time for which the copy is kept.
    origin : str
        IP address of the host that writes the turn to the store once the store is
        available again.
    origin_boot : str
        Identifier of the origin's process. If the origin has restarted since, or sends
        no beacons, any host with a copy writes the turn to the store.
    """

    turn: str
    transcript: bytes
    seconds: float
    origin: str
    origin_boot: str


class DropCopies(msgspec.Struct, tag="drop_copies"):
    """Drop the copies of these turns, because the turns are now in the store."""

    turns: list[str]


class ReadTurn(msgspec.Struct, tag="read_turn"):
    """Return the transcript of a turn that the host has in memory."""

    turn: str


class FoundTurn(msgspec.Struct, tag="found_turn"):
    """Transcript of a turn; None if the turn is not in memory."""

    transcript: bytes | None


class ReadStreamOrigin(msgspec.Struct, tag="read_stream_origin"):
    """Return at which software a stream began, as far as the host knows.

    Parameters
    ----------
    key : str
        Key of the stream; empty if it has none.
    service : str
        Service at which the stream began; empty if that is unknown.
    seconds : float
        Longest time since the stream began.
    request : str
        Key of what was asked; empty if unknown.
    """

    key: str
    service: str
    seconds: float
    request: str = ""


class FoundStreamOrigin(msgspec.Struct, tag="found_stream_origin"):
    """What a host knows about the software at which a stream began.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if the host wasn't told of the stream.
    seen : VersionsSeen
        Versions of the service in the time in which the stream may have begun.
    of_request : frozenset of StreamOrigin
        Origins of the streams that answered what was asked.
    """

    origin: StreamOrigin | None
    seen: VersionsSeen
    of_request: frozenset[StreamOrigin] = frozenset()


class ReadVersions(msgspec.Struct, tag="read_versions"):
    """Return the versions of a service, once the list of targets is up to date.

    Parameters
    ----------
    service : str
    seconds : float
        Length of the period, which ends as the host answers.
    """

    service: str
    seconds: float


class FoundVersions(msgspec.Struct, tag="found_versions"):
    """Versions of a service that a host has seen until its answer."""

    seen: VersionsSeen


class ReadTurnEvents(msgspec.Struct, tag="read_turn_events"):
    """Return how the answers to a turn begin, as far as the host knows.

    Parameters
    ----------
    key : str
        Key of the turn.
    attempt : str
        Id of the attempt that began the answer; empty for any.
    last_event_id : int
        Id of the last event that the caller of the turn has.
    """

    key: str
    attempt: str
    last_event_id: int


class FoundTurnEvents(msgspec.Struct, tag="found_turn_events"):
    """How the answers to a turn begin, up to the event that was asked for.

    Parameters
    ----------
    answers : list of list of TurnEvent
        Empty if the host knows none; more than one where answers differ.
    """

    answers: list[list[TurnEvent]]


class Done(msgspec.Struct, tag="done"):
    """Whether the request was carried out."""

    ok: bool


class Released(msgspec.Struct, tag="released"):
    """Answer to `AskRelease`: no loan is of what an account grants."""

    verdict: str = "released"


class RelayCommit(msgspec.Struct, tag="commit"):
    """Apply a transaction on behalf of a host that does not reach the store."""

    tx: Transaction

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        keys = [*(p.key for p in self.tx.puts), *self.tx.removes]
        keys += [c.key for c in self.tx.conditions]
        return (keys[0].table, keys[0].part) if keys else ("", "")


class RelayRead(msgspec.Struct, tag="read"):
    """Read rows on behalf of a host that does not reach the store."""

    table: str
    part: str
    start: str
    end: str

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        return self.table, self.part


class RelayChanges(msgspec.Struct, tag="changes"):
    """Wait for changes of rows on behalf of a host that does not reach the store."""

    table: str
    after: int
    wait_seconds: float

    @property
    def table_and_part(self) -> tuple[str, str]:
        """Table and part that it concerns."""
        return self.table, ""


class ReadCopy(msgspec.Struct, tag="read_copy"):
    """Return the host's cached rows of a table, even if the store is unavailable."""

    table: str


class FollowTable(msgspec.Struct, tag="follow_table"):
    """Return the rows of a table that changed after a version.

    The host answers from its own copy of the table as it receives changes, and waits
    for a change if there is none yet.
    """

    table: str
    after: int
    wait_seconds: float


class StoreOutcome(msgspec.Struct, tag="store_outcome"):
    """Result of a relayed store call; exactly one field is set."""

    applied: Applied | None = None
    conflict: Conflict | None = None
    rows: Rows | None = None
    history_lost: HistoryLost | None = None
    unavailable: Unavailable | None = None

    @classmethod
    def of(cls, outcome) -> "StoreOutcome":
        """Wrap a result in the field for its type."""
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
        """Return the result; an empty message counts as an unknown outcome."""
        return (
            self.applied
            or self.conflict
            or self.rows
            or self.history_lost
            or self.unavailable
            or Unavailable("relay answered without a store result", True)
        )


PeerRequest = (
    TakeTokens
    | AskTokens
    | AskRelease
    | HandSlots
    | KeepCopy
    | DropCopies
    | ReadTurn
    | ReadStreamOrigin
    | ReadVersions
    | ReadTurnEvents
    | RelayCommit
    | RelayRead
    | RelayChanges
    | ReadCopy
    | FollowTable
)
PeerAnswer = (
    Done
    | Released
    | HandedTokens
    | FoundTurn
    | FoundStreamOrigin
    | FoundVersions
    | FoundTurnEvents
    | StoreOutcome
)

_requests = JsonDecoder(PeerRequest)
_answers = JsonDecoder(PeerAnswer)


def encode(message: PeerRequest | PeerAnswer) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def decode_request(data: bytes) -> PeerRequest:
    """Decode a request; raises `ValueError`."""
    return _requests.decode(data)


def decode_answer(data: bytes) -> PeerAnswer:
    """Decode an answer; raises `ValueError`."""
    return _answers.decode(data)
