"""A request that crashes runners comes again while the hosts are replaced in turn."""

import asyncio
import contextlib
import itertools
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
N_CALLERS = 4

CRASHING_BODY = b"catalogue entry that no engine survives"
RUNNER_DOWN_SECONDS = 2.0
RETURN_SECONDS = 1.0
"""Pause after which the crashing request comes again, at the next machine."""

BEFORE_SECONDS = 12.0
ROLL_GAP_SECONDS = 8.0
"""Pause after a host is ready and before the next one is stopped."""

AFTER_SECONDS = 6.0
CONTACT_SECONDS = 3.0
MAX_RETRIES = 3

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "listing",
            "host": "app.example",
            "prefix": "/listing/",
            "service": "agent-models",
            "type": "streaming",
            "timeout_ms": 4000,
            "latency_target_ms": 200,
            "gap_target_ms": 200,
            "max_attempts": 1,
            "priority": 1,
            "sticky": True,
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

FIELDS = {
    "Authorization": "Bearer key-club",
    "Swifttide-Model": "m",
    "Swifttide-Token-Usage": "1166,80",
}


class Case:
    """The case: hosts, runners, the crashing request and usual requests beside it."""

    def __init__(self, directory, record):
        self.record = record
        self.hosts = Hosts(directory, N_HOSTS, DOCUMENT, record)
        rows = self.hosts.store.rows
        self.runners = [
            RunnerProcess(
                f"r{n}",
                "agent-models",
                ZONES[n % len(ZONES)],
                rows,
                record,
                self.script,
            )
            for n in range(N_RUNNERS)
        ]
        self.crashes = []
        self.retries = []
        self.n_cut = 0
        self.n_whole = 0
        self._sent_from = {}
        self._tasks = set()

    def script(self, request, runner):
        """Crash on the crashing request, and stream an answer to any other."""
        if request.body == CRASHING_BODY:
            self._note_crash(request.fields["swifttide-attempt-id"])
            task = asyncio.ensure_future(runner.crash(RUNNER_DOWN_SECONDS))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return None
        pieces = tuple(f"id: {n}\ndata: d{n}\n\n".encode() for n in range(1, 8))
        return runner.reply(request, pieces, gap_seconds=0.04)

    def _note_crash(self, attempt):
        now = time.monotonic()
        if len(self.crashes) >= 3 and now - self.crashes[2] > CONTACT_SECONDS:
            self.retries.append(attempt)
        self.crashes.append(now)

    async def send_crashing(self):
        """Send the crashing request again and again, at one machine after the other."""
        for n in itertools.count():
            ips = self.hosts.in_rotation()
            ip = ips[n % len(ips)]
            is_in_touch = self.hosts.is_in_touch(ip)
            out = await send(
                self.hosts, ip, self.record, "/listing/1", FIELDS, CRASHING_BODY, 4.0
            )
            if out.attempt in self.retries and not is_in_touch:
                self.retries.remove(out.attempt)
            await asyncio.sleep(RETURN_SECONDS)

    async def send_usual(self, number):
        """Send usual requests, and count how many of their answers are cut."""
        for n in itertools.count():
            ips = self.hosts.in_rotation()
            body = f"entry form {number}-{n}".encode()
            out = await send(
                self.hosts,
                ips[(number + n) % len(ips)],
                self.record,
                f"/listing/{number}",
                FIELDS,
                body,
                4.0,
            )
            if out.status == 200:
                self.n_whole += out.is_whole
                self.n_cut += not out.is_whole
            await asyncio.sleep(0.1)

    async def play(self, has_trouble):
        """Play the case; return whether the rule was broken."""
        for runner in self.runners:
            await runner.start()
        await self.hosts.start()
        background = [
            asyncio.ensure_future(self.hosts.balance()),
            asyncio.ensure_future(keep_entries(self.runners)),
            *(asyncio.ensure_future(self.send_usual(n)) for n in range(N_CALLERS)),
        ]
        await asyncio.sleep(CONTACT_SECONDS)
        background.append(asyncio.ensure_future(self.send_crashing()))
        await asyncio.sleep(BEFORE_SECONDS)
        self.record.write("before_roll", crashes=len(self.crashes))
        for ip in self.hosts.ips:
            if has_trouble:
                await self.hosts.replace_process(ip)
            await asyncio.sleep(ROLL_GAP_SECONDS)
        await asyncio.sleep(AFTER_SECONDS)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.record.write(
            "result",
            crashes=len(self.crashes),
            retries_after_third=len(self.retries),
            allowed=MAX_RETRIES,
            usual_whole=self.n_whole,
            usual_cut=self.n_cut,
        )
        return len(self.retries) > MAX_RETRIES

    async def stop(self):
        """End everything that was started."""
        for task in list(self._tasks):
            task.cancel()
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
