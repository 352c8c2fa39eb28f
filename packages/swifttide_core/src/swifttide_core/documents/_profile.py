"""The profile: how a class of agent programs is served."""

from dataclasses import dataclass, field

from swifttide_core.documents._history_mode import HistoryMode


@dataclass(frozen=True, slots=True)
class Profile:
    """What operators write and services pick by name.

    Parameters
    ----------
    name : str
        Name that callers send in ``Swifttide-Profile``.
    customers : tuple of str
        Ids of the customers that may use it; empty for all.
    model : str
        Model that its chat calls are served by.
    services : tuple of str
        Plain services that its programs may call; empty for all.
    never_repeat : tuple of str
        ``service/path`` prefixes whose calls may run at most once.
    budget_tokens : int
        Tokens that a root program and its sub-agents may use together.
    max_turns : int
        Turns of a root program and its sub-agents together.
    max_calls : int
        Calls of plain services of a root program and its sub-agents together.
    max_program_seconds : float
        Time from a root program's first turn after which it gets no further one.
    max_turn_tokens : int
        Tokens that one turn may generate; reserved before it is dispatched.
    weight : float
        Share of a customer against the others while targets are full.
    urgency : int
        0 is normal; larger goes first within a customer.
    deadline_seconds : float
        Wanted latency of the whole program, tool pauses included.
    turn_timeout_seconds : float
        Longest that one call may take at a target.
    idle_seconds : float
        Silence after which a program's cache at targets is released.
    tool_pause_seconds : float
        Expected pause between turns, until the daemon has measured one.
    history : HistoryMode
        Who holds a program's history, hence what an outage of the platform stops.
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
