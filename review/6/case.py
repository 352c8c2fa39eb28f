"""All machines lose power; programs that had got three quarters of a budget go on."""

import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2._callers import send  # noqa: E402
from stand_ins_2._case import run_case  # noqa: E402
from stand_ins_2._hosts import ZONES, Hosts  # noqa: E402
from stand_ins_2._runners import RunnerProcess, keep_entries  # noqa: E402

N_HOSTS = 5
N_RUNNERS = 5
N_PROGRAMS = 20
SETTLE_SECONDS = 8.0
"""Time before the programs begin, in which the hosts divide their duties."""

DARK_SECONDS = 1.3
"""Time for which all machines are without power."""

RECOVERY_SECONDS = 12.0
LAST_SECONDS = 4.0
CHUNK_TOKENS = 11
TURN_TOKENS = 286
N_TURNS = 8
N_TURNS_BEFORE = 6
BUDGET = N_TURNS * TURN_TOKENS
EVENT_GAP_SECONDS = 0.01
TURN_SECONDS = 4.0
PROGRAM_SECONDS = 40.0

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
            "retained": True,
            "retention_s": 60,
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
        {"name": "club", "api_keys": ["key-club"], "rate_per_s": 200, "burst": 200}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Case:
    """The case: hosts, runners, programs under way and others that begin."""

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
        self.reached: set[str] = set()
        self.lost: list[str] = []
        self.n_others = 0
        self.n_others_served = 0
        self.recovered_at = float("inf")

    def script(self, request, runner):
        """Generate as many tokens as the turn may have."""
        self.reached.add(request.fields["swifttide-attempt-id"])
        numbers = range(1, TURN_TOKENS // CHUNK_TOKENS + 1)
        pieces = tuple(f"id: {n}\ndata: w{n}\n\n".encode() for n in numbers)
        return runner.reply(request, pieces, gap_seconds=EVENT_GAP_SECONDS)

    async def send_turn(self, program, number, previous, until):
        """Send a turn to a machine of the rotation."""
        left = max(1, int((until - time.monotonic()) * 1000))
        fields = {
            "Authorization": "Bearer key-club",
            "Swifttide-Model": "m",
            "Swifttide-Token-Usage": f"839,{TURN_TOKENS}",
            "Swifttide-Program-Id": program,
            "Swifttide-Session-Id": f"s-{program}",
            "Swifttide-Token-Budget": str(BUDGET),
            "Swifttide-Program-Deadline-Ms": str(left),
        }
        if previous:
            fields["Swifttide-Previous-Turn"] = previous
        return await send(
            self.hosts,
            random.choice(self.hosts.in_rotation()),
            self.record,
            "/pedigree/2f",
            fields,
            f"{program} turn {number};".encode(),
            TURN_SECONDS,
            f"{program}.{number}",
        )

    async def run_before(self, program, until):
        """Run the turns before the fault; return the attempt of the last one."""
        previous = ""
        for number in range(N_TURNS_BEFORE):
            out = await self.send_turn(program, number, previous, until)
            if out.status != 200 or not out.is_whole:
                raise RuntimeError(f"{program} got {out.status} before the fault")
            previous = out.attempt
        return previous

    async def go_on(self, program, previous, until):
        """Send the next turn until it reaches a runner, is ended, or time is up.

        The budget holds two more turns: all turns before have ended whole.
        """
        while time.monotonic() < self.recovered_at:
            out = await self.send_turn(program, N_TURNS_BEFORE, previous, until)
            if out.attempt in self.reached:
                return
            if out.status in (400, 401, 402, 403, 404, 413):
                break
            await asyncio.sleep(max(0.2, min(out.retry_after, TURN_SECONDS / 3)))
        self.lost.append(program)
        spent = N_TURNS_BEFORE * TURN_TOKENS
        self.record.write(
            "turn_reaches_no_runner",
            program=program,
            status=out.status,
            spent=spent,
            budget=BUDGET,
        )

    async def send_others(self):
        """Begin other programs, and count their turns in the last seconds."""
        for n in range(1_000):
            if time.monotonic() >= self.recovered_at:
                return
            out = await self.send_turn(
                f"other-{n}", 0, "", time.monotonic() + PROGRAM_SECONDS
            )
            if out.sent_at >= self.recovered_at - LAST_SECONDS:
                self.n_others += 1
                self.n_others_served += out.status == 200 and out.is_whole
            await asyncio.sleep(0.1)

    async def lose_power(self):
        """Write a configuration, and end all hosts when it is acknowledged."""
        text = json.dumps(DOCUMENT | {"version": DOCUMENT["version"] + 4}).encode()
        self.hosts.store.rows.put("op", "config", text)
        self.record.write("configuration_acknowledged")
        for ip in self.hosts.ips:
            self.hosts.signal(ip, signal.SIGKILL)
        await asyncio.sleep(DARK_SECONDS)
        for ip in self.hosts.ips:
            self.hosts.start_host(ip)

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
        programs = [f"program-{n}" for n in range(N_PROGRAMS)]
        until = time.monotonic() + PROGRAM_SECONDS
        last = await asyncio.gather(*(self.run_before(p, until) for p in programs))
        if has_trouble:
            await self.lose_power()
        self.recovered_at = time.monotonic() + RECOVERY_SECONDS
        await asyncio.gather(
            self.send_others(),
            *(
                self.go_on(p, previous, until)
                for p, previous in zip(programs, last, strict=True)
            ),
        )
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.record.write(
            "result",
            lost=len(self.lost),
            programs=N_PROGRAMS,
            others=self.n_others,
            others_served=self.n_others_served,
        )
        if self.n_others_served < 0.8 * self.n_others:
            raise RuntimeError("other turns aren't served either")
        return bool(self.lost)

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
