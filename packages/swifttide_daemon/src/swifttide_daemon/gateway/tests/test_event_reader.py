"""Splitting server-sent event streams into events."""

import pytest

from swifttide_daemon.gateway.callers._event_reader import MAX_EVENT_BYTES, EventReader


class TestEventReader:
    def test_event_split_across_pieces(self):
        reader = EventReader()
        text = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
        events = [e for i in range(len(text)) for e in reader.feed(text[i : i + 1])]
        assert [(e.id, e.data) for e in events] == [(1, b"a"), (2, b"b\nc")]
        assert b"".join(e.raw for e in events) == text
        assert not reader.within_event

    def test_unfinished_event_is_detected(self):
        reader = EventReader()
        reader.feed(b"id: 1\nda")
        assert reader.within_event

    def test_unknown_fields_are_kept_in_raw_bytes(self):
        (event,) = EventReader().feed(b"swifttide-weight-versions: 3\ndata: x\n\n")
        assert event.id is None
        assert event.data == b"x"
        assert event.raw.startswith(b"swifttide-weight-versions: 3\n")

    def test_overlong_event_is_an_error(self):
        with pytest.raises(ValueError, match="bytes"):
            EventReader().feed(b"x" * (MAX_EVENT_BYTES + 1))


class TestBounds:
    def test_mark_split_between_pieces(self):
        reader = EventReader()
        events = [
            e for p in (b"id: 1\r\n\r", b"\ndata: x\n", b"\n") for e in reader.feed(p)
        ]
        assert [e.raw for e in events] == [b"id: 1\r\n\r\n", b"data: x\n\n"]
        assert not reader.within_event

    def test_stream_of_tiny_events_is_an_error(self):
        """Guards against a stream whose events cost more than all other requests."""
        reader = EventReader()
        with pytest.raises(ValueError, match="too small"):
            for _ in range(10):
                reader.feed(b"\n\n" * 1_000)
