"""What the world asks of a policy."""

from benchmarks.call import Call


class Policy:
    """Base of the policies: what a plain gateway does.

    Parameters
    ----------
    world : World
        Targets, clock and callers.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.sim = world.sim

    def submit(self, call: Call) -> None:
        """Take a call from a caller."""
        raise NotImplementedError

    def call_done(self, call: Call) -> None:
        """Learn that a target answered."""

    def call_lost(self, call: Call) -> None:
        """Send a call again whose target died; calls of the bench may repeat."""
        self.submit(call)

    def withdraw(self, call: Call) -> None:
        """Stop a call whose caller is gone."""
        if call.target is not None and call.state not in ("lost", "cancelled"):
            call.target.cancel(call)

    def host_lost(self, host: int, calls: list[Call]) -> None:
        """Forget the calls of a host that died; their callers send them again."""
        for call in calls:
            self.withdraw(call)

    def target_changed(self, target) -> None:
        """Learn, late, that a target died, came back, leaves or was edited."""

    def paused(self, program, agent: str, tokens: int) -> None:
        """Learn that an agent waits for a tool."""

    def agent_ended(self, program, agent: str) -> None:
        """Learn that a history will not be used again."""

    def evicted(self, engine: str, agent: str) -> None:
        """Learn that a prefix is gone, or ignore it."""

    def tick(self) -> None:
        """Act once a second."""

    def usable(self, call: Call) -> list:
        """Return the targets that may take a call, as far as hosts know."""
        world = self.world
        kind = world.services if call.is_service else world.engines
        return [
            t
            for t in kind
            if world.seen_alive[t.name] and not world.seen_leaving[t.name]
        ]
