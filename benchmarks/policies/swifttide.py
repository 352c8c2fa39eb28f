"""Adapter: swifttide's decisions between the bench's callers and targets."""

import random
from collections import deque
from dataclasses import replace

from benchmarks.call import Call
from benchmarks.policies.features import Features
from benchmarks.policies.policy import Policy
from swifttide_core.admission import (
    AdmissionConfig,
    Admitted,
    Outcome,
    OutcomeStatus,
    ProfileEstimates,
    Queued,
    Refused,
    TargetQueue,
    Ticket,
    call_cost,
)
from swifttide_core.retention import (
    Drop,
    Export,
    Keep,
    PausedProgram,
    PauseEstimator,
    decide_retention,
)
from swifttide_core.routing import (
    CachedPrefix,
    NoTarget,
    Router,
    RouteRequest,
    TargetView,
)

VIEW_LAG = 2
"""Seconds by which the hosts' view of the queues is late."""

RENEW_SECONDS = 5
"""Time between renewals of running grants."""

TAKEOVER_SECONDS = 6.0
"""Time until another host holds the slots of one that died."""

MAX_TRIES = 3
"""Targets offered one call before the refusal goes to the caller."""

EVENT_LAG = 2.0
"""Seconds by which cache events are late; one in ten never comes."""


class Swifttide(Policy):
    """The decisions of swifttide_core, fed as late as the daemon feeds them."""

    def __init__(self, world, features: Features | None = None) -> None:
        super().__init__(world)
        self.features = features or Features()
        self.rng = random.Random("swifttide-events")
        self.resident: dict[str, set[str]] = {}
        self.by_name = {t.name: t for t in world.targets}
        self.queues = {t.name: self._new_queue(t) for t in world.targets}
        n_hosts = world.site.n_hosts
        self.holder = {t.name: i % n_hosts for i, t in enumerate(world.targets)}
        self.held_until = {t.name: 0.0 for t in world.targets}
        self.routers = [
            Router.from_config(self.features.routing, random.Random(f"host-{i}"))
            for i in range(n_hosts)
        ]
        self.calls: dict[str, Call] = {}
        self.prefixes: dict[str, dict[str, int]] = {}
        self.exported: dict[str, int] = {}
        self.keep_events: dict[str, object] = {}
        self.paused_at: dict[str, tuple[float, str]] = {}
        self.pauses = PauseEstimator()
        self.started_at: dict[str, float] = {}
        self.tokens: dict[str, float] = {}
        self.estimates = ProfileEstimates()
        self.snapshots: deque[dict] = deque(maxlen=VIEW_LAG)
        self.seconds = 0
        self._refresh_views()

    def submit(self, call: Call) -> None:
        """Route a call and offer it to its target's queue."""
        call.policy_data = {"avoid": frozenset(), "tries": 0}
        self._forget_route(call)
        if not call.is_service:
            self._end_pause(call.agent)
        self._route(call)

    def call_done(self, call: Call) -> None:
        """Release the grant and learn from the call."""
        self._learn(call)
        self._release(call, self._outcome(call))

    def call_lost(self, call: Call) -> None:
        """Send a call again whose target died."""
        self._release(call, Outcome(OutcomeStatus.FAILED))
        self.submit(call)

    def withdraw(self, call: Call) -> None:
        """Take a call out of queue and target."""
        super().withdraw(call) if call.state != "queued" else None
        self._withdraw_ticket(call)
        call.state = "cancelled"

    def host_lost(self, host: int, calls: list[Call]) -> None:
        """Cut the host's calls without a release, and move the queues it held."""
        for call in calls:
            if call.state != "queued":
                super().withdraw(call)
            call.policy_data["grant_lost"] = True
            self.calls.pop(call.call_id, None)
        self.routers[host] = Router.from_config(
            self.features.routing, random.Random(f"host-{host}-again")
        )
        for name, holder in list(self.holder.items()):
            if holder == host:
                self._move_queue(name, host)

    def target_changed(self, target) -> None:
        """Learn that a target died, came back, leaves or was edited."""
        now, name = self.sim.now, target.name
        world = self.world
        queue = self.queues[name]
        queue.set_max_concurrency(now, world.max_concurrency[name])
        gone = world.seen_leaving[name] or not world.seen_alive[name]
        if not gone and world.seen_back[name] == now:
            self.queues[name] = self._new_queue(target)
            self._renew(name)
        self._refresh_views()
        if world.seen_leaving[name] and self.features.retain:
            self._retain_all(name)
        decisions = self.queues[name].set_leaving(now, gone)
        self._apply(decisions)

    def paused(self, program, agent: str, tokens: int) -> None:
        """Decide on the cache of an agent that waits for a tool."""
        target = self._prefix_target(agent)
        if target is None:
            return
        profile = program.plan.profile
        self.paused_at[agent] = (self.sim.now, profile)
        if not self.features.retain:
            return
        self._retain(agent, target, tokens)

    def _retain(self, agent: str, target: str, tokens: int) -> None:
        profile = self.paused_at[agent][1]
        paused = PausedProgram(
            cached_tokens=tokens,
            upper_pause_seconds=self.pauses.upper_bound_seconds(profile, 5.0),
            idle_limit_seconds=300.0,
            target_leaving=self.world.seen_leaving[target],
        )
        match decide_retention(self.sim.now, self.features.retention, paused):
            case Keep(until=until):
                wait = until - self.sim.now
                event = self.sim.after(wait, lambda: self._forget_agent(agent))
                self.keep_events[agent] = event
            case Export():
                self.exported[agent] = tokens
                self._forget_agent(agent)
            case Drop():
                self._forget_agent(agent)

    def _retain_all(self, name: str) -> None:
        for agent in list(self.paused_at):
            tokens = self.prefixes.get(agent, {}).get(name)
            if tokens is not None:
                event = self.keep_events.pop(agent, None)
                if event is not None:
                    event.cancel()
                self._retain(agent, name, tokens)

    def _forget_agent(self, agent: str) -> None:
        self._drop(agent)
        for name in sorted(self.resident.pop(agent, ())):
            self._apply(self.queues[name].end_program(self.sim.now, agent))

    def agent_ended(self, program, agent: str) -> None:
        """Release what an agent left behind."""
        self._end_pause(agent)
        self.exported.pop(agent, None)
        if self.features.release:
            self._drop(agent)
        else:
            self.prefixes.pop(agent, None)
        tokens = self.tokens.pop(agent, None)
        if program.state == "running" and tokens is not None:
            is_root = agent == program.name
            begun_at = self.started_at.pop(agent, self.sim.now)
            kind = _kind(program.plan.profile, is_root)
            self.estimates.observe_program(kind, tokens, self.sim.now - begun_at)
        for name in sorted(self.resident.pop(agent, ())):
            self._apply(self.queues[name].end_program(self.sim.now, agent))

    def evicted(self, engine: str, agent: str) -> None:
        """Hear late of a prefix that went, or never."""
        if self.rng.random() < 0.1:
            return
        tokens = self.prefixes.get(agent, {}).get(engine)
        if tokens is None:
            return

        def forget() -> None:
            held = self.prefixes.get(agent, {})
            if held.get(engine) == tokens:
                del held[engine]

        self.sim.after(EVENT_LAG, forget)

    def tick(self) -> None:
        """Run the queues, pass load reports on and renew the grants."""
        now = self.sim.now
        self.seconds += 1
        for name, queue in self.queues.items():
            target = self.by_name[name]
            if not target.is_service and target.alive:
                report = target.load_report()
                if report is not None and not self.features.reports:
                    report = replace(report, waiting=0)
                if report is not None:
                    self._apply(queue.report_load(now, report))
            if self.features.renew and self.seconds % RENEW_SECONDS == 0:
                self._renew(name)
            self._apply(self.queues[name].tick(now))
        self._refresh_views()

    def _new_queue(self, target) -> TargetQueue:
        limit = self.world.max_concurrency[target.name]
        if target.is_service:
            return TargetQueue.from_config(AdmissionConfig.for_service(), limit)
        if not self.features.adaptive:
            fixed = replace(self.features.admission, min_limit=limit)
            return TargetQueue.from_config(fixed, limit)
        return TargetQueue.from_config(self.features.admission, limit)

    def _refresh_views(self) -> None:
        now = self.sim.now
        self.snapshots.append({n: q.snapshot(now) for n, q in self.queues.items()})
        old = self.snapshots[0]
        self.views = tuple(self._view(t, old[t.name]) for t in self.world.targets)

    def _view(self, target, snapshot) -> TargetView:
        world = self.world
        return TargetView(
            name=target.name,
            zone=target.zone,
            serves=("service",) if target.is_service else ("model",),
            alive=world.seen_alive[target.name],
            leaving=world.seen_leaving[target.name],
            measured_at=snapshot.measured_at,
            running=snapshot.running,
            queued=snapshot.queued,
            limit=snapshot.limit,
            service_seconds=snapshot.service_seconds,
            drain_per_second=snapshot.drain_per_second,
            entry_wait_seconds=snapshot.entry_wait_seconds,
        )

    def _route(self, call: Call) -> None:
        host = call.program.host
        router = self.routers[host]
        req = RouteRequest(
            serves="service" if call.is_service else "model",
            zone=self.world.zone_of_host(host),
            prompt_tokens=call.prompt_tokens,
            prefixes=self._prefixes(call),
            avoid=call.policy_data["avoid"],
            new_program=not call.is_service and call.agent not in self.tokens,
        )
        choice = router.choose(self.sim.now, req, self.views)
        if isinstance(choice, NoTarget):
            last = call.policy_data.get("refusal", choice.refusal)
            self._refuse(call, last.retry_after_seconds)
            return
        if self.features.local_counts:
            router.dispatched(self.sim.now, choice.target)
        call.policy_data["route"] = (host, choice.target)
        call.policy_data["cached"] = choice.cached_tokens
        self._offer(call, choice.target)

    def _offer(self, call: Call, name: str) -> None:
        call.state = "queued"
        self.calls[call.call_id] = call
        ticket = self._ticket(call)
        call.policy_data["ticket"] = ticket
        wait = self.held_until[name] - self.sim.now
        if wait > 0:
            self.sim.after(wait, lambda: self._offer_again(call, name, ticket))
            return
        decision = self.queues[name].offer(self.sim.now, ticket)
        if not isinstance(decision, Queued):
            self._apply((decision,))

    def _offer_again(self, call: Call, name: str, ticket: Ticket) -> None:
        waits = call.state == "queued" and call.policy_data.get("ticket") is ticket
        if waits:
            self._offer(call, name)

    def _ticket(self, call: Call) -> Ticket:
        program = call.program
        plan = program.plan
        features = self.features
        kind = _kind(plan.profile, call.parent == "")
        output = self.estimates.output_tokens(kind)
        call.policy_data["tries"] += 1
        if call.is_service:
            cost = 1.0
        else:
            uncached = call.prompt_tokens - call.policy_data["cached"]
            cost = call_cost(uncached, output)
        return Ticket(
            ticket_id=f"{call.call_id}/{self.sim.now}/{call.policy_data['tries']}",
            customer=plan.customer if features.fair else "everyone",
            program=call.agent,
            urgency=plan.urgency if features.urgency else 0,
            deadline_at=program.deadline_at if features.deadlines else float("inf"),
            expected_tokens=cost,
            attained_tokens=program.attained,
            offered_at=call.offered_at,
            context_tokens=call.prompt_tokens + output
            if features.working_set and not call.is_service
            else 0.0,
            expected_remaining_seconds=self.estimates.program_seconds(kind)
            if program.attained == 0 and not call.is_service and features.remaining
            else 0.0,
            new_history=features.gate_sub_agents
            and call.parent != ""
            and call.agent not in self.tokens,
            expected_context_tokens=self.estimates.context_tokens(kind),
        )

    def _apply(self, decisions) -> None:
        for decision in decisions:
            call = self.calls.get(decision.ticket_id.split("/")[0])
            if call is None or call.policy_data["ticket"].ticket_id != (
                decision.ticket_id
            ):
                continue
            match decision:
                case Admitted():
                    self._start(call)
                case Refused():
                    self._refused(call, decision)

    def _start(self, call: Call) -> None:
        name = call.policy_data["route"][1]
        call.exported_tokens = min(call.prompt_tokens, self.exported.pop(call.agent, 0))
        if not call.is_service:
            self.started_at.setdefault(call.agent, self.sim.now)
            self.resident.setdefault(call.agent, set()).add(name)
        self.by_name[name].submit(call)

    def _refused(self, call: Call, decision: Refused) -> None:
        name = call.policy_data["route"][1]
        self._forget_route(call)
        self.calls.pop(call.call_id, None)
        call.policy_data["avoid"] |= {name}
        best = call.policy_data.get("refusal", decision.refusal)
        if best.retry_after_seconds >= decision.refusal.retry_after_seconds:
            call.policy_data["refusal"] = decision.refusal
        if decision.try_elsewhere and call.policy_data["tries"] < MAX_TRIES:
            self._route(call)
            return
        self._refuse(call, call.policy_data["refusal"].retry_after_seconds)

    def _refuse(self, call: Call, seconds: float) -> None:
        self.calls.pop(call.call_id, None)
        self.world.refuse(call, seconds)

    def _release(self, call: Call, outcome: Outcome) -> None:
        route = call.policy_data.get("route")
        self._forget_route(call)
        self.calls.pop(call.call_id, None)
        if route is None or call.policy_data.get("grant_lost"):
            return
        ticket_id = call.policy_data["ticket"].ticket_id
        now = self.sim.now
        if self.held_until[route[1]] > now:
            return
        self._apply(self.queues[route[1]].release(now, ticket_id, outcome))

    def _withdraw_ticket(self, call: Call) -> None:
        route = call.policy_data.get("route")
        self._forget_route(call)
        self.calls.pop(call.call_id, None)
        if route is None or call.policy_data.get("grant_lost"):
            return
        ticket_id = call.policy_data["ticket"].ticket_id
        self._apply(self.queues[route[1]].withdraw(self.sim.now, ticket_id))

    def _forget_route(self, call: Call) -> None:
        route = call.policy_data.pop("route", None)
        if route is not None and self.features.local_counts:
            self.routers[route[0]].finished(self.sim.now, route[1])

    def _move_queue(self, name: str, host: int) -> None:
        alive = [i for i, up in enumerate(self.world.hosts_alive) if up and i != host]
        self.holder[name] = alive[hash_of(name) % len(alive)]
        self.held_until[name] = self.sim.now + TAKEOVER_SECONDS
        self.queues[name] = self._new_queue(self.by_name[name])
        if self.world.seen_leaving[name] or not self.world.seen_alive[name]:
            self.queues[name].set_leaving(self.sim.now)
        waiting = [
            call
            for call in self.calls.values()
            if call.state == "queued" and call.policy_data["route"][1] == name
        ]
        for call in waiting:
            ticket = call.policy_data["ticket"]
            self.sim.after(
                TAKEOVER_SECONDS + 0.01,
                lambda call=call, ticket=ticket: self._offer_again(call, name, ticket),
            )
        if self.features.renew:
            self.sim.after(TAKEOVER_SECONDS, lambda: self._renew(name))

    def _renew(self, name: str) -> None:
        if self.held_until[name] > self.sim.now:
            return
        for call in list(self.calls.values()):
            route = call.policy_data.get("route")
            if route and route[1] == name and call.state not in ("queued", "new"):
                self.queues[name].renew(self.sim.now, call.policy_data["ticket"])

    def _outcome(self, call: Call) -> Outcome:
        if call.is_service:
            return Outcome(tokens=1.0)
        return Outcome(tokens=call_cost(call.uncached_tokens, call.output_tokens))

    def _learn(self, call: Call) -> None:
        if call.is_service:
            return
        program = call.program
        kind = _kind(program.plan.profile, call.parent == "")
        program.attained += call_cost(call.uncached_tokens, call.output_tokens)
        self.estimates.observe_output(kind, call.output_tokens)
        tokens = call.prompt_tokens + call.output_tokens
        self.tokens[call.agent] = float(tokens)
        held = self.prefixes.setdefault(call.agent, {})
        for name in list(held):
            if name != call.target.name:
                self._release_at(name, call.agent)
                self.resident.get(call.agent, set()).discard(name)
                self._apply(self.queues[name].end_program(self.sim.now, call.agent))
        self.prefixes[call.agent] = {call.target.name: tokens}

    def _prefixes(self, call: Call) -> tuple[CachedPrefix, ...]:
        if call.is_service or not self.features.affinity:
            return ()
        own = self.prefixes.get(call.agent, {})
        parent = self.prefixes.get(call.parent, {})
        held = [CachedPrefix(name, tokens) for name, tokens in own.items()]
        held.extend(
            CachedPrefix(name, min(tokens, call.shared_tokens))
            for name, tokens in parent.items()
            if name not in own
        )
        return tuple(held)

    def _prefix_target(self, agent: str) -> str | None:
        held = self.prefixes.get(agent, {})
        return next(iter(held), None)

    def _end_pause(self, agent: str) -> None:
        event = self.keep_events.pop(agent, None)
        if event is not None:
            event.cancel()
        paused = self.paused_at.pop(agent, None)
        if paused is not None:
            self.pauses.observe(paused[1], self.sim.now - paused[0])

    def _drop(self, agent: str) -> None:
        for name in list(self.prefixes.pop(agent, {})):
            self._release_at(name, agent)

    def _release_at(self, name: str, agent: str) -> None:
        self.by_name[name].release_cache(agent)


def hash_of(text: str) -> int:
    """Return a hash that is the same on every run."""
    return sum(text.encode())


def _kind(profile: str, is_root: bool) -> str:
    """Return the name under which estimates are kept; sub-agents are shorter."""
    return profile if is_root else f"{profile}/sub-agent"
