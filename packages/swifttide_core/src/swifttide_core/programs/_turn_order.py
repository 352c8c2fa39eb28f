"""Decides whether a turn runs, is answered from the history, or is refused.

A caller that lost its connection sends the turn again, and another host may have
committed it in the meantime. Running it twice would put two answers into one history.
A turn is therefore identified by its number and the hash of its body, which are
compared with the committed state of its program.
"""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow, ProgramState
from swifttide_core.programs._turn_request import TurnRequest
from swifttide_core.verdicts import Reason, Refusal, Verdict

OUT_OF_ORDER_RETRY_SECONDS = 1.0
"""Retry delay of a turn that arrives before an earlier one. The earlier turn usually
arrives within this time."""


@dataclass(frozen=True, slots=True)
class RunTurn:
    """The turn is the next one and may run."""

    turn: int


@dataclass(frozen=True, slots=True)
class ReplayTurn:
    """The turn is committed; its stored answer is returned."""

    turn: int
    chunk: str


@dataclass(frozen=True, slots=True)
class RefuseTurn:
    """The turn may not run."""

    refusal: Refusal


TurnDecision = RunTurn | ReplayTurn | RefuseTurn


def decide_turn(row: ProgramRow, req: TurnRequest) -> TurnDecision:
    """Decide whether a turn runs, given the committed state of its program.

    Parameters
    ----------
    row : ProgramRow
        The program as committed; none of its turns may be running.
    req : TurnRequest
        The turn that was sent.

    Returns
    -------
    TurnDecision
        Run the turn, return its stored answer, or refuse it.
    """
    if req.turn is None:
        return _decide_unnumbered(row)
    if req.turn <= row.turns:
        return _decide_committed(row, req)
    if row.state is ProgramState.ENDED:
        return _program_ended()
    if req.turn > row.turns + 1 and not req.gaps:
        return RefuseTurn(
            Refusal(
                Reason.OUT_OF_ORDER,
                f"got turn {req.turn}, expected turn {row.turns + 1}",
                retry_after_seconds=OUT_OF_ORDER_RETRY_SECONDS,
            )
        )
    return RunTurn(req.turn)


def _decide_unnumbered(row: ProgramRow) -> TurnDecision:
    if row.state is ProgramState.ENDED:
        return _program_ended()
    return RunTurn(row.turns + 1)


def _decide_committed(row: ProgramRow, req: TurnRequest) -> TurnDecision:
    if req.turn == row.turns and req.body_hash == row.last_body_hash:
        return ReplayTurn(req.turn, row.chunks[-1])
    # The row has the hash of the last turn only, so whether an earlier number is the
    # same turn sent again can't be told. If its caller were told "not run", it could
    # put the turn into the history a second time.
    earlier = req.turn < row.turns
    return RefuseTurn(
        Refusal(
            Reason.OUT_OF_ORDER,
            f"turn {req.turn} is committed; expected turn {row.turns + 1}",
            verdict=Verdict.MAY_HAVE_RUN if earlier else Verdict.NOT_RUN,
        )
    )


def _program_ended() -> RefuseTurn:
    return RefuseTurn(Refusal(Reason.PROGRAM_ENDED, "the program has ended"))
