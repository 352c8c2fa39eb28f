"""A small fleet of real processes, all of whose output is kept."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
import urllib3

from swifttide_standins.launcher import Fleet, FleetPlan, Launcher

ZONES = ("za", "zb")
OPERATOR_KEY = "operator-of-the-test-fleet"


PROFILE = {
    "name": "assistant",
    "model": "catalogue-8b",
    "never_repeat": ["fees/charge"],
}


@dataclass(frozen=True)
class Site:
    """A running fleet and how to reach it as a caller and as an operator."""

    fleet: Fleet
    directory: Path
    pool: urllib3.PoolManager

    def command(self, *argv, code=0):
        """Run ``swifttide`` as a process and return its stdout."""
        urls = ",".join(h.url for h in self.fleet.hosts.values())
        env = {**os.environ, "SWIFTTIDE_URL": urls}
        env["SWIFTTIDE_OPERATOR_KEY"] = OPERATOR_KEY
        done = subprocess.run(
            [sys.executable, "-m", "swifttide_cli", *map(str, argv)],
            env=env,
            capture_output=True,
            text=True,
            timeout=120,
        )
        assert done.returncode == code, done.stderr
        return done.stdout

    def customer(self, name):
        """Make a customer and return a key of it."""
        self.command("customer", "set", name, "--rate-per-second", 100, "--burst", 100)
        granted = self.command("key", "grant", "--customer", name, "--wait", "--json")
        return json.loads(granted)["key"]

    def post(self, path, body, key, host=0, **headers):
        """Send a caller's request to one of the hosts."""
        url = list(self.fleet.hosts.values())[host].url
        headers = {"Authorization": f"Bearer {key}", **headers}
        return self.pool.request(
            "POST", url + path, body=body, headers=headers, timeout=30
        )

    def chat(self, key, text="hello", host=0, **headers):
        """Send a chat turn."""
        message = {"messages": [{"role": "user", "content": text}], "max_tokens": 5}
        headers = {"Swifttide-Profile": "assistant", **headers}
        return self.post(
            "/v1/chat/completions", json.dumps(message).encode(), key, host, **headers
        )

    def trace_files(self):
        """Return the hosts' trace files."""
        return sorted(self.directory.glob("*.spans"))


@pytest.fixture(scope="package")
def site():
    """Start two zones with a host each, an engine each and a plain service."""
    with Launcher() as launcher:
        plan = FleetPlan(
            zones=ZONES,
            hosts_per_zone=1,
            engines_per_zone=1,
            services=("fees",),
            n_slots=8,
            engine_options={"models": "catalogue-8b"},
            daemon_settings={
                "log": {"level": "debug"},
                "traces": {
                    "exporter": "file",
                    "path": "host.spans",
                    "sample_ratio": 1.0,
                },
            },
        )
        fleet = Fleet.start(launcher, plan)
        found = Site(fleet, launcher.directory, urllib3.PoolManager(retries=False))
        profile = launcher.directory / "assistant.jsonc"
        profile.write_text(json.dumps(PROFILE))
        found.command("profile", "put", profile, "--wait")
        yield found
