"""Small fake of a model engine at the interface: batch, prefix cache, late load.

It admits requests as they arrive, in their order, while batch and memory have room;
computes one prompt at a time; shares its speed at output among the batch; keeps the
context of ended calls as a prefix until memory is needed, oldest use first.
"""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

from benchmarks.call import Call
from benchmarks.simulation import Simulation
from benchmarks.site import EngineSpec
from swifttide_core.admission import LoadReport

REPORT_SECONDS = 1.0
"""Time between load reports."""

REPORT_LAG = 2
"""Reports by which the engine's answer is behind."""

DEAD_SECONDS = 0.2
"""Time until a call to a dead engine fails."""


class FakeEngine:
    """One model engine.

    Parameters
    ----------
    sim : Simulation
        Clock.
    name, zone : str
        Id and availability zone.
    spec : EngineSpec
        Speed and memory.
    on_done, on_failed : callable
        Called with a call that ended or was lost.
    on_evicted : callable
        Called with (agent, tokens) when a cached prefix goes.
    """

    is_service = False

    def __init__(
        self,
        sim: Simulation,
        name: str,
        zone: str,
        spec: EngineSpec,
        on_done: Callable[[Call], None],
        on_failed: Callable[[Call], None],
        on_evicted: Callable[[str, int], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.spec = spec
        self.alive = True
        self.leaving = False
        self.speed = 1.0
        self.back_since = float("-inf")
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.running_tokens = 0
        self.prefill_backlog = 0.0
        self.computed_tokens = 0.0
        self.turnover = 0.0
        self._sim = sim
        self._on_done = on_done
        self._on_failed = on_failed
        self._on_evicted = on_evicted
        self._sequence = itertools.count()
        self._waiting: deque[Call] = deque()
        self._prefills: deque[Call] = deque()
        self._prefill_event = None
        self._decoding: list[tuple[float, int, Call]] = []
        self._decoding_calls: dict[str, Call] = {}
        self._numbers: dict[str, int] = {}
        self._decode_event = None
        self._virtual = 0.0
        self._virtual_at = 0.0
        self._reports: deque[LoadReport] = deque(maxlen=REPORT_LAG + 1)

    @property
    def n_running(self) -> int:
        """Calls in the batch, those whose prompt is computed included."""
        return len(self._prefills) + len(self._decoding_calls)

    @property
    def n_waiting(self) -> int:
        """Calls that were taken in and are not in the batch yet."""
        return len(self._waiting)

    def load_report(self) -> LoadReport | None:
        """Return the newest report that has come out, some seconds old."""
        if len(self._reports) <= REPORT_LAG:
            return None
        return self._reports[0]

    def sample(self) -> None:
        """Take the next load report; called once a period."""
        report = LoadReport(
            self._sim.now, self.n_running, self.n_waiting, self.spec.cache_tokens
        )
        self._reports.append(report)
        self.turnover *= 0.9

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
        self._admit()

    def cancel(self, call: Call) -> None:
        """Stop a call; what was computed of its prompt is lost."""
        match call.state:
            case "waiting":
                self._waiting.remove(call)
            case "prefill":
                self._cancel_prefill(call)
            case "decode":
                self._advance()
                del self._decoding_calls[call.call_id]
                self.running_tokens -= _context(call)
        call.state = "cancelled"
        if self.alive:
            self._admit()
            self._schedule_decode()

    def release_cache(self, agent: str) -> int:
        """Free a prefix on order; return its length."""
        tokens = self.cache.pop(agent, 0)
        self.cached_tokens -= tokens
        if tokens:
            self._on_evicted(agent, tokens)
            self._admit()
        return tokens

    def fail(self) -> None:
        """Crash: running calls and cache are lost."""
        self.alive = False
        lost = [*self._waiting, *self._prefills, *self._decoding_calls.values()]
        for agent, tokens in self.cache.items():
            self._on_evicted(agent, tokens)
        self.cache.clear()
        self._waiting.clear()
        self._prefills.clear()
        self._decoding.clear()
        self._decoding_calls.clear()
        self._reports.clear()
        self.cached_tokens = 0
        self.running_tokens = 0
        self.prefill_backlog = 0.0
        if self._prefill_event:
            self._prefill_event.cancel()
            self._prefill_event = None
        for call in lost:
            call.state = "failing"
            self._sim.after(DEAD_SECONDS, lambda call=call: self._on_failed(call))

    def recover(self) -> None:
        """Come back with an empty cache."""
        self.alive = True
        self.back_since = self._sim.now

    def set_speed(self, speed: float) -> None:
        """Change the speed; a prompt under way ends as it was going to."""
        self._advance()
        self.speed = speed
        self._schedule_decode()

    def token_gap(self, n_running: int) -> float:
        """Return the time between tokens at a batch size."""
        gap = self.spec.gap_base_seconds + n_running * self.spec.gap_per_call_seconds
        return gap / self.speed

    def usable_prefix(self, call: Call) -> int:
        """Return how many tokens of the call's prompt are cached here."""
        own = self.cache.get(call.agent, 0)
        shared = 0
        if call.parent in self.cache:
            shared = min(call.shared_tokens, self.cache[call.parent])
        return min(call.prompt_tokens, max(own, shared))

    def fits(self, call: Call) -> bool:
        """Return whether batch and memory have room beside the running calls."""
        room = self.spec.cache_tokens - self.running_tokens
        return self.n_running < self.spec.max_batch and _context(call) <= room

    def _admit(self) -> None:
        while self._waiting and self.fits(self._waiting[0]):
            call = self._waiting.popleft()
            cached = self.usable_prefix(call)
            imported = max(0, call.exported_tokens - cached)
            call.uncached_tokens = call.prompt_tokens - cached - imported
            self.cached_tokens -= self.cache.pop(call.agent, 0)
            if call.parent in self.cache:
                self.cache.move_to_end(call.parent)
            self.running_tokens += _context(call)
            self._evict()
            call.state = "prefill"
            seconds = call.uncached_tokens / self.spec.prefill_tokens_per_second
            seconds += imported / self.spec.import_tokens_per_second
            call.finish_at = seconds
            self.prefill_backlog += seconds
            self._prefills.append(call)
            self.turnover += call.uncached_tokens + call.output_tokens
        self._start_prefill()

    def _evict(self) -> None:
        capacity = self.spec.cache_tokens
        while self.cache and self.running_tokens + self.cached_tokens > capacity:
            agent, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens
            self._on_evicted(agent, tokens)

    def _start_prefill(self) -> None:
        if self._prefill_event is not None or not self._prefills:
            return
        self._advance()
        seconds = self._prefills[0].finish_at / self.speed
        self._prefill_event = self._sim.after(seconds, self._end_prefill)
        self._schedule_decode()

    def _end_prefill(self) -> None:
        self._advance()
        self._prefill_event = None
        call = self._prefills.popleft()
        self.prefill_backlog -= call.finish_at
        self.computed_tokens += call.uncached_tokens
        call.first_token_at = self._sim.now
        call.state = "decode"
        call.finish_at = self._virtual + call.output_tokens
        number = next(self._sequence)
        heapq.heappush(self._decoding, (call.finish_at, number, call))
        self._decoding_calls[call.call_id] = call
        self._numbers[call.call_id] = number
        self._start_prefill()
        self._schedule_decode()

    def _cancel_prefill(self, call: Call) -> None:
        self._advance()
        first = self._prefills[0] is call
        self._prefills.remove(call)
        self.prefill_backlog -= call.finish_at
        self.running_tokens -= _context(call)
        if first and self._prefill_event:
            self._prefill_event.cancel()
            self._prefill_event = None
            self._start_prefill()

    def _rate(self) -> float:
        rate = 1.0 / self.token_gap(max(1, len(self._decoding_calls)))
        if self._prefill_event is not None:
            rate *= self.spec.prefill_slowdown
        return rate

    def _advance(self) -> None:
        elapsed = self._sim.now - self._virtual_at
        if self._decoding_calls and elapsed > 0:
            self._virtual += elapsed * self._rate()
        self._virtual_at = self._sim.now

    def _schedule_decode(self) -> None:
        self._advance()
        if self._decode_event is not None:
            self._decode_event.cancel()
            self._decode_event = None
        while self._decoding and not self._is_current(self._decoding[0]):
            heapq.heappop(self._decoding)
        if not self._decoding:
            return
        remaining = max(0.0, self._decoding[0][0] - self._virtual)
        self._decode_event = self._sim.after(remaining / self._rate(), self._end_decode)

    def _end_decode(self) -> None:
        self._advance()
        self._decode_event = None
        ended = []
        while self._decoding and self._decoding[0][0] <= self._virtual + 1e-6:
            entry = heapq.heappop(self._decoding)
            if self._is_current(entry):
                ended.append(entry[2])
        for call in ended:
            self._end_call(call)
        self._admit()
        self._schedule_decode()
        for call in ended:
            self._on_done(call)

    def _is_current(self, entry: tuple[float, int, Call]) -> bool:
        # A call that was cut and sent again may run here or elsewhere; its old entry
        # must not end it.
        call_id = entry[2].call_id
        running = call_id in self._decoding_calls
        return running and self._numbers.get(call_id) == entry[1]

    def _end_call(self, call: Call) -> None:
        del self._decoding_calls[call.call_id]
        del self._numbers[call.call_id]
        call.state = "done"
        tokens = _context(call)
        self.running_tokens -= tokens
        self.computed_tokens += call.output_tokens
        self.cached_tokens += tokens - self.cache.pop(call.agent, 0)
        self.cache[call.agent] = tokens
        self._evict()


def _context(call: Call) -> int:
    return call.prompt_tokens + call.output_tokens
