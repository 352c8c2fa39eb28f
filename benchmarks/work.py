"""Programs as the bench replays them: made beforehand, unknown to the policies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """One call to a model and what follows it.

    Parameters
    ----------
    new_tokens : int
        Prompt tokens beyond the history.
    output_tokens : int
        Tokens that the model generates.
    service_seconds : float
        Work of the plain service called next; 0 for none.
    pause_seconds : float
        Pause of a tool outside the system.
    sub_agents : tuple of AgentPlan
        Run side by side before the next step.
    """

    new_tokens: int
    output_tokens: int
    service_seconds: float = 0.0
    pause_seconds: float = 0.0
    sub_agents: tuple["AgentPlan", ...] = ()


@dataclass(frozen=True, slots=True)
class AgentPlan:
    """Chain of dependent calls.

    Parameters
    ----------
    steps : tuple of Step
        In their order.
    shared_tokens : int
        Prefix that a sub-agent shares with its parent.
    """

    steps: tuple[Step, ...]
    shared_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """A program that a caller starts.

    Parameters
    ----------
    name : str
        Its id.
    customer : str
        Who pays.
    profile : str
        Name of its class.
    starts_at : float
        Time of its first call.
    deadline_seconds : float
        Wanted latency.
    urgency : int
        From the profile.
    inside_rate : bool
        Whether the customer was inside its rate and burst when it started.
    agent : AgentPlan
        What it does.
    vanishes_after : int
        Step after which its caller dies without a word; -1 for never.
    """

    name: str
    customer: str
    profile: str
    starts_at: float
    deadline_seconds: float
    urgency: int
    inside_rate: bool
    agent: AgentPlan
    vanishes_after: int = -1


def walk_steps(agent: AgentPlan):
    """Yield every step of an agent and of its sub-agents."""
    for step in agent.steps:
        yield step
        for sub_agent in step.sub_agents:
            yield from walk_steps(sub_agent)


def unloaded_seconds(agent: AgentPlan, engine, token_gap: float) -> float:
    """Return the latency of an agent whose calls never wait.

    Parameters
    ----------
    agent : AgentPlan
        The agent.
    engine : EngineSpec
        For its speed at prompts.
    token_gap : float
        Seconds between tokens.
    """
    total = 0.0
    for step in agent.steps:
        total += step.new_tokens / engine.prefill_tokens_per_second
        total += step.output_tokens * token_gap + step.service_seconds
        total += step.pause_seconds
        total += max(
            (unloaded_seconds(a, engine, token_gap) for a in step.sub_agents),
            default=0.0,
        )
    return total
