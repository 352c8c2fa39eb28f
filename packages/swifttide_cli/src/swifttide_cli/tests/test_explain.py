"""``swifttide explain`` on logs as hosts write them."""

import json

from swifttide_cli.commands._explain import Explain


def line(at, event, host="edge-1", **fields):
    """Return a log line, with what a collector puts before it."""
    stamp = f"2026-07-01T10:00:{at:06.3f}+00:00"
    told = {"time": stamp, "level": "info", "event": event, "host": host, "zone": "a"}
    return f"  {at} {host} " + json.dumps(told | fields) + "\n"


class TestExplain:
    def explain(self, tmp_path, request_id, *logs):
        paths = []
        for i, log in enumerate(logs):
            path = tmp_path / f"host-{i}.log"
            path.write_text("".join(log) + "not json\n")
            paths.append(str(path))
        return Explain(request_id, paths)(None)

    def test_refusal_behind_a_lost_store(self, tmp_path):
        log = [
            line(1.0, "store_out_of_reach", detail="no answer: TimeoutError"),
            line(2.0, "target_unreachable", target="t9"),
            line(3.0, "request_refused", request_id="r1", status=503,
                 reason="store_unavailable", retry_after=1.2),
        ]  # fmt: skip
        report = self.explain(tmp_path, "r1", log).ok
        assert "not run" in report.lines[0]
        assert "lost the store" in report.lines[0]
        assert [row[2] for row in report.rows] == [
            "store_out_of_reach",
            "request_refused",
        ]

    def test_program_without_tokens_in_an_outage(self, tmp_path):
        log = [
            line(1.0, "lending_barred", until_ms=9),
            line(1.5, "store_out_of_reach", detail="no answer yet"),
            line(3.0, "no_tokens_in_outage", request_id="r1", need=162, free=0),
            line(3.0, "request_refused", request_id="r1", status=503,
                 reason="store_unavailable", retry_after=1.2),
        ]  # fmt: skip
        report = self.explain(tmp_path, "r1", log).ok
        assert "not run" in report.lines[0]
        assert "no host had tokens to lend" in report.lines[0]
        assert report.rows[0][2] == "lending_barred"

    def test_program_whose_slot_has_no_owner(self, tmp_path):
        log = [
            line(3.0, "request_refused", request_id="r1", status=503,
                 reason="budget_held_back", retry_after=1.2),
        ]  # fmt: skip
        assert "owner of its slot" in self.explain(tmp_path, "r1", log).ok.lines[0]

    def test_outage_that_began_long_before(self, tmp_path):
        """The store was lost half a minute before the request that it failed."""
        log = [
            line(1.0, "store_out_of_reach", detail="no answer"),
            line(2.0, "target_unreachable", target="t1"),
            line(3.0, "target_reachable", target="t1"),
            line(33.0, "request_refused", request_id="r1", status=503,
                 reason="store_unavailable", target="t1"),
        ]  # fmt: skip
        report = self.explain(tmp_path, "r1", log).ok
        assert "lost the store" in report.lines[0]
        assert [row[2] for row in report.rows] == [
            "store_out_of_reach",
            "request_refused",
        ]

    def test_joins_the_hosts_of_one_request(self, tmp_path):
        first = [line(5.0, "target_failed", request_id="r1", target="t1", reason="x")]
        second = [
            line(
                5.5, "request_served", "edge-2", request_id="r1", status=200, seconds=1
            )
        ]
        report = self.explain(tmp_path, "r1", second, first).ok
        assert [row[1] for row in report.rows] == ["edge-1", "edge-2"]
        assert "served with 200 in 1 s after 1 failed tries" in report.lines[0]

    def test_stream_that_was_taken_up(self, tmp_path):
        first = [
            line(5.0, "stream_begun", request_id="r1", software_version="v1"),
            line(5.1, "stream_begun", request_id="r8", software_version="v1"),
        ]
        second = [
            line(6.0, "request_refused", "edge-2", request_id="r2", status=503,
                 resumed_attempt="r1", reason="no_target_of_origin"),
        ]  # fmt: skip
        report = self.explain(tmp_path, "r2", second, first).ok
        assert "version that began the stream" in report.lines[0]
        assert [row[2] for row in report.rows] == [
            "stream_begun (r1)",
            "request_refused",
        ]
        report = self.explain(tmp_path, "r1", second, first).ok
        assert [row[2] for row in report.rows] == [
            "stream_begun",
            "request_refused (r2)",
        ]

    def test_request_that_nobody_logged(self, tmp_path):
        found = self.explain(tmp_path, "r9", [line(1.0, "start")])
        assert found.is_error()
        assert "never reached" in found.error.advice

    def test_host_that_died(self, tmp_path):
        log = [line(5.0, "target_failed", request_id="r1", target="t1", reason="x")]
        report = self.explain(tmp_path, "r1", log).ok
        assert "died" in report.lines[0]
