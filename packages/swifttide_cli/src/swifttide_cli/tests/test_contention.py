"""``swifttide contention`` on logs as hosts write them."""

import io

import pytest

from swifttide_cli.commands._contention import Contention
from swifttide_cli.output import print_report
from swifttide_cli.tests.test_explain import line

SERVICE = {"service": "models"}


def served(at, rank=0, customer="c1", target="t1", **more):
    work = {"rank": rank, "customer": customer, "route": "short"} | SERVICE
    told = {"target": target, "queued_seconds": 0.1, "n_events": 3}
    return line(at, "request_served", **(work | told | more))


def refused(at, rank=2, customer="c2", **more):
    work = {"rank": rank, "customer": customer, "route": "long"} | SERVICE
    told = {"status": 503, "reason": "targets_full", "request_id": f"r{at}"}
    return line(at, "request_refused", **(work | told | more))


def status(at, **more):
    told = {
        "slots": 12.0,
        "outstanding": {"0": 8, "2": 3},
        "reserved": {"0": 0.0, "2": 1.5},
        "waiting_turns": {"0/c1": 2},
        "waiting_programs": {"2/c2": 4, "2/c/3": 5},
        "limits": {"short": 14.0, "long": 11.0},
        "targets": {"t1": [0.05, 6], "t2": [0.1, 5]},
    }
    return line(at, "scheduler_status", **(SERVICE | told | more))


class ContentionRun:
    @pytest.fixture
    def contention(self, tmp_path):
        def run(*log, **options):
            path = tmp_path / "host.log"
            path.write_text("".join(log) + "not json\n")
            return Contention([str(path)], **options)(None)

        return run


class TestRequests(ContentionRun):
    def test_refusal_counts_under_its_rank_and_customer(self, contention):
        """Guards against refusals whose bearer an operator can't find."""
        found = contention(served(1.0), refused(1.2), refused(1.3, zone="b"))
        (window,) = found.ok.data["windows"]
        assert (window["served"], window["refused"]) == (1, 2)
        assert window["ranks"]["2"]["reasons"] == {"targets_full": 2}
        assert window["ranks"]["0"]["refused"] == 0
        assert list(window["customers"]) == ["c2"]
        assert [z["refused"] for z in window["zones"].values()] == [1, 1]

    def test_only_the_ten_most_refused_customers(self, contention):
        log = [refused(1.0 + i / 100, customer=f"c{i % 12:02}") for i in range(14)]
        (window,) = contention(*log).ok.data["windows"]
        assert list(window["customers"])[:3] == ["c00", "c01", "c02"]
        assert len(window["customers"]) == 10

    def test_waits_by_window(self, contention):
        log = [served(1.0 + i / 10, queued_seconds=i / 10) for i in range(3)]
        found = contention(*log, served(4.0), window=3.0)
        first, second = found.ok.data["windows"]
        assert first["wait_p50"] == pytest.approx(0.1)
        assert first["wait_p95"] == pytest.approx(0.19)
        assert second["second"] == 3.0

    def test_lines_that_hosts_left_out(self, contention):
        """Guards against counts that look whole while logs were cut."""
        found = contention(served(1.0, suppressed=7))
        assert found.ok.data["left_out"] == {"request_served": 7}
        assert "7 lines request_served" in found.ok.notes[0]


class TestOlderLogs(ContentionRun):
    def test_lines_without_the_new_fields(self, contention):
        """Guards against a command that fails while hosts are being replaced."""
        found = contention(
            line(1.0, "request_served", customer="c1", target="t1"),
            line(1.1, "request_refused", reason="rate_limited", status=429),
        )
        (window,) = found.ok.data["windows"]
        assert window["service"] == "unknown"
        assert window["wait_p50"] is window["slots"] is window["waiting"] is None
        assert window["ranks"]["unknown"]["refused"] == 1
        (target,) = found.ok.data["targets"]
        assert (target["speed"], target["served"]) == (None, 1)

    def test_service_told_by_other_lines(self, contention):
        found = contention(
            status(1.0),
            line(1.1, "request_served", target="t2"),
            line(1.2, "no_place_for_program", request_id="r1", rank=1, **SERVICE),
            line(1.2, "request_refused", request_id="r1", rank=None, service=""),
        )
        (window,) = found.ok.data["windows"]
        assert (window["service"], window["served"]) == ("models", 1)
        assert window["ranks"]["1"]["refused"] == 1

    def test_status_that_cannot_be_read(self, contention):
        odd = {"slots": "12", "outstanding": None, "targets": {"t1": 3}, "limits": []}
        found = contention(status(1.0, **odd, reserved={"x": 1}))
        (window,) = found.ok.data["windows"]
        assert window["slots"] is window["limit"] is window["reserved"] is None


class TestScheduler(ContentionRun):
    def test_figures_are_of_the_highest_load(self, contention):
        idle = status(1.0, outstanding={"0": 1}, waiting_turns={}, waiting_programs={})
        (window,) = contention(idle, status(1.5), refused(1.6)).ok.data["windows"]
        figures = [window[n] for n in ("slots", "load", "limit", "reserved", "waiting")]
        assert figures == [12.0, 13, 11.0, 1.5, 11]
        rank = window["ranks"]["2"]
        assert (rank["load"], rank["reserved"], rank["waiting"]) == (3, 1.5, 9)
        assert window["customers"]["c2"]["waiting"] == 4

    def test_speeds_and_shares_of_targets(self, contention):
        """Guards against shares that can't be told from those of a wrong choice."""
        log = [served(1.1), served(1.2), served(1.3), served(1.4, target="t2")]
        slow = status(2.0, targets={"t1": [0.05, 4], "t2": [0.1, 5], "t3": [0.25, 0]})
        found = contention(status(1.0), slow, *log).ok.data["targets"]
        assert [t["target"] for t in found] == ["t1", "t2", "t3"]
        assert [t["speed"] for t in found] == pytest.approx([1.0, 0.5, 0.2])
        assert [t["served"] for t in found] == [3, 1, 0]
        assert [t["share"] for t in found] == [0.75, 0.25, 0.0]
        assert found[0]["share_by_speed"] == pytest.approx(1 / 1.7)
        assert found[0]["outstanding"] == 5

    def test_table_has_groups_and_targets(self, contention):
        stream = io.StringIO()
        report = contention(status(1.0), served(1.1), refused(1.2)).ok
        print_report(report, as_json=False, stream=stream)
        rows = [row.split() for row in stream.getvalue().splitlines()]
        assert ["models", "0", "zone", "a", "-", "-"] in [row[:6] for row in rows]
        assert ["models", "t1", "0.0500"] in [row[:3] for row in rows]


class TestOptions(ContentionRun):
    def test_one_service(self, contention):
        found = contention(served(1.0), refused(1.1, service="plain"), service="plain")
        assert [w["service"] for w in found.ok.data["windows"]] == ["plain"]

    def test_service_without_lines(self, contention):
        found = contention(served(1.0), service="other")
        assert "lines of: models" in found.error.advice

    def test_logs_without_requests(self, contention):
        assert "no line of a request" in contention().error.message

    def test_window_that_makes_no_sense(self, contention):
        assert "--window 0" in contention(served(1.0), window=0.0).error.message
