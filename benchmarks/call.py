"""One call on its way."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, eq=False)
class Call:
    """A call to a model or to a plain service.

    Parameters
    ----------
    call_id : str
        Unique in the run.
    program : ProgramRun
        Program that it belongs to.
    agent : str
        Key of its history at engines.
    parent : str
        Key of the parent's history; empty for a root.
    prompt_tokens, shared_tokens, new_tokens, output_tokens : int
        Whole prompt, the part shared with the parent, the part seen for the first
        time, and what is generated.
    service_seconds : float
        Work at a plain service; 0 for a model call.
    offered_at : float
        Time at which the caller sent it first.
    on_done : callable
        Called when the caller has the whole answer.
    final_tokens : int
        Length of the history when its agent ends; only the ideal looks at it.
    """

    call_id: str
    program: Any
    agent: str
    parent: str
    prompt_tokens: int
    shared_tokens: int
    new_tokens: int
    output_tokens: int
    service_seconds: float
    offered_at: float
    on_done: Any
    final_tokens: int = 0
    refused: bool = False
    target: Any = None
    started_at: float = 0.0
    first_token_at: float = 0.0
    uncached_tokens: float = 0.0
    exported_tokens: int = 0
    finish_at: float = 0.0
    state: str = "new"
    policy_data: dict = field(default_factory=dict)

    @property
    def is_service(self) -> bool:
        """Whether it goes to a plain service."""
        return self.service_seconds > 0
