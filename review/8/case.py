"""Configurations come in quick succession; some lack a tenant, others have it."""

import asyncio
import contextlib
import json
import random
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
N_RUNNERS = 3
N_CALLERS = 40
RATE = 20
BURST = 100
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_EXCESS = 0.1
QUOTA_EXTRA = 20

FILL_SECONDS = 10.0
"""Time without requests, in which the burst becomes available."""

BEFORE_SECONDS = 0.5
STORM_SECONDS = 4.0
STORM_GAP_SECONDS = 0.33
AFTER_SECONDS = 2.0
REQUEST_SECONDS = 1.2

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "ring-lookup",
            "host": "app.example",
            "prefix": "/ring/",
            "service": "catalogue-app",
            "type": "idempotent",
            "timeout_ms": 1200,
            "latency_target_ms": 101,
            "max_attempts": 1,
            "priority": 2,
        }
    ],
    "services": [
        {"name": "catalogue-app", "health_path": "/healthz", "max_conns": 110}
    ],
    "tenants": [
        {
            "name": "club",
            "api_keys": ["key-club"],
            "rate_per_s": RATE,
            "burst": BURST,
        },
        {"name": "press", "api_keys": ["key-press"], "rate_per_s": 9, "burst": 9},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Case:
    """The case: hosts, runners of a plain service and callers of one tenant."""

    def __init__(self, directory, record):
        self.record = record
        self.hosts = Hosts(directory, N_HOSTS, DOCUMENT, record)
        rows = self.hosts.store.rows
        self.runners = [
            RunnerProcess(
                f"r{n}", "catalogue-app", ZONES[n % 3], rows, record, self.script, 6
            )
            for n in range(N_RUNNERS)
        ]
        self.ran_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}

    def script(self, request, runner):
        """Answer at once."""
        self.ran_at[request.fields["swifttide-attempt-id"]] = time.monotonic()
        return runner.reply(request, (b"ring 7",))

    async def call(self):
        """Send requests one after the other, and come back when told so."""
        while True:
            out = await send(
                self.hosts,
                random.choice(self.hosts.in_rotation()),
                self.record,
                "/ring/7",
                {"Authorization": "Bearer key-club"},
                b"",
                REQUEST_SECONDS,
                method="GET",
            )
            self.sent_at[out.attempt] = out.sent_at
            if out.status != 200:
                left = out.sent_at + REQUEST_SECONDS - time.monotonic()
                await asyncio.sleep(max(0.1, min(out.retry_after, left / 3)))

    def write_version(self, version, has_tenant):
        """Write a version of the configuration, with or without the busy tenant."""
        tenants = [t for t in DOCUMENT["tenants"] if has_tenant or t["name"] != "club"]
        document = DOCUMENT | {"version": version, "tenants": tenants}
        text = json.dumps(document).encode()
        self.hosts.store.rows.put("op", "config", text)
        self.record.write("configuration", version=version, has_tenant=has_tenant)

    def most_in_window(self):
        """Return the most requests that were sent and ran within one window."""
        times = sorted(
            (self.sent_at[a], at) for a, at in self.ran_at.items() if a in self.sent_at
        )
        return max(
            sum(
                sent >= start and ran <= start + QUOTA_WINDOW_SECONDS
                for sent, ran in times
            )
            for start, _ in times
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
        await asyncio.sleep(FILL_SECONDS)
        self.record.write("callers_begin")
        background += [asyncio.ensure_future(self.call()) for _ in range(N_CALLERS)]
        await asyncio.sleep(BEFORE_SECONDS)
        self.record.write("ran_before", count=len(self.ran_at))
        for n in range(round(STORM_SECONDS / STORM_GAP_SECONDS / 2) * 2):
            self.write_version(4 + n, has_tenant=n % 2 == 1 or not has_trouble)
            await asyncio.sleep(STORM_GAP_SECONDS)
        await asyncio.sleep(AFTER_SECONDS)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        allowed = RATE * QUOTA_WINDOW_SECONDS + BURST
        allowed = allowed * (1 + QUOTA_EXCESS) + QUOTA_EXTRA
        most = self.most_in_window()
        self.record.write(
            "result", most=most, allowed=allowed, ran=len(self.ran_at), rate=RATE
        )
        return most > allowed

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
