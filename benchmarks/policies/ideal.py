"""The ideal: one global queue that knows everything exactly and at once.

It knows the present batch, cache and memory of every engine, the true cost of every
call and which programs are gone. It can't be built; it marks what is left to gain.
"""

from benchmarks.call import Call
from benchmarks.policies.policy import Policy
from benchmarks.work import unloaded_seconds
from swifttide_core.admission import call_cost

SPARE = 0.3
"""Part of an engine's limit below which histories may be computed again there."""

FILL = 1.0
"""Part of an engine's memory that final lengths of histories may add up to."""

RECOMPUTE_WEIGHT = 4.0
"""Weight of a prompt's own time, since all others of the batch wait for it too."""


class Ideal(Policy):
    """Global queue with exact knowledge."""

    def __init__(self, world) -> None:
        super().__init__(world)
        self.waiting: dict[str, Call] = {}
        self.counters: dict[str, float] = {}
        self.active: dict[str, int] = {}
        self.held: dict[str, float] = {e.name: 0.0 for e in world.engines}
        self.final: dict[str, int] = {}
        self.pumping = False
        self.home: dict[str, str] = {}

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
        home = self.home.pop(agent, None)
        if home is not None:
            self.held[home] -= self.final.pop(agent)
        self._pump()

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
        if self.pumping:
            return
        self.pumping = True
        self._fill()
        self.pumping = False

    def _fill(self) -> None:
        engines = [e for e in self.world.engines if e.alive and not e.leaving]
        room = max(
            (FILL * e.spec.cache_tokens - self.held[e.name] for e in engines),
            default=0.0,
        )
        spare = any(self._is_spare(e) for e in engines)
        for call in sorted(self.waiting.values(), key=self._order):
            if call.call_id not in self.waiting:
                continue
            if self._is_new(call):
                if call.final_tokens > room and not spare:
                    continue
                if not self._can_finish(call):
                    self._take(call)
                    self.world.refuse(call, float("inf"))
                    continue
            free = [e for e in engines if e.n_waiting == 0 and self._has_room(e)]
            if not free:
                return
            free = [e for e in free if e.fits(call) and self._holds(e, call)]
            if free:
                self._send(min(free, key=lambda e: self._seconds(e, call)), call)

    def _send(self, engine, call: Call) -> None:
        self._take(call)
        old = self.home.get(call.agent)
        if old is not None:
            self.held[old] -= call.final_tokens
        self.home[call.agent] = engine.name
        self.held[engine.name] += call.final_tokens
        self.final[call.agent] = call.final_tokens
        uncached = call.prompt_tokens - engine.usable_prefix(call)
        cost = call_cost(uncached, call.output_tokens)
        self.counters[call.program.plan.customer] += cost
        engine.submit(call)

    def _holds(self, engine, call: Call) -> bool:
        """Return whether the history may grow to its end here without evictions."""
        if self.home.get(call.agent) == engine.name:
            return True
        if not self._is_new(call) or self._is_spare(engine):
            return True
        held = self.held[engine.name]
        return held + call.final_tokens <= FILL * engine.spec.cache_tokens

    def _is_spare(self, engine) -> bool:
        return engine.n_running < SPARE * self.world.max_concurrency[engine.name]

    def _is_new(self, call: Call) -> bool:
        if call.program.plan.urgency > 0:
            return False
        return call.program.work_tokens == 0 and call.agent not in self.home

    def _can_finish(self, call: Call) -> bool:
        plan = call.program.plan
        gap = min(engine.token_gap(16) for engine in self.world.engines)
        needed = unloaded_seconds(plan.agent, self.world.site.engine, gap)
        return self.sim.now + needed <= call.program.deadline_at

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
        prefill += RECOMPUTE_WEIGHT * uncached / engine.spec.prefill_tokens_per_second
        gap = engine.token_gap(engine.n_running + 1)
        return prefill / engine.speed + gap * call.output_tokens
