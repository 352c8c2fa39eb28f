"""Another writer puts an entry with unreadable bytes among those of the runners."""

import asyncio
import itertools
from pathlib import Path

from review_support import (
    Answer,
    Channel,
    Deployment,
    Record,
    Runner,
    Work,
    call_fields,
    run_case,
)

HOST = "shop.example"
ROUTE = {
    "name": "fee-charge",
    "host": HOST,
    "prefix": "/fee/",
    "type": "non_idempotent",
    "service": "catalogue-app",
    "timeout_ms": 1500,
    "latency_target_ms": 256,
    "priority": 2,
    "max_attempts": 1,
}
DOCUMENT = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "catalogue-app", "max_conns": 110}],
    "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
}
N_RUNNERS = 4
CALLERS_PER_DAEMON = 8
WORK_SECONDS = 0.3
DEADLINE_MS = 1500
THINK_SECONDS = 0.05

CALM_SECONDS = 5.0
"""Longer than `contact_ms`, so that all daemons are in touch."""

WATCHED_SECONDS = 12.0

MAX_CLOSED = 3
"""The rule allows that a machine closes so many such channels."""

UNREADABLE = b"[" * 2000
"""Bytes of the entry, far below `row_bytes` (65,536)."""

_numbers = itertools.count(1)


async def scenario(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the ways in which the rule was broken."""
    deployment = Deployment(record, DOCUMENT)
    runners = [
        Runner(
            record,
            deployment.store,
            f"i-{n}",
            "catalogue-app",
            f"khomas-{'abc'[n % 3]}",
            lambda run: Work(seconds=WORK_SECONDS, body=b"charged"),
        )
        for n in range(N_RUNNERS)
    ]
    closed: dict[str, list[str]] = {ip: [] for ip in deployment.daemons}
    callers = []
    try:
        for runner in runners:
            await runner.start()
        await deployment.start()
        callers = [
            asyncio.create_task(call_again_and_again(record, deployment, ip, closed))
            for ip in deployment.daemons
            for _ in range(CALLERS_PER_DAEMON)
        ]
        await asyncio.sleep(CALM_SECONDS)
        if trouble:
            record.add(f"another writer puts servers/i-other: {len(UNREADABLE)} bytes")
            deployment.store.rows.put("servers", "i-other", UNREADABLE)
        await asyncio.sleep(WATCHED_SECONDS)
        return judge(record, deployment, runners, closed)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for runner in runners:
            runner.stop()
        await deployment.stop()


async def call_again_and_again(record, deployment, ip, closed):
    """Send charges on a channel that is kept; open a new one where it ends."""
    channel = None
    while True:
        if channel is None:
            channel = Channel(record, ip, deployment.caller_port)
            try:
                await channel.open()
            except OSError as exc:
                record.add(f"caller finds no daemon at {ip}: {type(exc).__name__}")
                channel = None
                await asyncio.sleep(0.5)
                continue
        attempt = f"a{next(_numbers)}"
        is_kept = channel.n_answered > 0
        fields = call_fields(HOST, attempt, DEADLINE_MS)
        answer: Answer = await channel.ask("POST", "/fee/1", fields, b"amount=5")
        if is_kept and answer.status is None:
            closed[ip].append(attempt)
        if not answer.keeps_channel:
            channel.close()
            channel = None
        await asyncio.sleep(THINK_SECONDS)


def judge(record, deployment, runners, closed):
    """Return a line for each daemon that closed more channels than allowed."""
    ran = {run.attempt: run for runner in runners for run in runner.runs}
    broken = []
    for ip, attempts in closed.items():
        lost = [a for a in attempts if a in ran]
        ends = ", ".join(f"{at:.1f} s" for at in deployment.own_ends(ip))
        record.conclude(
            f"daemon {ip}: {len(lost)} requests of kept channels passed on to a sound "
            f"runner and not answered; ended by itself at {ends or 'no time'}"
        )
        if deployment.own_ends(ip):
            record.add(f"end of its log:\n{deployment.log(ip)}")
        if len(lost) > MAX_CLOSED:
            broken.append(
                f"LOST: {ip} passed {len(lost)} requests from kept channels on and "
                f"closed their channels without an answer ({', '.join(lost)})"
            )
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
