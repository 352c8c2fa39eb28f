"""Tests of spans, their context and the file exporter."""

import json

import pytest

from swifttide_daemon.settings import Settings
from swifttide_daemon.telemetry import Tracer
from swifttide_daemon.telemetry._file_exporter import FileExporter

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def settings(tmp_path, **traces):
    document = {
        "host": "h1",
        "zone": "z1",
        "platform_url": "http://127.0.0.1:1",
        "deployment_secret_file": "s",
        "traces": {"path": str(tmp_path / "t.jsonl"), **traces},
    }
    return Settings.from_document(document).ok


def lines(tmp_path):
    return [json.loads(x) for x in (tmp_path / "t.jsonl").read_text().splitlines()]


class TestTracer:
    def test_hops_form_one_trace(self, tmp_path):
        tracer = Tracer.from_settings(settings(tmp_path, exporter="file"))
        with (
            tracer.span("entry", PARENT, request_id="r1") as entry,
            tracer.span("target", entry.traceparent, request_id="r1") as target,
        ):
            target.set(verdict="ran", turn=2, target=None)
        tracer.close()
        inner, outer = lines(tmp_path)
        assert inner["trace_id"] == outer["trace_id"] == PARENT.split("-")[1]
        assert inner["parent_id"] == outer["span_id"]
        assert outer["parent_id"] == PARENT.split("-")[2]
        assert (inner["verdict"], inner["turn"]) == ("ran", 2)
        assert (inner["host"], inner["zone"]) == ("h1", "z1")

    @pytest.mark.parametrize("ratio, n_lines", [(0, 0), (1, 1)])
    def test_sampling_of_requests_without_context(self, tmp_path, ratio, n_lines):
        cfg = settings(tmp_path, exporter="file", sample_ratio=ratio)
        tracer = Tracer.from_settings(cfg)
        with tracer.span("entry") as span:
            assert span.traceparent.endswith(f"-0{ratio}")
        assert len(lines(tmp_path)) == n_lines

    @pytest.mark.parametrize(
        "header",
        ["", "x", PARENT.upper(), "00-" + "0" * 32 + "-b7ad6b7169203331-01", "ff-" * 9],
    )
    def test_wrong_context_starts_a_new_trace(self, tmp_path, header):
        cfg = settings(tmp_path, exporter="file", sample_ratio=1)
        with Tracer.from_settings(cfg).span("entry", header):
            pass
        assert lines(tmp_path)[0]["parent_id"] == ""

    def test_context_is_passed_on_without_exporter(self, tmp_path):
        with Tracer.from_settings(settings(tmp_path)).span("entry", PARENT) as span:
            assert span.traceparent == PARENT
            span.set(verdict="ran")

    def test_platform_calls_belong_to_the_request_of_their_thread(self, tmp_path):
        cfg = settings(tmp_path, exporter="file", sample_ratio=0)
        tracer = Tracer.from_settings(cfg)
        with tracer.child("platform") as span:
            assert span.traceparent == ""
        with tracer.span("entry", PARENT), tracer.child("platform", operation="x"):
            pass
        with tracer.child("platform"):
            pass
        inner, outer = lines(tmp_path)
        assert inner["parent_id"] == outer["span_id"]

    def test_failed_hop_names_the_error_but_not_its_message(self, tmp_path):
        """The message of a library quotes a header that contains the caller's key."""
        cfg = settings(tmp_path, exporter="file", sample_ratio=1)
        with (
            pytest.raises(ValueError),
            Tracer.from_settings(cfg).span("target", key="sk-1", detail="Bearer x"),
        ):
            raise ValueError("Bearer sk-secret")
        (line,) = lines(tmp_path)
        assert line["error"] == "ValueError"
        assert "sk-" not in str(line)
        assert line["detail"] == "Bearer [hidden]"

    def test_file_is_bounded(self, tmp_path):
        """A host that writes traces for weeks must not fill its file system."""
        cfg = settings(tmp_path, exporter="file", sample_ratio=1)
        exporter = FileExporter(cfg.traces.path, max_bytes=1000)
        tracer = Tracer.from_exporter(cfg, exporter)
        for _ in range(50):
            with tracer.span("entry"):
                pass
        tracer.close()
        assert {p.name for p in tmp_path.iterdir()} == {"t.jsonl", "t.jsonl.1"}
        assert all(p.stat().st_size <= 1000 for p in tmp_path.iterdir())
