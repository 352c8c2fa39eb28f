"""Simulated engines and callers' channels, which replace connections in tests."""

import asyncio

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.targets._target_answer import (
    AnswerHead,
    NotRun,
    TargetFailure,
)

SERVICE = "models"
ENGINE_CONCURRENCY = 12
"""Turns that an engine runs at once. As many may wait; further ones are refused."""

TURN_SECONDS = 0.25
N_EVENTS = 2


class Engine:
    """Runs a limited number of turns in order of arrival, with a bounded queue."""

    def __init__(self, number: int):
        self.entry = TargetEntry(
            f"engine-{number}",
            SERVICE,
            f"10.9.0.{number}",
            1,
            "zone-a",
            ENGINE_CONCURRENCY,
        )
        self.slots = asyncio.Semaphore(ENGINE_CONCURRENCY)
        self.opened_at = 0.0
        self.n_waiting = 0
        self.started_attempts: list[str] = []
        """Ids of the attempts that the engine began to run."""
        self.arrival_times: list[float] = []
        """Time of arrival of each request."""

    async def begin(self, attempt: str) -> None:
        """Wait for a free slot; raises `TargetFailure` if the queue is full."""
        self.arrival_times.append(asyncio.get_running_loop().time())
        if self.slots.locked() and self.n_waiting >= ENGINE_CONCURRENCY:
            raise TargetFailure(NotRun("refused with 503"))
        self.n_waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.n_waiting -= 1
        self.started_attempts.append(attempt)


class EngineExchange:
    """One turn at an engine, with the interface of `TargetExchange`."""

    def __init__(self, engine: Engine):
        self.target = engine.entry
        self.head = AnswerHead(200, (), stamp=b"mark")
        self.complete = False
        self._engine = engine
        self._left = N_EVENTS

    async def read_piece(self) -> bytes | None:
        """Return the next event, None at the end."""
        if not self._left:
            self._end()
            return None
        await asyncio.sleep(TURN_SECONDS / N_EVENTS)
        self._left -= 1
        number = N_EVENTS - self._left
        return f"id: {number}\ndata: x\n\n".encode()

    def cancel(self) -> None:
        """Free the slot."""
        self._end()

    def _end(self):
        if not self.complete:
            self.complete = True
            self._engine.slots.release()


class EngineClient:
    """Sends turns to engines, with the interface of `TargetClient`."""

    def __init__(self, engines: dict[str, Engine]):
        self._engines = engines

    def check_end(self, target: TargetEntry) -> None:
        pass

    def is_connected(self, target: TargetEntry) -> bool:
        return True

    async def connect(self, target: TargetEntry, *_) -> Engine:
        return self._engines[target.id]

    async def send(self, engine, target, attempt, *_) -> EngineExchange:
        await engine.begin(attempt)
        return EngineExchange(engine)


class FakeFields:
    """Produces the header fields; only that of refusals has a content."""

    def target_fields(self, *_):
        return []

    def answer_fields(self, _):
        return []

    def refusal_fields(self, _, retry_after):
        return [(b"retry", str(retry_after).encode())]


class FakeChannel:
    """Records the answer that one caller gets."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.retry_after = None
        self.reason = ""
        self.is_whole = False

    async def start(self, status, fields, length):
        self.started, self.status = True, status

    async def write(self, piece):
        """Discard a chunk of the answer."""

    async def finish(self):
        self.is_whole = True

    async def answer(self, status, fields, body):
        self.status, self.reason = status, body.decode()
        text = dict(fields).get(b"retry", b"None")
        self.retry_after = None if text == b"None" else float(text)

    def abort(self):
        self.is_whole = False
