"""Tests of the rendered metrics, as a scraper receives them."""

import re
from concurrent.futures import ThreadPoolExecutor

from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.telemetry import Metrics
from swifttide_daemon.telemetry._series import MAX_SERIES


def values(metrics):
    body, _ = metrics.render()
    rows = [x for x in body.decode().splitlines() if not x.startswith("#")]
    found = {}
    for row in rows:
        name, value = row.rsplit(" ", 1)
        name = re.sub(r'(host|zone)="\w*",?', "", name).replace(",}", "}")
        found[name.replace("{}", "")] = float(value)
    return found


def make_metrics():
    return Metrics("h1", "z1")


class TestMetrics:
    def test_decisions(self):
        metrics = make_metrics()
        metrics.admit("c", "t1", queued_seconds=0.1)
        metrics.retry("target")
        metrics.waste_cache(70, "moved")
        metrics.set_lease("held")
        metrics.set_config_version(12)
        metrics.on_render(lambda: metrics.set_queue("t1", 4))
        metrics.end_program("c", "catalogue", 30.0)
        found = values(metrics)
        assert found['swifttide_admitted_total{target="t1"}'] == 1
        assert found['swifttide_queued_seconds_bucket{le="0.25",target="t1"}'] == 1
        assert found['swifttide_retries_total{at="target"}'] == 1
        assert found['swifttide_wasted_cache_tokens_total{cause="moved"}'] == 70
        assert found['swifttide_lease_state{state="held"}'] == 1
        assert found['swifttide_lease_state{state="lapsed"}'] == 0
        assert found["swifttide_config_version"] == 12
        assert found['swifttide_queue_requests{target="t1"}'] == 4

    def test_content_type(self):
        assert make_metrics().render()[1].startswith("text/plain; version=0.0.4")

    def test_only_refusals_within_the_rate_are_wrongful(self):
        metrics = make_metrics()
        for within_rate in (True, False):
            metrics.refuse("c", Reason.QUEUE_FULL, Verdict.NOT_RUN, within_rate)
        found = values(metrics)
        refused = '{reason="queue_full",verdict="not_run"}'
        assert found["swifttide_refused_total" + refused] == 2
        wrongful = 'swifttide_wrongful_refusals_total{reason="queue_full"}'
        assert found[wrongful] == 1

    def test_bad_requests_are_not_wrongful_refusals(self):
        """A client sends invalid bodies. If these refusals counted, its customer
        would hide another one that is really badly served.
        """
        metrics = make_metrics()
        for _ in range(10):
            metrics.refuse("c", Reason.BAD_REQUEST, Verdict.NOT_RUN, True)
        found = values(metrics)
        assert not [name for name in found if "wrongful" in name]
        assert found["swifttide_worst_customer_served_ratio"] == 1

    def test_worst_served_customer(self):
        """One customer is starved while the others are served well, which an average
        over all requests would hide.
        """
        metrics = make_metrics()
        for _ in range(200):
            metrics.admit("well", "t1", 0.0)
        for _ in range(10):
            metrics.refuse("starved", Reason.DEADLINE, Verdict.NOT_RUN, True)
        metrics.end_program("well", "p", 3.0)
        metrics.end_program("starved", "p", 90.0)
        found = values(metrics)
        assert found["swifttide_worst_customer_served_ratio"] < 0.2
        assert found["swifttide_worst_customer_program_latency_seconds"] == 90

    def test_labels_that_callers_choose(self):
        """A caller sends thousands of invented names that contain quotes. Without
        limits the host would run out of memory, and the scraper would reject the page.
        """
        metrics = make_metrics()
        for i in range(MAX_SERIES + 100):
            metrics.end_program("c", f'p"\n{i}', 1.0)
        body = metrics.render()[0].decode()
        assert 'p"' not in body
        name = "swifttide_program_latency_seconds_count"
        counted = {k: v for k, v in values(metrics).items() if k.startswith(name)}
        assert len(counted) == MAX_SERIES + 1
        assert counted[name + '{profile="other"}'] == 100

    def test_concurrent_increments_are_all_counted(self):
        metrics = make_metrics()
        with ThreadPoolExecutor(8) as pool:
            for _ in range(8):
                pool.submit(lambda: [metrics.retry("peer") for _ in range(500)])
        assert values(metrics)['swifttide_retries_total{at="peer"}'] == 4000
