"""Replay of traces, and what it notices."""

import json

import pytest

from swifttide_core.intents import (
    IntentRow,
    RowRead,
    RowWritten,
    TargetAnswered,
    TargetSilent,
    TargetUnreached,
    start_call,
    step_call,
)
from swifttide_core.replay import CALL_MACHINE, encode_start, encode_step, replay_lines


def record_call(run, events, wanted=None):
    """Record a call that is told these events."""
    wanted = wanted or IntentRow("club", "fee-1", attempt=run, path="charge")
    step = start_call(wanted)
    lines = [encode_start(CALL_MACHINE, run, (wanted,), step.actions)]
    for event in events:
        step = step_call(step.state, event)
        lines.append(encode_step(run, event, step.actions))
    return lines


EVENTS_OF_ONE_RUN = (
    RowRead(None),
    RowWritten(1),
    TargetAnswered(200, "ok"),
    RowWritten(2),
)


def outcome_line(run, **stated):
    return json.dumps({"run": run, "outcome": stated}).encode()


class TestReplayLines:
    def test_trace_as_recorded(self):
        found = replay_lines(record_call("a", EVENTS_OF_ONE_RUN))
        assert found.differences == ()
        assert (found.n_runs, found.n_steps) == (1, 4)

    def test_stated_outcome(self):
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        right = outcome_line("a", answer="Reply", dispatched=1)
        assert replay_lines([*lines, right]).differences == ()
        wrong = outcome_line("a", answer="Refuse", dispatched=0)
        assert len(replay_lines([*lines, wrong]).differences) == 2

    def test_action_that_changed(self):
        """A new version sends a call although its journal row couldn't be written.
        Replaying what an older one recorded must show it.
        """
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        changed = json.loads(lines[1])
        changed["actions"] = [{"type": "Dispatch"}]
        lines[1] = json.dumps(changed).encode()
        (found,) = replay_lines(lines).differences
        assert (found.line, found.run) == (2, "a")
        assert "WriteRow" in found.got

    def test_member_that_the_recording_did_not_know(self):
        """Rows gain members over time. A trace from before must stay replayable."""
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        older = json.loads(lines[1])
        del older["actions"][0]["row"]["content_type"]
        lines[1] = json.dumps(older).encode()
        assert replay_lines(lines).differences == ()

    @pytest.mark.parametrize(
        "members", [{"gone": 1}, {"state": "done"}, {"answer": "x"}, {"version": "1"}]
    )
    def test_member_that_is_otherwise(self, members):
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        changed = json.loads(lines[1])
        changed["actions"][0]["row"] |= members
        lines[1] = json.dumps(changed).encode()
        assert [d.line for d in replay_lines(lines).differences] == [2]

    def test_call_that_runs_twice(self):
        """Two hosts each believe that the journal row is theirs: a club pays twice.
        Each run alone is as stated, only the whole trace shows it.
        """
        lines = record_call("a", EVENTS_OF_ONE_RUN) + record_call(
            "b", EVENTS_OF_ONE_RUN
        )
        (found,) = replay_lines(lines).differences
        assert "at most once" in found.stated

    def test_call_that_went_out_and_got_lost_may_not_go_out_again(self):
        lost = (RowRead(None), RowWritten(1), TargetSilent())
        assert (
            len(
                replay_lines(
                    record_call("a", lost) + record_call("b", EVENTS_OF_ONE_RUN)
                ).differences
            )
            == 1
        )

    def test_call_that_never_went_out_may_go_out_again(self):
        unreached = (RowRead(None), RowWritten(1), TargetUnreached())
        lines = record_call("a", unreached) + record_call("b", EVENTS_OF_ONE_RUN)
        assert replay_lines(lines).differences == ()

    @pytest.mark.parametrize(
        "line",
        [
            b"{",
            b"[]",
            b'{"run": "x", "machine": "none", "start": []}',
            b'{"run": "x", "machine": "call", "start": []}',
            b'{"run": "x", "machine": "call", "start": [3]}',
            b'{"run": "unknown", "event": {"type": "RowWritten", "version": 1}}',
            b'{"run": "a", "event": {"type": "None"}}',
            b'{"run": "a", "event": {}}',
            b'{"run": "unknown", "outcome": {"answer": "Reply"}}',
        ],
    )
    def test_line_that_can_not_be_read(self, line):
        found = replay_lines([*record_call("a", EVENTS_OF_ONE_RUN), line])
        assert len(found.differences) == 1
        assert found.differences[0].line == 6

    def test_comments_and_empty_lines(self):
        lines = [
            b"// from a run with lost answers\n",
            b"\n",
            *record_call("a", EVENTS_OF_ONE_RUN),
        ]
        assert replay_lines(lines).differences == ()
