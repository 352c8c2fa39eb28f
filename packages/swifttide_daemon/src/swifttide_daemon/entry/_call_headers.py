"""Decoding and validation of the request headers that describe a call.

The headers name the profile, the program with its parent, the turn number and the
idempotency key.
"""

import re
from dataclasses import dataclass

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
TURN_PATTERN = re.compile(r"[1-9][0-9]{0,5}\Z")
"""Numbers with more than six digits are refused rather than truncated: a truncated
number would run another turn than the requested one."""


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded and validated headers of a call.

    Parameters
    ----------
    profile, program, parent, idempotency_key : str
        Empty if the header is missing.
    turn : int or None
        Turn number given by the caller; None if the header is missing.
    """

    profile: str
    program: str
    parent: str
    idempotency_key: str
    turn: int | None

    @classmethod
    def from_request(cls, req: Request) -> Result["CallHeaders", Refusal]:
        """Decode the headers of a call, or return a refusal if one is invalid."""
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
                        header,
                        "at most 128 characters out of letters, digits and '._:-'",
                    )
                )
            values[field] = value
        if not values["profile"]:
            return Error(_invalid_header("swifttide-profile", "the name of a profile"))
        if values["parent"] and not values["program"]:
            return Error(
                _invalid_header(
                    "swifttide-program", "a program id together with swifttide-parent"
                )
            )
        turn = req.header("swifttide-turn")
        if turn and not TURN_PATTERN.match(turn):
            return Error(
                _invalid_header("swifttide-turn", "a whole number from 1 to 999999")
            )
        return Ok(cls(turn=int(turn) if turn else None, **values))


def _invalid_header(header: str, expected: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, f"header {header}: expected {expected}")
