"""What a program does."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Turns, tool pauses, a sub-agent and service calls of one program.

    Parameters
    ----------
    program : str
        Id of the root.
    turns : int
        Chat turns of the root.
    max_tokens : int
        Words that each turn generates.
    pause_seconds : float
        Tool pause after each turn.
    sub_agent_after : int
        Turn after which a sub-agent runs; 0 for none.
    sub_agent_turns : int
        Chat turns of the sub-agent.
    services : dict of int to (str, str)
        Service and path that is called after a turn.
    """

    program: str
    turns: int = 5
    max_tokens: int = 20
    pause_seconds: float = 0.2
    sub_agent_after: int = 0
    sub_agent_turns: int = 2
    services: dict[int, tuple[str, str]] = field(default_factory=dict)
