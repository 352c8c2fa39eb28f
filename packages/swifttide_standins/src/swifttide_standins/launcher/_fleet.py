"""A platform, targets and daemons, up and known to each other."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import urllib3

from swifttide_standins.launcher._fleet_plan import FleetPlan
from swifttide_standins.launcher._launcher import Launcher
from swifttide_standins.launcher._managed_process import ManagedProcess
from swifttide_standins.launcher._operator import Operator, hash_key

LOOPBACK_URL = "http://127.0.0.1:{}"
OPERATOR_KEY = "operator-of-the-test-fleet"
CALL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet with its place.

    Parameters
    ----------
    name, zone : str
        Id and availability zone.
    process : ManagedProcess
        The process.
    url : str
        Base URL, of a daemon for callers.
    """

    name: str
    zone: str
    process: ManagedProcess
    url: str


class Fleet:
    """All processes of a plan.

    Parameters
    ----------
    launcher : Launcher
        Ends them.
    plan : FleetPlan
        What to start.

    Attributes
    ----------
    platform : Member
    engines, services, hosts : dict of str to Member
        By name.
    operator : Operator
        Edits at whichever host is alive.
    """

    def __init__(self, launcher: Launcher, plan: FleetPlan) -> None:
        self._launcher = launcher
        self._pool = urllib3.PoolManager(retries=False)
        self.plan = plan
        self.engines: dict[str, Member] = {}
        self.services: dict[str, Member] = {}
        self.hosts: dict[str, Member] = {}
        self.operator = Operator(OPERATOR_KEY, self._host_urls)

    @classmethod
    def start(cls, launcher: Launcher, plan: FleetPlan) -> "Fleet":
        """Start every process, wait for all, and tell the daemons the targets."""
        fleet = cls(launcher, plan)
        fleet._start_platform()
        fleet._start_targets()
        names = [(f"{z}-h{i}", z) for z in plan.zones for i in plan_range(plan)]
        fleet.start_hosts(names)
        fleet.put_targets()
        return fleet

    def start_hosts(self, names: list[tuple[str, str]]) -> None:
        """Start daemons, given as pairs of host and zone, and wait for them."""
        settings = {
            zone: self.plan.settings(zone, self.platform.url, hash_key(OPERATOR_KEY))
            for _, zone in names
        }
        started = [(n, z, self._launcher.daemon(n, settings[z])) for n, z in names]
        for name, zone, process in started:
            url = process.wait_ready()["caller_url"]
            self.hosts[name] = Member(name, zone, process, url)
            self.report_host(name, "live")

    def report_host(self, host: str, state: str) -> None:
        """Enter a host's state in the platform's lagging list."""
        entry = {"host": host, "zone": self.hosts[host].zone, "state": state}
        self.call("POST", f"{self.platform.url}/hosts", json=entry)

    def put_targets(self) -> None:
        """Put the documents of all engines and services."""
        models = self.plan.engine_options.get("models", "default").split(",")
        for engine in self.engines.values():
            for model in models:
                self._put_target(engine, "engine", model, engine.name)
        for service in self.services.values():
            for zone in self.plan.zones:
                place = replace(service, zone=zone)
                name = f"{service.name}-{zone}"
                self._put_target(place, "service", service.name, name)

    def fault(self, member: Member, **fault: object) -> None:
        """Set a stand-in's fault."""
        self.call("POST", f"{member.url}/faults", json=fault)

    def counters(self, member: Member) -> dict:
        """Return a stand-in's counters."""
        return self.call("GET", f"{member.url}/counters").json()

    def call(self, method: str, url: str, **options: object) -> urllib3.HTTPResponse:
        """Call a stand-in.

        Raises
        ------
        RuntimeError
            When it doesn't answer with a 2xx.
        """
        answer = self._pool.request(method, url, timeout=CALL_SECONDS, **options)
        if answer.status >= 300:
            raise RuntimeError(f"{method} {url}: {answer.status} {answer.data!r}")
        return answer

    def _host_urls(self) -> Iterator[str]:
        return (host.url for host in self.hosts.values() if host.process.alive)

    def _start_platform(self) -> None:
        options = self.plan.platform_options
        process = self._launcher.standin("platform", "platform", **options)
        url = LOOPBACK_URL.format(process.wait_ready()["port"])
        self.platform = Member("platform", "", process, url)

    def _start_targets(self) -> None:
        plan = self.plan
        engines = [
            (f"{zone}-e{i}", zone)
            for zone in plan.zones
            for i in range(plan.engines_per_zone)
        ]
        options = {"platform_url": self.platform.url, **plan.engine_options}
        started = [
            (name, zone, self._launcher.standin("engine", name, **options))
            for name, zone in engines
        ]
        for name, zone, process in started:
            url = LOOPBACK_URL.format(process.wait_ready()["port"])
            self.engines[name] = Member(name, zone, process, url)
        for name in plan.services:
            journal = self._launcher.directory / f"{name}.effects"
            options = {"journal": journal, **plan.service_options}
            process = self._launcher.standin("service", name, **options)
            url = LOOPBACK_URL.format(process.wait_ready()["port"])
            self.services[name] = Member(name, "", process, url)

    def _put_target(self, member: Member, kind: str, serves: str, name: str) -> None:
        checks = kind == "engine" and bool(
            self.plan.engine_options.get("checks_fencing", False)
        )
        document = {
            "name": name,
            "kind": kind,
            "zone": member.zone,
            "url": member.url,
            "serves": serves,
            "checks_fencing": checks,
            **self.plan.target_options,
        }
        self.operator.put("target", name, document)


def plan_range(plan: FleetPlan) -> range:
    """Return the numbers of a zone's hosts."""
    return range(plan.hosts_per_zone)
