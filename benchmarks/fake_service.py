"""Small fake of a plain service: a number of workers and a queue."""

from collections import deque
from collections.abc import Callable

from benchmarks.call import Call
from benchmarks.fake_engine import DEAD_SECONDS
from benchmarks.simulation import Simulation

N_WORKERS = 12
"""Calls that a service works on at once."""


class FakeService:
    """One plain service.

    Parameters
    ----------
    sim : Simulation
        Clock.
    name, zone : str
        Id and availability zone.
    on_done, on_failed : callable
        Called with a call that ended or was lost.
    """

    is_service = True

    def __init__(
        self,
        sim: Simulation,
        name: str,
        zone: str,
        on_done: Callable[[Call], None],
        on_failed: Callable[[Call], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.leaving = False
        self.back_since = float("-inf")
        self._sim = sim
        self._on_done = on_done
        self._on_failed = on_failed
        self._waiting: deque[Call] = deque()
        self._running: dict[str, Call] = {}

    @property
    def n_running(self) -> int:
        """Calls at work."""
        return len(self._running)

    def submit(self, call: Call) -> None:
        """Take a call in."""
        call.target = self
        call.started_at = self._sim.now
        if not self.alive:
            call.state = "failing"
            self._sim.after(DEAD_SECONDS, lambda: self._on_failed(call))
            return
        call.state = "waiting"
        self._waiting.append(call)
        self._start()

    def cancel(self, call: Call) -> None:
        """Forget a call; one at work still takes its worker's time."""
        if call.state == "waiting":
            self._waiting.remove(call)
        call.state = "cancelled"

    def fail(self) -> None:
        """Crash: all calls are lost."""
        self.alive = False
        lost = [*self._waiting, *self._running.values()]
        self._waiting.clear()
        self._running.clear()
        for call in lost:
            if call.state != "cancelled":
                call.state = "failing"
                self._sim.after(DEAD_SECONDS, lambda call=call: self._on_failed(call))

    def recover(self) -> None:
        """Come back."""
        self.alive = True
        self.back_since = self._sim.now

    def _start(self) -> None:
        while self._waiting and len(self._running) < N_WORKERS:
            call = self._waiting.popleft()
            call.state = "running"
            call.first_token_at = self._sim.now
            self._running[call.call_id] = call
            self._sim.after(call.service_seconds, lambda call=call: self._end(call))

    def _end(self, call: Call) -> None:
        if self._running.get(call.call_id) is not call:
            return
        del self._running[call.call_id]
        if call.state == "running":
            call.state = "done"
            self._on_done(call)
        self._start()
