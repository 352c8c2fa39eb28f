"""A caller's request with its header fields decoded."""

from dataclasses import dataclass

from swifttide_daemon.gateway.callers._http_fields import Fields


@dataclass(frozen=True, slots=True)
class TurnTerms:
    """What a caller states about a turn of a program.

    A program is a sequence of requests by which a caller pursues one task. A turn is
    one of its requests to a model; it may continue from the transcript of an earlier
    turn, and several branches may continue from the same one.

    Parameters
    ----------
    program : str
        Id of the program, unique within its customer; empty outside of programs.
    branch : str
        Id of the branch of consecutive turns to which this turn belongs.
    budget_tokens : int
        Tokens that all turns of the program may generate; 0 for no limit.
    max_tokens : int
        Most tokens that this turn may generate.
    previous : str
        Id of the turn that it continues; empty for the first turn of a branch.
    """

    program: str = ""
    branch: str = ""
    budget_tokens: int = 0
    max_tokens: int = 0
    previous: str = ""

    @property
    def is_first(self) -> bool:
        """Whether this may be the first turn of a branch.

        Callers whose turns the gateway doesn't store never name a previous turn, so
        all of their turns count as possibly first.
        """
        return self.budget_tokens > 0 and not self.previous


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller at a request.

    Parameters
    ----------
    id : str
        Id of the attempt; each attempt has its own.
    method : str
    target : bytes
        Path and query as received.
    host : str
        Host name in lower case, without a port.
    fields : tuple
        All header fields.
    body : bytes
    api_key : str
        API key that the caller presented; empty without one.
    timeout_seconds : float or None
        How long the caller waits for the response; None if not stated.
    program_seconds_left : float or None
        Seconds left until the program's deadline; None if not stated.
    subject : str
        Subject of the request as the caller names it. Requests of one subject are
        preferably sent to the same target, for its cache.
    prompt_tokens : int
        Length of the prompt in tokens; 0 for requests without a prompt.
    turn : TurnTerms
    last_event_id : int or None
        Id of the event after which a stream is to be resumed.
    resumed_attempt : str
        Id of the caller's attempt that received the first event of the stream that is
        to be resumed; empty if not stated.
    received_at : float
        Time of the event loop, in seconds, at which the request was completely read.
    length_hint : int
        Number of tokens that the caller expects in the answer; 0 if not stated.
    prefix_tokens : int
        Length in tokens of the first part of the prompt, which requests may share; 0 if
        not stated.
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
    resumed_attempt: str = ""
    length_hint: int = 0
    prefix_tokens: int = 0

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")
