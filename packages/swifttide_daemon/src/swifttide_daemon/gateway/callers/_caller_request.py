"""A caller's request, decoded."""

from dataclasses import dataclass

from swifttide_daemon.gateway.callers._http_fields import Fields


@dataclass(frozen=True, slots=True)
class TurnTerms:
    """What a turn of a program asks for.

    Parameters
    ----------
    program : str
        Id of the program, unique for its customer.
    branch : str
        Id of the line of turns that it belongs to.
    budget_tokens : int
        Tokens that all turns of the program may generate; 0 for no limit.
    max_tokens : int
        Most tokens that this turn generates.
    previous : str
        Id of the turn that it goes on from; empty at the start of a chain.
    """

    program: str = ""
    branch: str = ""
    budget_tokens: int = 0
    max_tokens: int = 0
    previous: str = ""

    @property
    def is_first(self) -> bool:
        """Whether this may be the first turn of a line; unkept ones all may."""
        return self.budget_tokens > 0 and not self.previous


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller.

    Parameters
    ----------
    id : str
        Id of the attempt; each attempt has its own.
    method : str
    target : bytes
        Path and query as they came.
    host : str
        Lower case, without a port.
    fields : tuple
        All header fields.
    body : bytes
    api_key : str
        Key that the caller presented; empty without one.
    timeout_seconds : float or None
        How long the caller waits; None when it didn't say.
    program_seconds_left : float or None
        Time left until the program should be finished.
    subject : str
        What the request concerns, for targets with a cache.
    prompt_tokens : int
        Size of the prompt.
    turn : TurnTerms
    last_event_id : int or None
        Event after which a stream is to go on.
    received_at : float
        Time of the event loop at which it had been read.
    """

    id: str
    method: str
    target: bytes
    host: str
    fields: Fields
    body: bytes
    received_at: float
    api_key: str = ""
    timeout_seconds: float | None = None
    program_seconds_left: float | None = None
    subject: str = ""
    prompt_tokens: int = 0
    turn: TurnTerms = TurnTerms()
    last_event_id: int | None = None

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")
