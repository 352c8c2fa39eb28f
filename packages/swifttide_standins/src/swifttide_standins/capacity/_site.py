"""A fleet of one zone with the documents that a measurement needs."""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import cycle

from swifttide_standins.capacity._traffic import connection_bytes
from swifttide_standins.launcher import Fleet, FleetPlan, Launcher, hash_key
from swifttide_standins.loadgen import (
    Answered,
    Balancer,
    CallRecord,
    CallSpec,
    Client,
    Endpoint,
)

ZONE = "za"
CUSTOMER = "customer"
KEY = "key-of-the-customer"
DURABLE = "durable"
CALLER = "caller"
SETTLE_SECONDS = 3.0
WORDS_PER_SECOND = 2000.0
MAX_RUNNING = 64


class Site:
    """Daemons of one zone, one engine and one service.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.endpoints = [Endpoint(h.name, h.zone, h.url) for h in fleet.hosts.values()]
        self._balancer = Balancer(self.endpoints)

    @classmethod
    @contextmanager
    def started(
        cls, n_hosts: int, words_per_second: float = WORDS_PER_SECOND, **plan: object
    ) -> Iterator["Site"]:
        """Start a site, with the daemons' own default timing unless `plan` says so."""
        options = {
            "lease_seconds": 6.0,
            "renew_seconds": 2.0,
            "drift_margin_seconds": 1.0,
            "poll_seconds": 1.0,
            "target_options": {"max_concurrency": MAX_RUNNING},
            **plan,
        }
        whole = FleetPlan(
            zones=(ZONE,),
            hosts_per_zone=n_hosts,
            engines_per_zone=1,
            engine_options={
                "words_per_second": words_per_second,
                "max_running": MAX_RUNNING,
            },
            **options,
        )
        with Launcher() as launcher:
            site = cls(Fleet.start(launcher, whole))
            site._put_documents()
            time.sleep(SETTLE_SECONDS)
            site._warm_up()
            site._balancer.stop()
            yield site

    def send(
        self, profile: str, specs: Iterable[CallSpec], n_workers: int
    ) -> list[CallRecord]:
        """Send calls to the hosts in turn, a few at a time.

        Raises
        ------
        RuntimeError
            When a call isn't answered in the end: its cost would pass for a
            request's.
        """
        client = Client(self._balancer, KEY, profile, ZONE)
        with ThreadPoolExecutor(n_workers) as pool:
            records = list(pool.map(client.call, specs, cycle(self.endpoints)))
        bad = [r.outcome for r in records if not isinstance(r.outcome, Answered)]
        if bad:
            raise RuntimeError(f"{len(bad)} calls weren't answered: {bad[0]}")
        return records

    def _warm_up(self) -> None:
        """Let every host open its connections and draw the customer's tokens.

        Service calls only: a chat turn leaves a program in an engine's cache, and the
        hosts look such programs up again and again.
        """
        numbers = range(4 * len(self.endpoints))
        specs = [
            CallSpec.from_service(f"warm-up-{n}", "billing", "look", f"warm-up-{n}")
            for n in numbers
        ]
        self.send(CALLER, specs, n_workers=2)

    def cpu_seconds(self) -> float:
        """Return the processor time that all daemons used so far."""
        return sum(h.process.cpu_seconds() for h in self.fleet.hosts.values())

    def connection_bytes(self) -> int:
        """Return the bytes on all connections of all daemons."""
        return connection_bytes({h.process.pid for h in self.fleet.hosts.values()})

    def resident_bytes(self) -> float:
        """Return the resident memory of a daemon, on average."""
        sizes = [h.process.resident_bytes() for h in self.fleet.hosts.values()]
        return sum(sizes) / len(sizes)

    def platform(self) -> dict:
        """Return the platform's counters."""
        return self.fleet.counters(self.fleet.platform)

    def _put_documents(self) -> None:
        put = self.fleet.operator.put
        document = {"name": CUSTOMER, "rate_per_second": 1e5, "burst": 1e5}
        put("customer", CUSTOMER, document)
        self.grant(KEY, CUSTOMER)
        for profile in (DURABLE, CALLER):
            document = {
                "name": profile,
                "history": profile,
                "never_repeat": ["billing/charge"],
                "max_turn_tokens": 4096,
                "budget_tokens": 500_000,
            }
            put("profile", profile, document)

    def put_targets(self, numbers: range, serves: str = "another-model") -> None:
        """Put documents of further targets, all of them at the one engine."""
        (engine,) = self.fleet.engines.values()
        for number in numbers:
            name = f"{engine.name}-{number}"
            document = {
                "name": name,
                "kind": "engine",
                "zone": engine.zone,
                "url": engine.url,
                "serves": serves,
            }
            self.fleet.operator.put("target", name, document)

    def grant(self, key: str, customer: str, withdrawn: bool = False) -> None:
        """Grant or withdraw a key."""
        document = {"key_hash": hash_key(key), "customer": customer}
        document["withdrawn"] = withdrawn
        self.fleet.operator.put("key", hash_key(key), document)


def turn(program: str, words: int, content: str = "go on") -> CallSpec:
    """Return the first turn of a program."""
    return CallSpec.from_turn(program, "", 1, content, words)
