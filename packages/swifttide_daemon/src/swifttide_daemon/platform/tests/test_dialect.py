"""Header fields of callers and runners."""

import pytest

from swifttide_daemon.gateway import BadRequest
from swifttide_daemon.platform import PrintOfficeDialect

PROMPT_PARTS = b"swifttide-prompt-prefix"
DIALECT = PrintOfficeDialect()


def read(*fields):
    base = ((b"host", b"Shop.Example:8080"), (b"swifttide-attempt-id", b"a1"))
    return DIALECT.read_request("POST", b"/x?y", base + fields, b"", 0.0)


class TestRequests:
    def test_turn(self):
        req = read(
            (b"swifttide-program-id", b"p"),
            (b"swifttide-session-id", b"s"),
            (b"swifttide-token-budget", b"858"),
            (b"swifttide-token-usage", b"1840,286"),
            (b"swifttide-previous-turn", b"t0"),
            (b"swifttide-deadline-ms", b"4000"),
            (b"authorization", b"Bearer k1"),
        )
        assert (req.host, req.path, req.api_key) == ("shop.example", "/x", "k1")
        assert req.timeout_seconds == 4.0
        assert (req.turn.budget_tokens, req.turn.max_tokens) == (858, 286)
        assert (req.turn.previous, req.subject) == ("t0", "s")

    @pytest.mark.parametrize(
        "field",
        [
            (b"swifttide-token-usage", b"12"),
            (b"swifttide-token-usage", b"1,-2"),
            (b"swifttide-token-budget", b"many"),
            (b"swifttide-deadline-ms", b"nan"),
            (b"swifttide-deadline-ms", b"-1"),
            (b"swifttide-program-id", b"x" * 300),
            (b"last-event-id", b"1.5"),
            (b"last-event-id", b"\xb2"),
            (b"swifttide-token-budget", b"8\xb3"),
            (b"swifttide-token-usage", b"1,\xb9"),
            (b"swifttide-token-usage", b"1," + b"9" * 190),
        ],
    )
    def test_field_that_cannot_be_understood(self, field):
        with pytest.raises(BadRequest):
            read(field)

    @pytest.mark.parametrize(
        ("hint", "parts", "expected"),
        [
            (b"120", b"sys:300,doc:20", (120, 300)),
            (b"many", b"sys:x", (0, 0)),
            (b"-1", b"sys", (0, 0)),
            (b"1" * 30, b"", (0, 0)),
            (b"1" * 300, b"a:b:7", (0, 7)),
        ],
    )
    def test_unreadable_hint_counts_as_absent(self, hint, parts, expected):
        """Guards against requests that are refused for a field that only helps."""
        req = read((b"swifttide-length-hint", hint), (PROMPT_PARTS, parts))
        assert (req.length_hint, req.prefix_tokens) == expected


class TestTargetFields:
    def test_what_concerns_one_connection_stays_here(self):
        req = read(
            (b"connection", b"x-own, close"),
            (b"x-own", b"1"),
            (b"x-other", b"2"),
            (b"transfer-encoding", b"chunked"),
            (b"swifttide-deadline-ms", b"9000"),
            (b"swifttide-pin-ms", b"5"),
        )
        fields = dict(DIALECT.target_fields(req, "c1", "i-1", 1.5, None, 3))
        assert b"x-own" not in fields
        assert b"transfer-encoding" not in fields
        assert b"swifttide-pin-ms" not in fields
        assert fields[b"x-other"] == b"2"
        assert fields[b"swifttide-deadline-ms"] == b"1500"
        assert fields[b"swifttide-tenant"] == b"c1"
        assert fields[b"swifttide-expect-instance"] == b"i-1"

    def test_resumption_goes_before_the_callers_place(self):
        req = read((b"last-event-id", b"3"))
        first = dict(DIALECT.target_fields(req, "", "i-1", 1.0, None, 0))
        again = dict(DIALECT.target_fields(req, "", "i-1", 1.0, 7, 0))
        assert (first[b"last-event-id"], again[b"last-event-id"]) == (b"3", b"7")

    def test_stream_that_a_caller_takes_up(self):
        req = read((b"last-event-id", b"3"), (b"resumes", b"a0"))
        assert (req.resumed_attempt, req.last_event_id) == ("a0", 3)
        assert (read().resumed_attempt, read().last_event_id) == ("", None)


class TestAnswers:
    def test_attempt_of_any_length_is_read(self):
        """Guards against an answer that fails in the host and not at its target."""
        fields = ((b"swifttide-attempt-id", b"\xff" * 300),)
        assert DIALECT.read_answer(200, fields).attempt == "\xff" * 300

    def test_promise_and_idle_time(self):
        head = DIALECT.read_answer(
            503,
            ((b"swifttide-not-executed", b"1"), (b"keep-alive", b"timeout=5, max=9")),
        )
        assert head.not_run
        assert head.idle_seconds == 5.0
        assert DIALECT.read_answer(421, ()).not_run
        assert not DIALECT.read_answer(503, ()).not_run
