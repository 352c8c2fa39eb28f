"""Two runners crash while they run turns whose new input is the same short text."""

import asyncio
import contextlib
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

N_HOSTS = 5
N_RUNNERS = 10
N_CRASHED = 2
"""A share of 0.2 of the service; the pages' largest is 0.231."""

RUNNER_DOWN_SECONDS = 4.5
CONTACT_SECONDS = 3.0
N_USUAL_PROGRAMS = 30
N_JUDGED_PROGRAMS = 10
ANSWER_EVENTS = 7
EVENT_GAP_SECONDS = 0.06
TURN_SECONDS = 4.0
"""Time that a requester waits for a turn."""

PROGRAM_SECONDS = 12.0
"""Aim of a program of some twelve turns."""

MIN_TRIES = 5
CONSENT = b"Yes, go on."

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "order",
            "host": "app.example",
            "prefix": "/order/",
            "service": "chat-models",
            "type": "streaming",
            "timeout_ms": 4000,
            "latency_target_ms": 200,
            "gap_target_ms": 200,
            "max_attempts": 1,
            "priority": 1,
            "sticky": True,
            "retained": True,
            "retention_s": 60,
        }
    ],
    "services": [
        {
            "name": "chat-models",
            "health_path": "/healthz",
            "max_conns": 150,
            "runtime": {"capacity": 12, "kv_capacity": 161415, "chunk_tokens": 11},
        }
    ],
    "tenants": [
        {"name": "shop", "api_keys": ["key-shop"], "rate_per_s": 200, "burst": 200}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Case:
    """The case: hosts, runners and programs of one tenant."""

    def __init__(self, directory, record):
        self.record = record
        self.hosts = Hosts(directory, N_HOSTS, DOCUMENT, record)
        rows = self.hosts.store.rows
        self.runners = [
            RunnerProcess(
                f"r{n}", "chat-models", ZONES[n % 3], rows, record, self.script
            )
            for n in range(N_RUNNERS)
        ]
        self.reached = set()
        self.consents: dict[str, float] = {}
        self.lost_turns = []
        self.n_first = 0
        self.n_first_reached = 0
        self.n_turns = 0
        self.most_running = 0

    def script(self, request, runner):
        """Stream an answer; remember where a consent began to run."""
        self.reached.add(request.fields["swifttide-attempt-id"])
        if request.body.endswith(CONSENT):
            self.consents[runner.name] = time.monotonic()
        now = time.monotonic()
        duration = ANSWER_EVENTS * EVENT_GAP_SECONDS
        running = sum(
            now - at < duration for r in self.runners for at, _ in r.ran[-12:]
        )
        self.most_running = max(self.most_running, running)
        pieces = tuple(
            f"id: {n}\ndata: word{n}\n\n".encode() for n in range(1, ANSWER_EVENTS + 1)
        )
        return runner.reply(request, pieces, gap_seconds=EVENT_GAP_SECONDS)

    async def send_turn(self, program, number, previous, body, until):
        """Send one attempt at a turn to a machine of the rotation."""
        fields = {
            "Authorization": "Bearer key-shop",
            "Swifttide-Model": "m",
            "Swifttide-Token-Usage": "1166,286",
            "Swifttide-Program-Id": program,
            "Swifttide-Session-Id": f"s-{program}",
            "Swifttide-Token-Budget": "3432",
            "Swifttide-Program-Deadline-Ms": str(
                max(1, int((until - time.monotonic()) * 1000))
            ),
        }
        if previous:
            fields["Swifttide-Previous-Turn"] = previous
        ip = random.choice(self.hosts.in_rotation())
        return await send(
            self.hosts,
            ip,
            self.record,
            "/order/2f",
            fields,
            body,
            TURN_SECONDS,
            f"{program}.{number}",
        )

    async def run_usual(self, number):
        """Run programs one after the other; a turn that fails ends its program."""
        for n in range(1_000):
            program = f"usual-{number}-{n}"
            until = time.monotonic() + PROGRAM_SECONDS
            previous = ""
            for turn in range(4):
                body = CONSENT if turn else f"order {program}".encode()
                out = await self.send_turn(program, turn, previous, body, until)
                if not (out.status == 200 and out.is_whole):
                    break
                previous = out.attempt
                await asyncio.sleep(0.1)

    async def run_judged(self, number):
        """Run a program of two turns as requesters do, and judge its second turn."""
        program = f"judged-{number}"
        until = time.monotonic() + PROGRAM_SECONDS
        self.n_first += 1
        first = await self.send_turn(program, 0, "", f"order {program}".encode(), until)
        self.n_first_reached += first.attempt in self.reached
        if not (first.status == 200 and first.is_whole):
            return
        self.n_turns += 1
        n_tries = 0
        for _ in range(3):
            for retry in range(2):
                ip_in_touch = all(map(self.hosts.is_in_touch, self.hosts.ips))
                out = await self.send_turn(program, 1, first.attempt, CONSENT, until)
                if out.attempt in self.reached:
                    return
                n_tries += ip_in_touch and out.sent_at < until
                if not retry:
                    left = out.sent_at + TURN_SECONDS - time.monotonic()
                    await asyncio.sleep(max(0.0, min(out.retry_after, left / 3)))
            await asyncio.sleep(random.uniform(0.1, 0.4))
        if n_tries >= MIN_TRIES:
            self.lost_turns.append(program)
            self.record.write("turn_reaches_no_runner", program=program, tries=n_tries)

    async def crash_two(self):
        """Crash two runners that run a consent now."""
        while True:
            now = time.monotonic()
            busy = [
                r
                for r in self.runners
                if now - self.consents.get(r.name, 0.0) < EVENT_GAP_SECONDS * 3
            ]
            if len(busy) >= N_CRASHED:
                crashes = (r.crash(RUNNER_DOWN_SECONDS) for r in busy[:N_CRASHED])
                await asyncio.gather(*crashes)
                return
            await asyncio.sleep(0.01)

    async def play(self, has_trouble):
        """Play the case; return whether the rule was broken."""
        for runner in self.runners:
            await runner.start()
        await self.hosts.start()
        background = [
            asyncio.ensure_future(self.hosts.balance()),
            asyncio.ensure_future(keep_entries(self.runners)),
        ]
        await asyncio.sleep(CONTACT_SECONDS)
        usual = [
            asyncio.ensure_future(self.run_usual(n)) for n in range(N_USUAL_PROGRAMS)
        ]
        await asyncio.sleep(4.0)
        if has_trouble:
            await self.crash_two()
        else:
            await asyncio.sleep(RUNNER_DOWN_SECONDS)
        for task in usual:
            task.cancel()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        self.record.write("judged_programs_begin")
        async with asyncio.timeout(40.0):
            await asyncio.gather(
                *(self.run_judged(n) for n in range(N_JUDGED_PROGRAMS))
            )
        for task in background:
            task.cancel()
        await asyncio.gather(*background, *usual, return_exceptions=True)
        capacity = sum(r.capacity for r in self.runners)
        self.record.write(
            "result",
            lost_turns=len(self.lost_turns),
            turns=self.n_turns,
            first_turns=self.n_first,
            first_turns_reached=self.n_first_reached,
            most_running=self.most_running,
            capacity=capacity,
        )
        if self.n_first_reached < 0.9 * self.n_first:
            raise RuntimeError("first turns reach no runner either")
        if self.most_running * 2 >= capacity:
            raise RuntimeError("the runners are half full")
        return bool(self.lost_turns)

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
