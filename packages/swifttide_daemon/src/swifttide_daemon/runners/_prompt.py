"""Input and output of one generation on an engine."""

from dataclasses import dataclass

from swifttide_core.admission import call_cost
from swifttide_daemon.programs import Message


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, and what scheduling and caching need to know of its program.

    Parameters
    ----------
    messages : tuple of Message
        All messages of the prompt, oldest first.
    max_tokens : int
    fingerprint : str
        Hash that identifies the request if it crashes targets.
    attained_cost : float
        Cost served so far to the root program and its sub-agents, in the tokens of
        `call_cost`.
    new_history : bool
        Whether this is the first call of a sub-agent, which has no cached history.
    history_tokens : int
        Tokens of the history before the new messages.
    cache_targets : tuple of str
        Engines that may hold the cache of the history.
    exported_cache : tuple of (str, int) or None
        Name of the object with the exported cache of the history, and its tokens.
    fencing_token : int
        Version of the program's row. An engine that checks it refuses requests of a
        holder that was paused while another host took the program over.
    """

    messages: tuple[Message, ...]
    max_tokens: int
    fingerprint: str
    history_tokens: int = 0
    attained_cost: float = 0.0
    new_history: bool = False
    cache_targets: tuple[str, ...] = ()
    exported_cache: tuple[str, int] | None = None
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class GeneratedAnswer:
    """A complete answer of an engine."""

    text: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    target: str

    @property
    def cost(self) -> float:
        """Cost of the answer, in the tokens of `call_cost`."""
        uncached = self.prompt_tokens - self.cached_tokens
        return call_cost(uncached, self.completion_tokens)

    @property
    def total_tokens(self) -> int:
        """Tokens of the history including this answer."""
        return self.prompt_tokens + self.completion_tokens
