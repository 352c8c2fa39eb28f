"""``swifttide explain`` names what a refused program gave way to."""

import pytest

from swifttide_cli.commands._explain import Explain
from swifttide_cli.tests.test_contention import SERVICE, refused, status
from swifttide_cli.tests.test_explain import line

OWN = {"request_id": "r1", "retry_after": 0.9}


def no_place(at, **more):
    return line(at, "no_place_for_program", request_id="r1", **(SERVICE | more))


class TestCompetitors:
    @pytest.fixture
    def explain(self, tmp_path):
        def run(*log):
            path = tmp_path / "host.log"
            path.write_text("".join(log))
            return Explain("r1", [str(path)])(None).ok

        return run

    def test_competitors_are_named(self, explain):
        """Guards against a refusal that doesn't say for whom."""
        report = explain(
            status(1.0, outstanding={"0": 1}),
            status(3.0),
            status(3.1, service="other"),
            no_place(3.2, rank=2, customer="c2", waited=0.31, by_order=True),
            refused(3.2, **OWN),
        )
        assert report.lines[1] == (
            "contention: customer c2, rank 2, had waited 0.31 s, was told to come back "
            "in 0.9 s; 0.2 s before: of 12 slots rank 0 had 8, rank 2 had 3, 1.5 were "
            "reserved above rank 2; most waiting work: 5 of customer c/3 (rank 2)"
        )
        told = report.data["gave_way_to"]
        assert told["outstanding_above"] == {"0": 8}
        assert told["most_waiting"] == {"rank": 2, "customer": "c/3", "waiting": 5}

    def test_status_too_far_away(self, explain):
        report = explain(status(1.0), refused(9.0, **OWN))
        assert "come back in 0.9 s" in report.lines[1]
        assert report.data["gave_way_to"]["slots"] is None

    def test_host_that_decided_alone(self, explain):
        """Guards against competitors that had no part in the decision."""
        report = explain(
            status(1.0), no_place(1.1, by_order=False), refused(1.1, **OWN)
        )
        assert report.data["gave_way_to"]["most_waiting"] is None

    def test_lines_of_older_hosts(self, explain):
        log = line(3.0, "request_refused", request_id="r1", reason="targets_full")
        report = explain(status(3.1), no_place(3.0, load=1.3), log)
        assert "0.1 s after: of 12 slots rank 0 had 8" in report.lines[1]
        assert len(explain(log).lines) == 1

    def test_other_reasons(self, explain):
        report = explain(refused(1.0, request_id="r1", reason="rate_limited"))
        assert "gave_way_to" not in report.data
