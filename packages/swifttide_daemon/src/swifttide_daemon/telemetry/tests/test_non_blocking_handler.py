"""Tests of logging to a pipe, also to one that is not read."""

import json
import logging
import os

from swifttide_daemon.telemetry import EventLog, NonBlockingHandler


class TestNonBlockingHandler:
    def logger(self, handler):
        logger = logging.Logger("test")
        logger.addHandler(handler)
        return EventLog(logger)

    def test_lines_are_whole_json(self):
        reading, writing = os.pipe()
        log = self.logger(NonBlockingHandler.for_host("h1", "z1", writing))
        log.info("target_seen", target="t1")
        line = json.loads(os.read(reading, 65_536))
        assert (line["event"], line["host"], line["target"]) == (
            "target_seen",
            "h1",
            "t1",
        )

    def test_full_pipe_drops_lines_without_blocking(self):
        """The pipe behind standard output is full, and a blocking write would stop
        the host.

        Lines are dropped and counted. Once there is room again, the remainder of a
        partly written line is written before the next line.
        """
        reading, writing = os.pipe()
        handler = NonBlockingHandler(writing)
        log = self.logger(handler)
        for i in range(5_000):
            log.info(f"event {i} " + "x" * 90)
        assert handler.n_dropped > 0
        text = b""
        os.set_blocking(reading, False)
        for _ in range(3):
            try:
                while piece := os.read(reading, 65_536):
                    text += piece
            except BlockingIOError:
                log.info("after")
        lines = text.decode().splitlines()
        assert lines[-1] == "after"
        assert all(line.endswith("x") for line in lines[:-2])

    def test_lines_of_one_event_are_limited(self):
        reading, writing = os.pipe()
        log = self.logger(NonBlockingHandler.for_host("h1", "z1", writing))
        for _ in range(500):
            log.info("request_refused")
        lines = os.read(reading, 1_000_000).splitlines()
        assert 0 < len(lines) <= 120
