"""The ideal: one global queue that knows everything exactly and at once.

It knows the present batch, cache and memory of every engine, the true cost of every
call and which programs are gone. It can't be built; it marks what is left to gain.
"""

from benchmarks.call import Call
from benchmarks.policies.policy import Policy
from swifttide_core.admission import call_cost


class Ideal(Policy):
    """Global queue with exact knowledge."""

    def __init__(self, world) -> None:
        super().__init__(world)
        self.waiting: dict[str, Call] = {}
        self.counters: dict[str, float] = {}
        self.active: dict[str, int] = {}

    def submit(self, call: Call) -> None:
        """Queue a call; services take theirs at once."""
        call.state = "queued"
        if call.is_service:
            targets = [t for t in self.world.services if t.alive and not t.leaving]
            if targets:
                min(targets, key=lambda t: t.n_running).submit(call)
            else:
                self.world.refuse(call, 1.0)
            return
        customer = call.program.plan.customer
        if not self.active.get(customer):
            floor = min(
                (self.counters[c] for c, n in self.active.items() if n), default=0.0
            )
            self.counters[customer] = max(self.counters.get(customer, 0.0), floor)
        self.active[customer] = self.active.get(customer, 0) + 1
        self.waiting[call.call_id] = call
        self._pump()

    def call_done(self, call: Call) -> None:
        """Start what fits now."""
        if not call.is_service:
            self._pump()

    def withdraw(self, call: Call) -> None:
        """Take a call out of the queue or its engine."""
        if call.call_id in self.waiting:
            self._take(call)
        else:
            super().withdraw(call)
        self._pump()

    def agent_ended(self, program, agent: str) -> None:
        """Release the prefix at once."""
        for engine in self.world.engines:
            engine.release_cache(agent)

    def target_changed(self, target) -> None:
        """Start what fits now."""
        self._pump()

    def tick(self) -> None:
        """Start what fits now."""
        self._pump()

    def _take(self, call: Call) -> None:
        del self.waiting[call.call_id]
        self.active[call.program.plan.customer] -= 1

    def _pump(self) -> None:
        engines = [e for e in self.world.engines if e.alive and not e.leaving]
        while self.waiting:
            free = [e for e in engines if e.n_waiting == 0 and self._has_room(e)]
            if not free:
                return
            call = min(self.waiting.values(), key=self._order)
            free = [e for e in free if e.fits(call)]
            if not free:
                return
            engine = min(free, key=lambda e: self._seconds(e, call))
            self._take(call)
            uncached = call.prompt_tokens - engine.usable_prefix(call)
            cost = call_cost(uncached, call.output_tokens)
            self.counters[call.program.plan.customer] += cost
            engine.submit(call)

    def _has_room(self, engine) -> bool:
        limit = self.world.max_concurrency[engine.name]
        return engine.n_running < limit

    def _order(self, call: Call):
        plan = call.program.plan
        return (
            self.counters[plan.customer],
            -plan.urgency,
            call.program.attained == 0 and call.program.work_tokens == 0,
            plan.starts_at,
            call.call_id,
        )

    def _seconds(self, engine, call: Call) -> float:
        uncached = call.prompt_tokens - engine.usable_prefix(call)
        prefill = engine.prefill_backlog
        prefill += uncached / engine.spec.prefill_tokens_per_second
        gap = engine.token_gap(engine.n_running + 1)
        return prefill / engine.speed + gap * call.output_tokens
