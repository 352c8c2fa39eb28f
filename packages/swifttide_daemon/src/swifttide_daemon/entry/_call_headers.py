"""The headers by which a caller places its call."""

import re
from dataclasses import dataclass

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
TURN_PATTERN = re.compile(r"[1-9][0-9]{0,5}\Z")
"""A longer one is refused, not cut: it would run as another turn than was asked for."""


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded and checked headers.

    Parameters
    ----------
    profile, program, parent, idempotency_key : str
        Empty where the header is missing.
    turn : int or None
    """

    profile: str
    program: str
    parent: str
    idempotency_key: str
    turn: int | None

    @classmethod
    def from_request(cls, req: Request) -> Result["CallHeaders", Refusal]:
        """Read the headers of a call, or say what is wrong with them."""
        values = {}
        for field, header in (
            ("profile", "swifttide-profile"),
            ("program", "swifttide-program"),
            ("parent", "swifttide-parent"),
            ("idempotency_key", "idempotency-key"),
        ):
            value = req.header(header)
            if value and not ID_PATTERN.match(value):
                return Error(
                    _invalid_header(
                        header, "letters, digits and '._:-', at most 128 of them"
                    )
                )
            values[field] = value
        if not values["profile"]:
            return Error(_invalid_header("swifttide-profile", "the name of a profile"))
        if values["parent"] and not values["program"]:
            return Error(
                _invalid_header("swifttide-program", "an id beside swifttide-parent")
            )
        turn = req.header("swifttide-turn")
        if turn and not TURN_PATTERN.match(turn):
            return Error(
                _invalid_header("swifttide-turn", "a whole number from 1 to 999999")
            )
        return Ok(cls(turn=int(turn) if turn else None, **values))


def _invalid_header(header: str, expected: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, f"header {header}: expected {expected}")
