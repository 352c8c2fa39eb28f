"""What an engine is asked for."""

from dataclasses import dataclass

from swifttide_core.admission import call_cost
from swifttide_daemon.programs import Message


@dataclass(frozen=True, slots=True)
class Prompt:
    """One generation.

    Parameters
    ----------
    messages : tuple of Message
        The whole prompt.
    max_tokens : int
    fingerprint : str
        By which the request is known if it crashes targets.
    attained_cost : float
        Cost that the root program and its sub-agents were served so far, in the
        queue's units.
    new_history : bool
        Whether it is the first call of a sub-agent.
    history_tokens : int
        Tokens of the history before the new messages.
    cache_targets : tuple of str
        Engines that may hold the history's cache.
    exported_cache : tuple of (str, int) or None
        Object that holds the history's cache, and its tokens.
    fencing_token : int
        Version of the program's row: an engine that checks it refuses a holder that
        was paused while another went on.
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
    """A whole answer of an engine."""

    text: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    target: str

    @property
    def cost(self) -> float:
        """Cost of the answer, in the queue's units."""
        uncached = self.prompt_tokens - self.cached_tokens
        return call_cost(uncached, self.completion_tokens)

    @property
    def total_tokens(self) -> int:
        """Tokens of the history with this answer."""
        return self.prompt_tokens + self.completion_tokens
