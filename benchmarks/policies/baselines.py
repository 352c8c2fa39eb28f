"""Baselines: what gateways do without swifttide's decisions."""

import random
from collections import OrderedDict

from benchmarks.call import Call
from benchmarks.policies.policy import Policy

FIXED_LIMIT = 24
"""Calls at once at an engine for the baselines that queue outside."""

NO_TARGET_RETRY_SECONDS = 2.0


class RandomTarget(Policy):
    """Any target, straight into it."""

    def __init__(self, world) -> None:
        super().__init__(world)
        self.rng = random.Random("random-target")

    def submit(self, call: Call) -> None:
        """Send a call to a random target."""
        targets = self.usable(call)
        if not targets:
            self.world.refuse(call, NO_TARGET_RETRY_SECONDS)
            return
        self.rng.choice(targets).submit(call)


class LeastOutstanding(Policy):
    """The target with the fewest calls from this host, straight into it."""

    def __init__(self, world) -> None:
        super().__init__(world)
        self.rng = random.Random("least-outstanding")
        self.counts: dict[tuple[int, str], int] = {}
        self.sent: dict[str, tuple[int, str]] = {}

    def submit(self, call: Call) -> None:
        """Send a call to the least loaded target that this host sees."""
        self._forget(call)
        targets = self.usable(call)
        if not targets:
            self.world.refuse(call, NO_TARGET_RETRY_SECONDS)
            return
        host = call.program.host
        self.rng.shuffle(targets)
        target = min(targets, key=lambda t: self.counts.get((host, t.name), 0))
        key = (host, target.name)
        self.counts[key] = self.counts.get(key, 0) + 1
        self.sent[call.call_id] = key
        target.submit(call)

    def call_done(self, call: Call) -> None:
        """Count the call as answered."""
        self._forget(call)

    def withdraw(self, call: Call) -> None:
        """Stop a call and count it as gone."""
        self._forget(call)
        super().withdraw(call)

    def _forget(self, call: Call) -> None:
        key = self.sent.pop(call.call_id, None)
        if key is not None:
            self.counts[key] -= 1


class _QueuedGateway(Policy):
    """Sticky routing and a queue with a fixed limit at each target."""

    def __init__(self, world) -> None:
        super().__init__(world)
        self.sticky: dict[str, str] = {}
        self.turn = 0
        self.running: dict[str, int] = {t.name: 0 for t in world.targets}
        self.queues = {t.name: self.make_queue() for t in world.targets}
        self.by_name = {t.name: t for t in world.targets}
        self.place: dict[str, tuple[str, bool]] = {}

    def make_queue(self):
        """Return an empty queue of one target."""
        raise NotImplementedError

    def submit(self, call: Call) -> None:
        """Queue a call at the target that its program used before."""
        self._leave(call)
        targets = self.usable(call)
        if not targets:
            self.world.refuse(call, NO_TARGET_RETRY_SECONDS)
            return
        target = self._sticky_target(call, targets)
        self.queues[target.name].push(call)
        self.place[call.call_id] = (target.name, False)
        call.state = "queued"
        self._pump(target)

    def call_done(self, call: Call) -> None:
        """Start the next call."""
        self._leave(call)

    def withdraw(self, call: Call) -> None:
        """Take a call out of its queue or target."""
        if call.state != "queued":
            super().withdraw(call)
        self._leave(call)
        call.state = "cancelled"

    def call_lost(self, call: Call) -> None:
        """Send a call again."""
        self._leave(call)
        self.submit(call)

    def target_changed(self, target) -> None:
        """Move what waits at a target that takes no more work."""
        name = target.name
        up = self.world.seen_alive[name] and not self.world.seen_leaving[name]
        if up:
            self._pump(target)
            return
        for call in self.queues[name].drain():
            self.place.pop(call.call_id, None)
            self.submit(call)

    def _sticky_target(self, call: Call, targets: list):
        key = f"{call.program.name}/{call.is_service}"
        name = self.sticky.get(key)
        for target in targets:
            if target.name == name:
                return target
        self.turn += 1
        target = targets[self.turn % len(targets)]
        self.sticky[key] = target.name
        return target

    def _leave(self, call: Call) -> None:
        name, started = self.place.pop(call.call_id, ("", False))
        if started:
            self.running[name] -= 1
            self._pump(self.by_name[name])
        elif name:
            self.queues[name].remove(call)

    def _pump(self, target) -> None:
        name = target.name
        limit = min(FIXED_LIMIT, self.world.max_concurrency[name])
        while self.running[name] < limit:
            call = self.queues[name].pop()
            if call is None:
                return
            self.running[name] += 1
            self.place[call.call_id] = (name, True)
            target.submit(call)


class _Fifo:
    def __init__(self) -> None:
        self.calls: OrderedDict[str, Call] = OrderedDict()

    def push(self, call: Call) -> None:
        self.calls[call.call_id] = call

    def pop(self) -> Call | None:
        if not self.calls:
            return None
        return self.calls.popitem(last=False)[1]

    def remove(self, call: Call) -> None:
        self.calls.pop(call.call_id, None)

    def drain(self) -> list[Call]:
        calls = list(self.calls.values())
        self.calls.clear()
        return calls


class _RoundRobin:
    """Customers take turns call by call, whatever the calls cost."""

    def __init__(self) -> None:
        self.customers: OrderedDict[str, _Fifo] = OrderedDict()

    def push(self, call: Call) -> None:
        customer = call.program.plan.customer
        self.customers.setdefault(customer, _Fifo()).push(call)

    def pop(self) -> Call | None:
        for customer in list(self.customers):
            fifo = self.customers[customer]
            call = fifo.pop()
            if call is None:
                del self.customers[customer]
                continue
            self.customers.move_to_end(customer)
            return call
        return None

    def remove(self, call: Call) -> None:
        fifo = self.customers.get(call.program.plan.customer)
        if fifo is not None:
            fifo.remove(call)

    def drain(self) -> list[Call]:
        calls = [c for fifo in self.customers.values() for c in fifo.drain()]
        self.customers.clear()
        return calls


class FirstComeFirstServed(_QueuedGateway):
    """Calls in the order of their arrival."""

    def make_queue(self) -> _Fifo:
        """Return an empty queue."""
        return _Fifo()


class PerCallFairness(_QueuedGateway):
    """Customers in turn, call by call."""

    def make_queue(self) -> _RoundRobin:
        """Return an empty queue."""
        return _RoundRobin()
