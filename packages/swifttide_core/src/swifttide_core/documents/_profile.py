"""Profile document: limits, priorities and times for a class of agent programs."""

from dataclasses import dataclass, field

from swifttide_core.documents._history_mode import HistoryMode


@dataclass(frozen=True, slots=True)
class Profile:
    """Settings for a class of agent programs, which callers select by name.

    Parameters
    ----------
    name : str
        Name that callers send in ``Swifttide-Profile``.
    customers : tuple of str
        Ids of the customers that may use the profile; empty for all.
    model : str
        Model that serves the chat calls.
    services : tuple of str
        Plain services that programs may call; empty for all.
    never_repeat : tuple of str
        ``service/path`` prefixes of calls that must run at most once.
    budget_tokens : int
        Maximum number of tokens that a root program and its sub-agents use together.
    max_turns : int
        Maximum number of turns of a root program and its sub-agents together.
    max_calls : int
        Maximum number of calls of plain services by a root program and its
        sub-agents together.
    max_program_seconds : float
        Time after a root program's first turn from which on no turn is started.
    max_turn_tokens : int
        Maximum number of tokens that one turn generates. They are reserved before
        the turn is dispatched.
    weight : float
        Relative share of a customer while targets are fully loaded.
    urgency : int
        Priority within a customer; 0 is normal, larger values are served first.
    deadline_seconds : float
        Desired latency of the whole program, including pauses for tools.
    turn_timeout_seconds : float
        Maximum duration of one call at a target.
    idle_seconds : float
        Time without calls after which a program's cache at targets is released.
    tool_pause_seconds : float
        Expected pause between turns, used until the daemon has measured one.
    history : HistoryMode
        Place where the history is stored, which determines whether turns are served
        during an outage of the platform.
    """

    name: str
    customers: tuple[str, ...] = ()
    model: str = "default"
    services: tuple[str, ...] = ()
    never_repeat: tuple[str, ...] = ()
    budget_tokens: int = 500_000
    max_turns: int = 100
    max_calls: int = 1000
    max_program_seconds: float = 86_400.0
    max_turn_tokens: int = 4096
    weight: float = 1.0
    urgency: int = 0
    deadline_seconds: float = 600.0
    turn_timeout_seconds: float = 120.0
    idle_seconds: float = 300.0
    tool_pause_seconds: float = 5.0
    history: HistoryMode = field(default=HistoryMode.DURABLE)
