"""A host is killed in the middle of a turn, and its caller resumes the stream."""

import asyncio
import contextlib
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2._callers import send  # noqa: E402
from stand_ins_2._case import run_case  # noqa: E402
from stand_ins_2._hosts import ZONES, Hosts  # noqa: E402
from stand_ins_2._runners import RunnerProcess, keep_entries  # noqa: E402

N_HOSTS = 3
N_RUNNERS = 5
N_PROGRAMS = 12
SETTLE_SECONDS = 10.0
"""Time before the programs begin: twice the time-out of their route, and more."""

KILL_AFTER_SECONDS = 0.35
"""Time after the first turns begin, in the middle of their streams."""

DOWN_SECONDS = 3.5
ANSWER_EVENTS = 12
EVENT_GAP_SECONDS = 0.06
TURN_SECONDS = 4.0

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "draft",
            "host": "app.example",
            "prefix": "/draft/",
            "service": "agent-models",
            "type": "streaming",
            "timeout_ms": 4000,
            "latency_target_ms": 200,
            "gap_target_ms": 200,
            "max_attempts": 1,
            "priority": 1,
            "sticky": True,
            "resumable": True,
            "retained": True,
            "retention_s": 60,
        }
    ],
    "services": [
        {
            "name": "agent-models",
            "health_path": "/healthz",
            "max_conns": 160,
            "runtime": {"capacity": 12, "kv_capacity": 108066, "chunk_tokens": 11},
        }
    ],
    "tenants": [
        {"name": "club", "api_keys": ["key-club"], "rate_per_s": 60, "burst": 60}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Case:
    """The case: hosts, runners and programs of two turns."""

    def __init__(self, directory, record):
        self.record = record
        self.hosts = Hosts(directory, N_HOSTS, DOCUMENT, record)
        rows = self.hosts.store.rows
        self.runners = [
            RunnerProcess(
                f"r{n}", "agent-models", ZONES[n % 3], rows, record, self.script
            )
            for n in range(N_RUNNERS)
        ]
        self.got: dict[str, bytes] = {}
        self.n_resumed = 0
        self.wrong: list[str] = []

    def script(self, request, runner):
        """Stream numbered words, from where the request says."""
        attempt = request.fields["swifttide-attempt-id"]
        self.got[attempt] = request.body
        first = int(request.fields.get("last-event-id", 0)) + 1
        pieces = tuple(
            f"id: {n}\ndata: word{n}\n\n".encode()
            for n in range(first, ANSWER_EVENTS + 1)
        )
        return runner.reply(request, pieces, gap_seconds=EVENT_GAP_SECONDS)

    async def send_turn(self, program, number, fields, body):
        """Send one attempt at a turn to a machine of the rotation."""
        head = {
            "Authorization": "Bearer key-club",
            "Swifttide-Model": "m",
            "Swifttide-Token-Usage": "1166,286",
            "Swifttide-Program-Id": program,
            "Swifttide-Session-Id": f"s-{program}",
            "Swifttide-Token-Budget": "3432",
            "Swifttide-Program-Deadline-Ms": "20000",
        }
        return await send(
            self.hosts,
            random.choice(self.hosts.in_rotation()),
            self.record,
            "/draft/2f",
            head | fields,
            body,
            TURN_SECONDS,
            f"{program}.{number}",
        )

    async def run_program(self, number):
        """Run two turns; resume the first one where its channel breaks."""
        program = f"program-{number}"
        first_input = f"entry form {number};".encode()
        out = await self.send_turn(program, 0, {}, first_input)
        events = _events(out.body)
        for _ in range(4):
            if out.is_whole and out.status == 200:
                break
            await asyncio.sleep(0.2)
            fields = {}
            if events:
                self.n_resumed += 1
                fields = {"Last-Event-Id": str(len(events))}
            out = await self.send_turn(program, 0, fields, first_input)
            if out.status == 200:
                events += _events(out.body)
        else:
            return
        expected = [f"word{n}" for n in range(1, ANSWER_EVENTS + 1)]
        if events != expected:
            raise RuntimeError(f"the caller got {events}")
        chain = first_input + "".join(f"{e}\n" for e in events).encode()
        previous = {"Swifttide-Previous-Turn": out.attempt}
        got = None
        for _ in range(4):
            second = await self.send_turn(program, 1, previous, b"next form")
            got = self.got.get(second.attempt)
            if second.status == 200:
                break
            await asyncio.sleep(0.3)
        if got is not None and got != chain + b"next form":
            self.wrong.append(program)
            self.record.write(
                "wrong_history",
                program=program,
                expected=(chain + b"next form").decode(),
                got=got.decode(),
            )

    async def play(self, has_trouble):
        """Play the case; return whether the rule was broken."""
        for runner in self.runners:
            await runner.start()
        await self.hosts.start()
        background = [
            asyncio.ensure_future(self.hosts.balance()),
            asyncio.ensure_future(keep_entries(self.runners)),
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        programs = [
            asyncio.ensure_future(self.run_program(n)) for n in range(N_PROGRAMS)
        ]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if has_trouble:
            ip = random.choice(self.hosts.ips)
            self.hosts.signal(ip, signal.SIGKILL)
            await asyncio.sleep(DOWN_SECONDS)
            self.hosts.start_host(ip)
        await asyncio.gather(*programs)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.record.write("result", resumed=self.n_resumed, wrong=len(self.wrong))
        return bool(self.wrong)

    async def stop(self):
        """End everything that was started."""
        for runner in self.runners:
            await runner.stop()
        await self.hosts.stop()


def _events(body):
    """Return the data of the whole events of an answer."""
    parts = body.split(b"\n\n")[:-1]
    return [p.partition(b"data: ")[2].decode() for p in parts]


async def play(directory, record, has_trouble):
    """Play the case once."""
    case = Case(directory, record)
    try:
        return await case.play(has_trouble)
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            await case.stop()


if __name__ == "__main__":
    run_case(play, FOLDER)
