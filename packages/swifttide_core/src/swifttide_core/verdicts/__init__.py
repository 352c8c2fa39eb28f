"""Verdicts and refusals, which describe the outcome of a request."""

from swifttide_core.verdicts._reason import Reason
from swifttide_core.verdicts._refusal import HTTP_STATUS, Refusal
from swifttide_core.verdicts._verdict import Verdict

__all__ = ["HTTP_STATUS", "Reason", "Refusal", "Verdict"]
