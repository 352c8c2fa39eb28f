"""Runners that crash when they are sent too much while they are cold, over sockets."""

import asyncio

from swifttide_daemon.platform.tests._waiting import until
from swifttide_standins.print_office import ColdStart

BEARS = 6
CRASHES_ABOVE = 2 * BEARS
"""Well above what it bears: requests may bunch on the way to it."""

SERVICES = [
    {
        "name": "engines",
        "runtime": {"chunk_tokens": 10, "capacity": 12},
        "cold_per_s": BEARS,
        "cold_start_s": 3.0,
    },
    {"name": "app", "cold_per_s": BEARS, "cold_start_s": 3.0},
]
N_REQUESTS = 40


async def cold_runners(site, service, count):
    """Start runners that are cold for longer than a test lasts."""
    runners = [await site.add_runner(f"i-{i}", service) for i in range(count)]
    for runner in runners:
        runner.cold_start = ColdStart(CRASHES_ABOVE)
        site.store.rows.put("servers", runner.id, runner.entry(cold_left_ms=30_000))
    cold = site.gateways[0].beliefs.cold
    await until(lambda: all(cold.is_cold(r.id) for r in runners))
    return runners


async def burst(site, path, **fields):
    """Send many requests within a second."""
    sends = []
    for i in range(N_REQUESTS):
        gateway = i % len(site.gateways)
        send = site.send(path, attempt_id=f"a{i}", gateway=gateway, **fields)
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(1.0 / N_REQUESTS)
    return await asyncio.gather(*sends)


class TestColdRunners:
    def test_calls_of_a_plain_service_crash_none(self, play):
        """Guards against a burst of calls that crashes targets which just started."""

        async def scenario(site):
            runners = await cold_runners(site, "app", 2)
            for runner in runners:
                runner.script = runner.body(b"x")
            answers = await burst(site, "/lookup/1", deadline_ms="1500")
            return answers, [r.cold_start.n_crashes for r in runners]

        answers, crashes = play(scenario, n_gateways=2, services=SERVICES)
        assert crashes == [0, 0]
        refused = [a for a in answers if a.status != 200]
        assert len(refused) < N_REQUESTS
        assert {(a.status, a.body) for a in refused} == {(503, b"targets_cold")}
        assert all(float(a.fields["retry-after"]) > 0.0 for a in refused)

    def test_streams_crash_none(self, play):
        """Guards against turns that crash engines which just started."""

        async def scenario(site):
            runners = await cold_runners(site, "engines", 2)
            answers = await burst(site, "/check/1", deadline_ms="1500")
            return answers, [r.cold_start.n_crashes for r in runners]

        answers, crashes = play(scenario, n_gateways=2, services=SERVICES)
        assert crashes == [0, 0]
        assert {a.status for a in answers} == {200, 503}
