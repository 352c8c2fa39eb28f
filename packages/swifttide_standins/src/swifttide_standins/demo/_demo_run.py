"""The demo's events, one after another."""

import logging
import time
from concurrent.futures import Future, ThreadPoolExecutor

from swifttide_standins.demo._findings import Findings
from swifttide_standins.demo._graceful_stop import GracefulStop
from swifttide_standins.demo._host_kill import HostKill
from swifttide_standins.demo._withdrawal_probe import WithdrawalProbe
from swifttide_standins.launcher import Fleet, FleetPlan, Launcher, hash_key
from swifttide_standins.loadgen import (
    Attempt,
    Balancer,
    Broken,
    Client,
    Endpoint,
    ProgramPlan,
    ProgramRecord,
    ProgramRunner,
)

logger = logging.getLogger(__name__)

PROFILE = "catalogue"
CUSTOMERS = {"za": "print-office", "zb": "butcher-desk"}
PROGRAMS_PER_ZONE = 6
TURNS = 18
PAUSE_SECONDS = 0.3
WORDS_PER_SECOND = 60.0
SECONDS_BEFORE_KILL = 2.5
SECONDS_BEFORE_WITHDRAWAL = 3.0
SECONDS_OF_PROBING = 5.0
WITHDRAWN_KEY = "butcher-desk-second-key"
KILLED_HOST = "za-h0"
STOPPED_HOST = "zb-h1"
SERVICE_SECONDS = 0.2
"""Long enough that the kill falls into the middle of some calls."""

SERVICE_CALLS = dict.fromkeys(range(2, TURNS, 2), ("billing", "charge"))


class DemoRun:
    """One run with a kill, a withdrawal and a graceful stop.

    Parameters
    ----------
    launcher : Launcher
        Ends the processes.
    """

    def __init__(self, launcher: Launcher) -> None:
        plan = FleetPlan(
            engine_options={"words_per_second": WORDS_PER_SECOND},
            service_options={"seconds": SERVICE_SECONDS},
        )
        self._fleet = Fleet.start(launcher, plan)
        self._put_documents()
        self._endpoints = {
            host.name: Endpoint(host.name, host.zone, host.url)
            for host in self._fleet.hosts.values()
        }

    def run(self) -> Findings:
        """Run programs through all events and return what was seen."""
        balancer = Balancer(self._endpoints.values())
        client = Client(balancer, f"{CUSTOMERS['za']}-key", PROFILE, "za")
        with ThreadPoolExecutor(2 * PROGRAMS_PER_ZONE) as pool:
            futs = self._start_programs(pool, balancer)
            time.sleep(SECONDS_BEFORE_KILL)
            killing = HostKill(client, self._endpoints[KILLED_HOST])
            killing.run(self._fleet)
            time.sleep(SECONDS_BEFORE_WITHDRAWAL)
            probe, withdrawn_at = self._withdraw(balancer)
            stop = self._stop(balancer)
            programs = tuple(fut.result() for fut in futs)
        balancer.stop()
        return Findings(
            programs=programs,
            calls_at_kill=killing.records(),
            effects=self._fleet.counters(self._fleet.services["billing"])["effects"],
            withdrawn=probe.seconds_to_refusal(withdrawn_at),
            answered_before=probe.fewest_answered_before(),
            answered_after_refusal=probe.n_answered_after_refusal(),
            stop_status=stop.status,
            stop_seconds=stop.seconds,
            long_streams=stop.streams,
            cut=_count_cut(programs, stop),
        )

    def _put_documents(self) -> None:
        put = self._fleet.operator.put
        for customer in CUSTOMERS.values():
            document = {"name": customer, "rate_per_second": 200, "burst": 200}
            put("customer", customer, document)
            self._grant(f"{customer}-key", customer)
        self._grant(WITHDRAWN_KEY, CUSTOMERS["zb"])
        document = {
            "name": PROFILE,
            "customers": list(CUSTOMERS.values()),
            "services": ["billing"],
            "never_repeat": ["billing/charge"],
        }
        put("profile", PROFILE, document)
        time.sleep(2 * self._fleet.plan.poll_seconds)

    def _grant(self, key: str, customer: str, withdrawn: bool = False) -> None:
        document = {"key_hash": hash_key(key), "customer": customer}
        document["withdrawn"] = withdrawn
        self._fleet.operator.put("key", hash_key(key), document)

    def _start_programs(
        self, pool: ThreadPoolExecutor, balancer: Balancer
    ) -> list[Future[ProgramRecord]]:
        futs = []
        for zone, customer in CUSTOMERS.items():
            client = Client(balancer, f"{customer}-key", PROFILE, zone)
            for number in range(PROGRAMS_PER_ZONE):
                plan = ProgramPlan(
                    program=f"{customer}-{number}",
                    turns=TURNS,
                    pause_seconds=PAUSE_SECONDS,
                    sub_agent_after=3,
                    services=SERVICE_CALLS,
                )
                futs.append(pool.submit(ProgramRunner(client, plan).run))
        return futs

    def _withdraw(self, balancer: Balancer) -> tuple[WithdrawalProbe, float]:
        live = [e for e in self._endpoints.values() if e.host != KILLED_HOST]
        client = Client(balancer, WITHDRAWN_KEY, PROFILE, "zb")
        probe = WithdrawalProbe(client, WITHDRAWN_KEY, live)
        time.sleep(1.0)
        logger.info("withdrawing a key")
        self._grant(WITHDRAWN_KEY, CUSTOMERS["zb"], withdrawn=True)
        withdrawn_at = time.monotonic()
        time.sleep(SECONDS_OF_PROBING)
        probe.stop()
        return probe, withdrawn_at

    def _stop(self, balancer: Balancer) -> GracefulStop:
        logger.info("stopping %s gracefully", STOPPED_HOST)
        client = Client(balancer, f"{CUSTOMERS['zb']}-key", PROFILE, "zb")
        stop = GracefulStop(client, self._endpoints[STOPPED_HOST])
        stop.run(self._fleet.hosts[STOPPED_HOST].process)
        self._fleet.report_host(STOPPED_HOST, "gone")
        return stop


def _count_cut(programs: tuple[ProgramRecord, ...], stop: GracefulStop) -> int:
    attempts = [a for p in programs for call in p.calls for a in call.attempts]
    return sum(_is_cut(a, stop.started) for a in (*attempts, *stop.streams))


def _is_cut(attempt: Attempt, since: float) -> bool:
    """Return whether an answer broke off at the stopped host after the SIGTERM."""
    broken = isinstance(attempt.outcome, Broken)
    return broken and attempt.host == STOPPED_HOST and attempt.ended >= since
