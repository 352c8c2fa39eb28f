"""A fleet of real processes, its documents, and callers who remember what they got."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import urllib3

from swifttide_core.slots import SlotKind, ranked_zones, slot_of
from swifttide_standins.engine import expected_text
from swifttide_standins.launcher import (
    Fleet,
    FleetPlan,
    Launcher,
    ManagedProcess,
    hash_key,
)

PROFILE = "night"
CUSTOMER = "club"
KEY = "club-key"
PATIENCE_SECONDS = 60.0
"""Generous: a condition that isn't met by then won't be met."""

POLL_SECONDS = 0.1
CALL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; `status` 0 when the connection broke."""

    status: int
    verdict: str = ""
    reason: str = ""
    text: str = ""
    retry_after: str = ""
    raw: bytes = b""


BROKEN = Answer(0, verdict="may_have_run", reason="broken")


class World:
    """Processes, and what a caller does with them."""

    def __init__(self, launcher: Launcher, **plan: object) -> None:
        self.fleet = Fleet.start(launcher, FleetPlan(**plan))
        self.pool = urllib3.PoolManager(retries=False, maxsize=64)
        put = self.fleet.operator.put
        put("customer", CUSTOMER, customer(1000))
        self.grant(KEY)
        put("profile", PROFILE, profile())
        self.until(lambda: all(self.serves(host) for host in self.hosts))

    @property
    def hosts(self) -> list[str]:
        """Names of the hosts whose processes run."""
        # A copy: load threads ask while the test starts hosts.
        hosts = list(self.fleet.hosts.items())
        return [n for n, host in hosts if host.process.alive]

    def serves(self, host: str) -> bool:
        """Return whether a host answers a chat call."""
        return self.chat(host, None, None, "hello", wait=5.0).status == 200

    def grant(self, key: str, withdrawn: bool = False) -> None:
        """Grant or withdraw a key of the customer."""
        document = {"key_hash": hash_key(key), "customer": CUSTOMER}
        document["withdrawn"] = withdrawn
        self.fleet.operator.put("key", hash_key(key), document)

    def put_profile(self, **changes: object) -> None:
        """Change the profile."""
        self.fleet.operator.put("profile", PROFILE, {**profile(), **changes})

    def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + PATIENCE_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "the condition was never met"
            time.sleep(POLL_SECONDS)

    def send(
        self,
        host: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        wait: float = CALL_SECONDS,
    ) -> Answer:
        """Send one request and read the whole answer."""
        base = {
            "Authorization": f"Bearer {KEY}",
            "Swifttide-Profile": PROFILE,
            "Content-Type": "application/json",
        }
        url = self.fleet.hosts[host].url + path
        try:
            got = self.pool.request(
                method,
                url,
                body=body,
                headers={**base, **(headers or {})},
                timeout=wait,
            )
        except urllib3.exceptions.HTTPError:
            return BROKEN
        return _answer(got)

    def chat(
        self,
        host: str,
        program: str | None,
        turn: int | None,
        text: str,
        wait: float = CALL_SECONDS,
        **headers: str,
    ) -> Answer:
        """Send one turn."""
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        if program:
            named["Swifttide-Program"] = program
        if turn:
            named["Swifttide-Turn"] = str(turn)
        body = {"messages": [{"role": "user", "content": text}], "max_tokens": 8}
        data = json.dumps(body).encode()
        return self.send(host, "/v1/chat/completions", data, named, wait=wait)

    def pay(
        self, host: str, key: str, text: str = "pay", wait: float = CALL_SECONDS
    ) -> Answer:
        """Send a call that may not be repeated."""
        headers = {"Idempotency-Key": key, "Swifttide-Program": f"p-{key}"}
        path = "/v1/services/billing/charge"
        body = json.dumps({"what": text}).encode()
        return self.send(host, path, body, headers, wait=wait)

    def effects(self, key: str) -> int:
        """Return how often the service ran a call."""
        counters = self.fleet.counters(self.fleet.services["billing"])
        return counters["effects"].get(key, 0)

    def fault_service(self, mode: str, **options: object) -> None:
        """Set the fault of the plain service."""
        self.fleet.fault(self.fleet.services["billing"], mode=mode, **options)

    def fault_engines(self, mode: str, **options: object) -> None:
        """Set the fault of every engine that lives."""
        for engine in self.fleet.engines.values():
            if engine.process.alive:
                self.fleet.fault(engine, mode=mode, **options)

    def fault_platform(self, mode: str, seconds: float = 0.0, **who: str) -> None:
        """Set the fault of the platform; `seconds` is how slow it is."""
        self.fleet.fault(self.fleet.platform, mode=mode, seconds=seconds, **who)

    def slots_rest(self) -> bool:
        """Return whether slots have stopped moving between hosts."""
        before = self.slot_rows()
        time.sleep(2 * self.fleet.plan.renew_seconds)
        return before == self.slot_rows()

    def slot_rows(self) -> list[dict]:
        """Return the rows of all slots."""
        query = "prefix=&after=&limit=1000"
        url = f"{self.fleet.platform.url}/v1/rows/slots?{query}"
        return self.fleet.call("GET", url).json()["rows"]

    def holder(self, program: str) -> str:
        """Return a root program's holder, once slots have stopped moving."""
        self.until(self.slots_rest)
        key = f"{CUSTOMER}/{program}"
        zone = ranked_zones(key, self.fleet.plan.zones)[0]
        slot = slot_of(SlotKind.PROGRAM, key, self.fleet.plan.n_slots)
        row = quote(f"{zone}/{slot:05d}", safe="")
        url = f"{self.fleet.platform.url}/v1/rows/slots/{row}"
        return self.fleet.call("GET", url).json()["value"]["host"]

    def other_host(self, host: str) -> str:
        """Return another host of the same zone."""
        zone = self.fleet.hosts[host].zone
        return next(
            name
            for name in self.hosts
            if name != host and self.fleet.hosts[name].zone == zone
        )

    def host_process(self, host: str) -> ManagedProcess:
        """Return the process of a host."""
        return self.fleet.hosts[host].process

    def heal(self) -> None:
        """End every fault."""
        self.fault_engines("none")
        self.fault_service("none")
        self.fault_platform("none")

    def cached_bytes(self) -> int:
        """Return what engines that live hold for programs."""
        total = 0
        for engine in self.fleet.engines.values():
            listing = self.fleet.call("GET", f"{engine.url}/v1/cache").json()
            total += sum(listing["programs"].values())
        return total

    def read_program(self, host: str, program: str) -> dict:
        """Return a program as callers see it."""
        got = self.send(host, f"/v1/programs/{program}", b"", method="GET")
        return json.loads(got.raw)


class Story:
    """A program's caller, who knows what the whole history must be."""

    def __init__(self, world: World, program: str) -> None:
        self.world = world
        self.program = program
        self.messages: list[dict] = []
        self.turn = 0

    def say(self, host: str | Callable[[], str], text: str) -> Answer:
        """Send the next turn until it is answered, and check it byte for byte.

        `host` may choose anew for each try, as the platform's balancer does.
        """
        choose = host if callable(host) else lambda: host
        message = {"role": "user", "content": text}
        expected = expected_text([*self.messages, message], 8)
        answers: list[Answer] = []

        def answered() -> bool:
            got = self.world.chat(choose(), self.program, self.turn + 1, text)
            answers.append(got)
            assert got.status not in (400, 401, 402, 403, 409, 410, 422), got
            return got.status == 200

        self.world.until(answered)
        assert answers[-1].text == expected, "not the answer to this history"
        reply = {"role": "assistant", "content": expected}
        self.messages += [message, reply]
        self.turn += 1
        return answers[-1]


def profile() -> dict:
    """Return the profile's document."""
    return {
        "name": PROFILE,
        "customers": [CUSTOMER],
        "services": ["billing"],
        "never_repeat": ["billing/charge"],
        "turn_timeout_seconds": 20.0,
    }


def customer(rate: float, burst: float | None = None) -> dict:
    """Return the customer's document."""
    document = {"name": CUSTOMER, "rate_per_second": rate}
    document["burst"] = rate if burst is None else burst
    return document


def _answer(got: urllib3.BaseHTTPResponse) -> Answer:
    verdict = got.headers.get("Swifttide-Verdict", "")
    retry_after = got.headers.get("Retry-After", "")
    try:
        body = json.loads(got.data)
    except ValueError:
        body = {}
    text = ""
    if isinstance(body, dict) and "choices" in body:
        text = body["choices"][0]["message"]["content"]
    reason = body.get("reason", "") if isinstance(body, dict) else ""
    return Answer(got.status, verdict, reason, text, retry_after, got.data)
