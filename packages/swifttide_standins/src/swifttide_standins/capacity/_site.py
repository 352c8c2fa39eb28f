"""A fleet of one zone with the documents that a measurement needs."""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import cycle

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
    def started(cls, n_hosts: int, **plan: object) -> Iterator["Site"]:
        """Start a site, with the daemons' own default timing unless `plan` says so."""
        options = {
            "lease_seconds": 6.0,
            "renew_seconds": 2.0,
            "drift_margin_seconds": 1.0,
            "poll_seconds": 1.0,
            **plan,
        }
        whole = FleetPlan(
            zones=(ZONE,),
            hosts_per_zone=n_hosts,
            engines_per_zone=1,
            engine_options={"words_per_second": WORDS_PER_SECOND, "max_running": 64},
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
        """Let every host open its connections and draw the customer's tokens."""
        specs = [turn(f"warm-up-{n}", 1) for n in range(4 * len(self.endpoints))]
        self.send(CALLER, specs, n_workers=2)

    def cpu_seconds(self) -> float:
        """Return the processor time that all daemons used so far."""
        return sum(h.process.cpu_seconds() for h in self.fleet.hosts.values())

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

    def grant(self, key: str, customer: str, withdrawn: bool = False) -> None:
        """Grant or withdraw a key."""
        document = {"key_hash": hash_key(key), "customer": customer}
        document["withdrawn"] = withdrawn
        self.fleet.operator.put("key", hash_key(key), document)


def turn(program: str, words: int, content: str = "go on") -> CallSpec:
    """Return the first turn of a program."""
    return CallSpec.from_turn(program, "", 1, content, words)
