"""A daemon that stops takes a turn on a kept channel, and cuts it off."""

import asyncio
import itertools
import signal
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
    "name": "pedigree-check",
    "host": HOST,
    "prefix": "/pedigree/",
    "type": "streaming",
    "service": "agent-models",
    "timeout_ms": 4000,
    "latency_target_ms": 200,
    "gap_target_ms": 200,
    "priority": 0,
    "max_attempts": 1,
    "sticky": True,
}
DOCUMENT = {
    "version": 1,
    "routes": [ROUTE],
    "services": [
        {
            "name": "agent-models",
            "max_conns": 160,
            "runtime": {"chunk_tokens": 11, "capacity": 12},
        }
    ],
    "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
}
DEADLINE_MS = 4000
SHORT_GAP_SECONDS = 0.05
LONG_GAP_SECONDS = 0.14
"""Pause between the events of a long turn; the sheet allows 200 ms."""

N_CALLERS = 4
GRACE_SECONDS = 8.0

CALM_SECONDS = 4.0
"""Longer than `contact_ms`, so that the daemon is in touch."""

LONG_EVENTS = 26
"""Events of a long turn, as many as the longest of the site has. It lasts 3.64 s, less
than its deadline and the time-out of its route."""

SHORT_EVENTS = 2

UNDER_WAY_SECONDS = 0.1
"""Time before the SIGTERM at which the last caller's long turn begins."""

CALLER_SPACING_SECONDS = 0.04
"""Time between the callers; programs aren't in step."""

THINK_SECONDS = 0.06
"""Pause of a program between the end of a turn and its next one."""

LATE_SECONDS = 3.0
"""Requests sent later than this after the SIGTERM may not be cut, whenever it is."""

LAST_SIXTH = GRACE_SECONDS * 5 / 6

_numbers = itertools.count(1)


async def scenario(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the ways in which the rule was broken."""
    deployment = Deployment(record, DOCUMENT)
    runners = [
        Runner(
            record,
            deployment.store,
            f"i-{zone}",
            "agent-models",
            f"khomas-{zone}",
            work,
        )
        for zone in "abc"
    ]
    turns: list[tuple[float, str, Answer]] = []
    try:
        for runner in runners:
            await runner.start()
        await deployment.start()
        stopped = deployment.daemons[0]
        under_way = asyncio.Barrier(N_CALLERS + 1)
        callers = [
            asyncio.create_task(
                run_program(record, deployment, stopped, turns, n, under_way)
            )
            for n in range(N_CALLERS)
        ]
        await under_way.wait()
        sigterm_at = record.seconds()
        if trouble:
            process = deployment.signal(stopped, signal.SIGTERM)
        await asyncio.gather(*callers)
        if trouble:
            ended = asyncio.to_thread(process.wait)
            await asyncio.wait_for(ended, GRACE_SECONDS)
            record.add(f"daemon {stopped} has ended")
        return judge(record, runners, turns, sigterm_at)
    finally:
        for runner in runners:
            runner.stop()
        await deployment.stop()


def work(run):
    """Return the work of a turn; the first part of its body says how many events."""
    count = int(run.body.split()[0])
    seconds = SHORT_GAP_SECONDS if count == SHORT_EVENTS else LONG_GAP_SECONDS
    events = (f"id: {n}\ndata: d{n}\n\n".encode() for n in range(1, count + 1))
    return Work(seconds=seconds, events=tuple(events))


async def run_program(record, deployment, ip, turns, number, under_way):
    """Run three turns on one channel: a short one, and two long ones."""
    channel = Channel(record, ip, deployment.caller_port)
    await channel.open()
    await take_turn(record, channel, SHORT_EVENTS, turns)
    await asyncio.sleep(CALM_SECONDS + number * CALLER_SPACING_SECONDS)
    turn = asyncio.create_task(take_turn(record, channel, LONG_EVENTS, turns))
    await asyncio.sleep(UNDER_WAY_SECONDS)
    await under_way.wait()
    answer = await turn
    if answer.keeps_channel:
        await asyncio.sleep(THINK_SECONDS)
        await take_turn(record, channel, LONG_EVENTS, turns)
    else:
        record.add(f"channel {channel.name} may not be used again")
    channel.close()


async def take_turn(record, channel, n_events, turns):
    """Send a turn and keep its time and its answer."""
    attempt = f"a{next(_numbers)}"
    fields = call_fields(HOST, attempt, DEADLINE_MS)
    sent_at = record.seconds()
    body = f"{n_events} events please".encode()
    answer = await channel.ask("POST", "/pedigree/1", fields, body)
    turns.append((sent_at, attempt, answer))
    return answer


def judge(record, runners, turns, sigterm_at):
    """Return a line for each turn that was passed on and cut by the stop."""
    ran = {run.attempt: run for runner in runners for run in runner.runs}
    broken = []
    for sent_at, attempt, answer in turns:
        run = ran.get(attempt)
        if answer.complete or run is None or run.end in ("deadline", "crash"):
            continue
        sent = sent_at - sigterm_at
        cut = answer.ended_at - sigterm_at
        excused = sent <= LATE_SECONDS and cut >= LAST_SIXTH
        record.conclude(
            f"{attempt}: sent {sent:.2f} s after the SIGTERM on a kept channel, run by "
            f"a runner, cut {cut:.2f} s after the SIGTERM with {len(answer.events)} "
            f"events; its deadline was {sent + DEADLINE_MS / 1000:.2f} s after it"
            f"{' (excused)' if excused else ''}"
        )
        if not excused and cut < sent + DEADLINE_MS / 1000:
            broken.append(
                f"LOST: {attempt} was read and passed on by a daemon that stops, and "
                "its channel ended without a complete answer"
            )
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
