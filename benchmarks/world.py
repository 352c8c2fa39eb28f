"""Callers, hosts and targets of a run; the policies decide in between."""

import random
from dataclasses import dataclass, field

from benchmarks.call import Call
from benchmarks.fake_engine import FakeEngine
from benchmarks.fake_service import FakeService
from benchmarks.scenario import Fault, FaultKind, Scenario
from benchmarks.simulation import Simulation
from benchmarks.site import Site
from benchmarks.work import AgentPlan, ProgramPlan

PATIENCE = 1.5
"""Deadlines after which a caller gives its program up."""

DETECT_SECONDS = 3.0
"""Time until hosts know that a target died, came back or is leaving."""

MAX_CONCURRENCY = 48
"""Upper bound that operators set for an engine; more than its batch of 32."""

RECONNECT_SECONDS = 1.0
"""Time until a caller whose host died sends its call again."""


@dataclass(slots=True, eq=False)
class ProgramRun:
    """A program under way.

    Parameters
    ----------
    plan : ProgramPlan
        What it does.
    host : int
        Host that its caller is connected to.
    """

    plan: ProgramPlan
    host: int
    state: str = "running"
    ended_at: float = 0.0
    calls: dict[str, Call] = field(default_factory=dict)
    agents: list[str] = field(default_factory=list)
    n_calls: int = 0
    n_refused_calls: int = 0
    n_refusals: int = 0
    attained: float = 0.0
    work_tokens: float = 0.0
    new_tokens: float = 0.0
    cost: float = 0.0

    @property
    def name(self) -> str:
        """Id of the program."""
        return self.plan.name

    @property
    def deadline_at(self) -> float:
        """Time by which it should be finished."""
        return self.plan.starts_at + self.plan.deadline_seconds

    @property
    def gives_up_at(self) -> float:
        """Time at which its caller leaves."""
        return self.plan.starts_at + PATIENCE * self.plan.deadline_seconds


class World:
    """One run.

    Parameters
    ----------
    site : Site
        Zones, hosts and targets.
    scenario : Scenario
        Faults.
    plans : list of ProgramPlan
        Programs that callers start.
    make_policy : callable
        Called with the world; returns the policy under test.
    """

    def __init__(self, site: Site, scenario: Scenario, plans, make_policy) -> None:
        self.site = site
        self.scenario = scenario
        self.sim = Simulation()
        self.rng = random.Random(f"world/{site.name}/{scenario.name}")
        self.programs: list[ProgramRun] = []
        self.held_for_nobody = 0.0
        self._ended_agents: dict[str, float] = {}
        self._call_count = 0
        self.hosts_alive = [True] * site.n_hosts
        self.engines = [self._engine(i) for i in range(site.n_engines)]
        self.services = [self._service(i) for i in range(site.n_services)]
        self.targets = [*self.engines, *self.services]
        self.seen_alive = {t.name: True for t in self.targets}
        self.seen_leaving = {t.name: False for t in self.targets}
        self.seen_back = {t.name: float("-inf") for t in self.targets}
        self.max_concurrency = {t.name: MAX_CONCURRENCY for t in self.engines}
        self.max_concurrency.update({t.name: 12 for t in self.services})
        self.policy = make_policy(self)
        self._last_at = max(p.starts_at + PATIENCE * p.deadline_seconds for p in plans)
        for plan in plans:
            self.sim.after(plan.starts_at, lambda plan=plan: self._start(plan))
        for fault in scenario.faults:
            self._schedule_fault(fault)
        self.sim.every(1.0, self._second)

    def run(self) -> None:
        """Advance until every caller has its answer or has left."""
        self.sim.run(self._last_at + 5.0)
        for engine in self.engines:
            for agent, tokens in list(engine.cache.items()):
                self._evicted(engine.name, agent, tokens)

    def zone_of_host(self, host: int) -> str:
        """Return the zone of an entry host."""
        return self.site.zones[host % len(self.site.zones)]

    def refuse(self, call: Call, retry_after: float) -> None:
        """Tell the caller; it comes back when told to, or leaves if that is late."""
        program = call.program
        program.n_refusals += 1
        if not call.refused:
            call.refused = True
            program.n_refused_calls += 1
        call.state = "refused"
        again_at = self.sim.now + retry_after
        if again_at >= program.gives_up_at:
            self._give_up(program)
            return
        self.sim.after(retry_after, lambda: self._send(call))

    def _start(self, plan: ProgramPlan) -> None:
        program = ProgramRun(plan, self._any_host())
        self.programs.append(program)
        patience = program.gives_up_at - self.sim.now
        self.sim.after(patience, lambda: self._give_up(program))
        done = lambda: self._finish(program)  # noqa: E731
        self._run_agent(program, plan.agent, plan.name, "", done)

    def _run_agent(self, program, plan: AgentPlan, key: str, parent: str, done) -> None:
        program.agents.append(key)
        self._run_step(program, plan, key, parent, 0, plan.shared_tokens, done)

    def _run_step(self, program, plan, key, parent, index, context, done) -> None:
        if program.state != "running":
            return
        if index == len(plan.steps):
            self.agent_ended(program, key)
            done()
            return
        step = plan.steps[index]
        prompt = context + step.new_tokens
        after = prompt + step.output_tokens
        is_last = index + 1 == len(plan.steps)

        def go_on() -> None:
            self._run_step(program, plan, key, parent, index + 1, after, done)

        def pause() -> None:
            if is_last:
                go_on()
            else:
                self.sim.after(step.pause_seconds, go_on)

        def spread() -> None:
            if not step.sub_agents:
                pause()
                return
            left = len(step.sub_agents)

            def joined() -> None:
                nonlocal left
                left -= 1
                if left == 0:
                    pause()

            for number, sub in enumerate(step.sub_agents):
                sub_key = f"{key}.{index}.{number}"
                self._run_agent(program, sub, sub_key, key, joined)

        def use_service() -> None:
            if not is_last:
                self.policy.paused(program, key, after)
            if not parent and index == program.plan.vanishes_after:
                self._vanish(program)
                return
            if step.service_seconds:
                self._new_call(program, key, "", 0, 0, 0, 0, 0, step, spread)
            else:
                spread()

        shared = plan.shared_tokens
        new, output = step.new_tokens, step.output_tokens
        final = after + sum(
            s.new_tokens + s.output_tokens for s in plan.steps[index + 1 :]
        )
        self._new_call(
            program, key, parent, prompt, shared, new, output, final, None, use_service
        )

    def _new_call(
        self, program, key, parent, prompt, shared, new, output, final, service, on_done
    ) -> None:
        if program.state != "running":
            return
        self._call_count += 1
        call = Call(
            call_id=f"c{self._call_count}",
            program=program,
            agent=key,
            parent=parent,
            prompt_tokens=prompt,
            shared_tokens=shared,
            new_tokens=new,
            output_tokens=output,
            service_seconds=service.service_seconds if service else 0.0,
            offered_at=self.sim.now,
            on_done=on_done,
            final_tokens=final,
        )
        program.n_calls += 1
        program.calls[call.call_id] = call
        self._send(call)

    def _send(self, call: Call) -> None:
        program = call.program
        if program.state != "running":
            return
        if not self.hosts_alive[program.host]:
            program.host = self._any_host()
        call.state = "new"
        self.policy.submit(call)

    def agent_ended(self, program: ProgramRun, key: str) -> None:
        """Note that a history will not be used again."""
        self._ended_agents[key] = self.sim.now
        self.policy.agent_ended(program, key)

    def _vanish(self, program: ProgramRun) -> None:
        program.state = "vanished"
        program.ended_at = self.sim.now
        for key in program.agents:
            self._ended_agents.setdefault(key, self.sim.now)

    def _finish(self, program: ProgramRun) -> None:
        if program.state != "running":
            return
        program.state = "finished"
        program.ended_at = self.sim.now

    def _give_up(self, program: ProgramRun) -> None:
        if program.state != "running":
            return
        program.state = "given_up"
        program.ended_at = self.sim.now
        for call in list(program.calls.values()):
            if call.state not in ("refused", "done"):
                self.policy.withdraw(call)
        program.calls.clear()
        for key in program.agents:
            if key not in self._ended_agents:
                self.agent_ended(program, key)

    def _done(self, call: Call) -> None:
        program = call.program
        program.calls.pop(call.call_id, None)
        if not call.is_service:
            program.work_tokens += call.uncached_tokens + call.output_tokens
            program.new_tokens += call.new_tokens + call.output_tokens
            program.cost += call.new_tokens / 16 + call.output_tokens
        self.policy.call_done(call)
        call.on_done()

    def _failed(self, call: Call) -> None:
        if call.state != "failing":
            return
        call.state = "lost"
        self.policy.call_lost(call)

    def _evicted(self, engine: str, agent: str, tokens: int) -> None:
        ended_at = self._ended_agents.get(agent)
        if ended_at is not None:
            self.held_for_nobody += tokens * (self.sim.now - ended_at)
        self.policy.evicted(engine, agent)

    def _any_host(self) -> int:
        alive = [i for i, up in enumerate(self.hosts_alive) if up]
        return self.rng.choice(alive)

    def _second(self) -> None:
        for engine in self.engines:
            if engine.alive:
                engine.sample()
        self.policy.tick()

    def _engine(self, number: int) -> FakeEngine:
        name = f"engine-{number}"
        return FakeEngine(
            self.sim,
            name,
            self.site.zones[number % len(self.site.zones)],
            self.site.engine,
            self._done,
            self._failed,
            lambda agent, tokens: self._evicted(name, agent, tokens),
        )

    def _service(self, number: int) -> FakeService:
        zone = self.site.zones[number % len(self.site.zones)]
        return FakeService(
            self.sim, f"service-{number}", zone, self._done, self._failed
        )

    def _schedule_fault(self, fault: Fault) -> None:
        self.sim.after(fault.begins_at, lambda: self._begin(fault))
        self.sim.after(fault.ends_at, lambda: self._end(fault))

    def _begin(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.SLOW_TARGET:
                self.engines[0].set_speed(fault.factor)
            case FaultKind.TARGET_DOWN:
                self._target_down(self.engines[0])
            case FaultKind.HOST_LOST:
                self._host_lost(0)
            case FaultKind.ZONE_LOST:
                self._zone_lost(self.site.zones[0])
            case FaultKind.EDITS:
                self._set_leaving(self.engines[0], True)
                self._set_max_concurrency(self.engines[1], 12)

    def _end(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.SLOW_TARGET:
                self.engines[0].set_speed(1.0)
            case FaultKind.TARGET_DOWN:
                self._target_up(self.engines[0])
            case FaultKind.HOST_LOST:
                self.hosts_alive[0] = True
            case FaultKind.ZONE_LOST:
                zone = self.site.zones[0]
                for target in self.targets:
                    if target.zone == zone:
                        self._target_up(target)
                for host in range(self.site.n_hosts):
                    if self.zone_of_host(host) == zone:
                        self.hosts_alive[host] = True
            case FaultKind.EDITS:
                self._set_leaving(self.engines[0], False)
                self._set_max_concurrency(self.engines[1], MAX_CONCURRENCY)

    def _target_down(self, target) -> None:
        target.fail()
        self.sim.after(DETECT_SECONDS, lambda: self._see(target))

    def _target_up(self, target) -> None:
        target.recover()
        self.sim.after(DETECT_SECONDS, lambda: self._see(target))

    def _see(self, target) -> None:
        if target.alive and not self.seen_alive[target.name]:
            self.seen_back[target.name] = self.sim.now
        self.seen_alive[target.name] = target.alive
        self.policy.target_changed(target)

    def _set_leaving(self, target, leaving: bool) -> None:
        target.leaving = leaving

        def see() -> None:
            self.seen_leaving[target.name] = leaving
            self.policy.target_changed(target)

        self.sim.after(DETECT_SECONDS, see)

    def _set_max_concurrency(self, target, value: int) -> None:
        self.max_concurrency[target.name] = value
        self.policy.target_changed(target)

    def _zone_lost(self, zone: str) -> None:
        for host in range(self.site.n_hosts):
            if self.zone_of_host(host) == zone:
                self._host_lost(host)
        for target in self.targets:
            if target.zone == zone:
                self._target_down(target)

    def _host_lost(self, host: int) -> None:
        self.hosts_alive[host] = False
        lost = []
        for program in self.programs:
            if program.host == host and program.state == "running":
                lost.extend(program.calls.values())
        lost = [call for call in lost if call.state != "refused"]
        self.policy.host_lost(host, lost)
        for call in lost:
            call.state = "cut"
            self.sim.after(RECONNECT_SECONDS, lambda call=call: self._send(call))
