"""Tests of the replay of traces and of the differences that it reports."""

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
    """Return the trace of a call whose state machine receives these events."""
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
    def test_unchanged_trace_has_no_differences(self):
        found = replay_lines(record_call("a", EVENTS_OF_ONE_RUN))
        assert found.differences == ()
        assert (found.n_runs, found.n_steps) == (1, 4)

    def test_outcome_is_compared_with_the_actions(self):
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        right = outcome_line("a", answer="Reply", dispatched=1)
        assert replay_lines([*lines, right]).differences == ()
        wrong = outcome_line("a", answer="Refuse", dispatched=0)
        assert len(replay_lines([*lines, wrong]).differences) == 2

    def test_changed_action_is_reported(self):
        """Guards against a version that dispatches a call without its journal row.

        The replay of a trace that an older version recorded must show the difference.
        """
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        changed = json.loads(lines[1])
        changed["actions"] = [{"type": "Dispatch"}]
        lines[1] = json.dumps(changed).encode()
        (found,) = replay_lines(lines).differences
        assert (found.line, found.run) == (2, "a")
        assert "WriteRow" in found.got

    def test_member_missing_in_the_recording_counts_as_default(self):
        """Rows gain members over time. Older traces must remain replayable."""
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        older = json.loads(lines[1])
        del older["actions"][0]["row"]["content_type"]
        lines[1] = json.dumps(older).encode()
        assert replay_lines(lines).differences == ()

    @pytest.mark.parametrize(
        "members", [{"gone": 1}, {"state": "done"}, {"answer": "x"}, {"version": "1"}]
    )
    def test_different_member_is_reported(self, members):
        lines = record_call("a", EVENTS_OF_ONE_RUN)
        changed = json.loads(lines[1])
        changed["actions"][0]["row"] |= members
        lines[1] = json.dumps(changed).encode()
        assert [d.line for d in replay_lines(lines).differences] == [2]

    def test_call_that_runs_twice_is_reported(self):
        """Guards against two hosts that both dispatch a call, so that it is paid twice.

        Each run matches its recording. Only the whole trace shows the fault.
        """
        lines = record_call("a", EVENTS_OF_ONE_RUN) + record_call(
            "b", EVENTS_OF_ONE_RUN
        )
        (found,) = replay_lines(lines).differences
        assert "at most once" in found.stated

    def test_call_with_lost_answer_must_not_be_dispatched_again(self):
        lost = (RowRead(None), RowWritten(1), TargetSilent())
        assert (
            len(
                replay_lines(
                    record_call("a", lost) + record_call("b", EVENTS_OF_ONE_RUN)
                ).differences
            )
            == 1
        )

    def test_call_that_did_not_reach_its_target_may_be_dispatched_again(self):
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
    def test_invalid_line_is_reported(self, line):
        found = replay_lines([*record_call("a", EVENTS_OF_ONE_RUN), line])
        assert len(found.differences) == 1
        assert found.differences[0].line == 6

    def test_comments_and_empty_lines_are_skipped(self):
        lines = [
            b"// from a run with lost answers\n",
            b"\n",
            *record_call("a", EVENTS_OF_ONE_RUN),
        ]
        assert replay_lines(lines).differences == ()
