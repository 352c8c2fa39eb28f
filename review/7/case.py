"""A program whose budget is spent returns while the store is down."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2._callers import send  # noqa: E402
from stand_ins_2._case import run_case  # noqa: E402
from stand_ins_2._hosts import ZONES, Hosts  # noqa: E402
from stand_ins_2._runners import RunnerProcess, keep_entries  # noqa: E402

N_HOSTS = 3
N_RUNNERS = 5
N_PROGRAMS = 4
CONTACT_SECONDS = 3.0
DOWN_SECONDS = 4.4
"""The longest outage of this kind in the site file: the whole store, busy."""

RETURN_AFTER_SECONDS = 2.5
"""Time from the begin of the outage until the stopped programs return."""

CHUNK_TOKENS = 10
BUDGET = 1600
FIRST_TURN_TOKENS = 400
"""The most of the first turn, a plan; it is the most of any turn of the program."""

LATER_TURN_TOKENS = 300
EVENT_GAP_SECONDS = 0.01
TURN_SECONDS = 4.0
N_RETURNS = 3

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "pedigree",
            "host": "app.example",
            "prefix": "/pedigree/",
            "service": "agent-models",
            "type": "streaming",
            "timeout_ms": 4000,
            "latency_target_ms": 200,
            "gap_target_ms": 200,
            "max_attempts": 1,
            "priority": 0,
            "sticky": True,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "agent-models",
            "health_path": "/healthz",
            "max_conns": 160,
            "runtime": {
                "capacity": 12,
                "kv_capacity": 108066,
                "chunk_tokens": CHUNK_TOKENS,
            },
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
    """The case: hosts, runners and programs that loop until they are stopped."""

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
        self.tokens: dict[str, int] = {}
        self.n_stopped = 0

    def script(self, request, runner):
        """Generate as many tokens as the turn may have."""
        most = int(request.fields["swifttide-token-usage"].partition(",")[2])
        numbers = range(1, most // CHUNK_TOKENS + 1)
        pieces = tuple(f"id: {n}\ndata: w{n}\n\n".encode() for n in numbers)
        return runner.reply(request, pieces, gap_seconds=EVENT_GAP_SECONDS)

    async def send_turn(self, program, number, most):
        """Send a turn; count the tokens that it brought."""
        fields = {
            "Authorization": "Bearer key-club",
            "Swifttide-Model": "m",
            "Swifttide-Token-Usage": f"839,{most}",
            "Swifttide-Program-Id": program,
            "Swifttide-Session-Id": f"s-{program}",
            "Swifttide-Token-Budget": str(BUDGET),
            "Swifttide-Program-Deadline-Ms": "20000",
        }
        ips = self.hosts.in_rotation()
        out = await send(
            self.hosts,
            ips[number % len(ips)],
            self.record,
            "/pedigree/2f",
            fields,
            f"{program} turn {number}".encode(),
            TURN_SECONDS,
            f"{program}.{number}",
        )
        if out.status == 200:
            self.tokens[program] += out.body.count(b"\n\n") * CHUNK_TOKENS
        return out

    async def loop_until_stopped(self, program):
        """Run turns until the answer says that the budget is spent."""
        self.tokens[program] = 0
        for number in range(20):
            most = LATER_TURN_TOKENS if number else FIRST_TURN_TOKENS
            out = await self.send_turn(program, number, most)
            if out.status == 402:
                self.n_stopped += 1
                return
            if out.status != 200:
                await asyncio.sleep(out.retry_after)
            await asyncio.sleep(0.1)

    async def come_back(self, program):
        """Send a turn once more, and twice after an answer of 402."""
        for number in range(100, 100 + N_RETURNS):
            out = await self.send_turn(program, number, LATER_TURN_TOKENS)
            if out.status not in (200, 402):
                await asyncio.sleep(min(out.retry_after, TURN_SECONDS / 3))
            await asyncio.sleep(0.2)

    async def play(self, has_trouble):
        """Play the case; return whether the rule was broken."""
        for runner in self.runners:
            await runner.start()
        await self.hosts.start()
        background = [
            asyncio.ensure_future(self.hosts.balance()),
            asyncio.ensure_future(keep_entries(self.runners)),
        ]
        await asyncio.sleep(CONTACT_SECONDS + 3.0)
        programs = [f"program-{n}" for n in range(N_PROGRAMS)]
        await asyncio.gather(*map(self.loop_until_stopped, programs))
        if self.n_stopped < N_PROGRAMS:
            raise RuntimeError("a program wasn't stopped")
        await asyncio.sleep(1.0)
        self.record.write("all_stopped", tokens=self.tokens)
        began = time.monotonic()
        self.hosts.store.refuse = has_trouble
        self.record.write("store_down" if has_trouble else "store_stays")
        await asyncio.sleep(RETURN_AFTER_SECONDS)
        returning = [asyncio.ensure_future(self.come_back(p)) for p in programs]
        await asyncio.sleep(began + DOWN_SECONDS - time.monotonic())
        self.hosts.store.refuse = False
        self.record.write("store_back")
        await asyncio.gather(*returning)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        allowed = BUDGET + max(FIRST_TURN_TOKENS, LATER_TURN_TOKENS)
        self.record.write("result", tokens=self.tokens, budget=BUDGET, allowed=allowed)
        return any(tokens > allowed for tokens in self.tokens.values())

    async def stop(self):
        """End everything that was started."""
        for runner in self.runners:
            await runner.stop()
        await self.hosts.stop()


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
