"""The demo's checks tell a good run from a bad one."""

from dataclasses import replace

import pytest

from swifttide_standins.demo import Findings
from swifttide_standins.demo._check import check_all
from swifttide_standins.loadgen import (
    Answered,
    Attempt,
    Broken,
    CallRecord,
    CallSpec,
    ProgramRecord,
    Refused,
)


def record(spec, outcome):
    return CallRecord(spec, (Attempt("h", 0.0, 0.0, 1.0, outcome),))


def charge(outcome):
    return record(CallSpec.from_service("p", "billing", "charge", "k"), outcome)


def findings(outcome, effects):
    program = ProgramRecord("p", (charge(outcome),), (), finished=True)
    whole = Attempt("h", 0.0, 0.0, 1.0, Answered("x", "ran"))
    return Findings(
        programs=(program,),
        calls_at_kill=(),
        effects=effects,
        withdrawn={"h": 1.0},
        answered_before=1,
        answered_after_refusal=0,
        stop_status=0,
        stop_seconds=1.0,
        long_streams=(whole,),
        cut=0,
    )


GOOD = findings(Answered("", "ran"), {"k": 1})
NOT_RUN = Refused(503, "queue_full", "not_run")
UNKNOWN = Refused(409, "conflict", "may_have_run")


def failed(found):
    return [check.name for check in check_all(found) if not check.holds]


class TestCheckAll:
    def test_good_run(self):
        assert failed(GOOD) == []

    @pytest.mark.parametrize(
        ("outcome", "effects"),
        [
            (Answered("", "ran"), {"k": 2}),
            (Answered("", "ran"), {}),
            (Answered("", "ran"), {"k": 1, "stray": 1}),
            (NOT_RUN, {"k": 1}),
            (UNKNOWN, {"k": 2}),
            (Broken("", begun=False), {"k": 1}),
        ],
    )
    def test_wrong_effects(self, outcome, effects):
        """A charge is doubled, lost, made for nobody, made in spite of "not run",
        or its caller never learns. Each must turn the demo red.
        """
        assert failed(findings(outcome, effects))

    @pytest.mark.parametrize(
        "change",
        [
            {"withdrawn": {"h": float("inf")}},
            {"answered_before": 0},
            {"answered_after_refusal": 1},
            {"cut": 1},
            {"stop_status": None},
            {"long_streams": ()},
            {"programs": (replace(GOOD.programs[0], finished=False),)},
            {"programs": (replace(GOOD.programs[0], wrong=("x",)),)},
        ],
    )
    def test_each_promise(self, change):
        assert len(failed(replace(GOOD, **change))) == 1
