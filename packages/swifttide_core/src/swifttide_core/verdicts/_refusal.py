"""Error of a refused or failed request, which all layers pass on to the caller."""

from dataclasses import dataclass, replace

from swifttide_core.verdicts._reason import Reason
from swifttide_core.verdicts._verdict import Verdict

HTTP_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.TOO_LARGE: 413,
    Reason.RATE_LIMITED: 429,
    Reason.QUEUE_FULL: 503,
    Reason.DEADLINE: 503,
    Reason.BUDGET: 402,
    Reason.OUT_OF_ORDER: 409,
    Reason.KEY_REUSED: 422,
    Reason.CRASHES_TARGETS: 422,
    Reason.PROGRAM_ENDED: 410,
    Reason.NO_TARGET: 503,
    Reason.TARGET_FAILED: 502,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.NOT_HOLDER: 503,
    Reason.STOPPING: 503,
    Reason.TIMEOUT: 504,
    Reason.INTERNAL: 500,
}
"""HTTP status code for each reason."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error of a request that was refused or failed.

    Parameters
    ----------
    reason : Reason
        Machine-readable reason.
    detail : str
        One sentence for human readers. It must not contain keys or header values.
    verdict : Verdict
        Whether the request may have run.
    retry_after_seconds : float or None
        Time after which the request may be sent again, counted from the decision; None
        if sending the same request again cannot succeed.
    """

    reason: Reason
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return HTTP_STATUS[self.reason]

    def with_verdict(self, verdict: Verdict) -> "Refusal":
        """Return the same refusal with another verdict."""
        return replace(self, verdict=verdict)

    def with_earlier_attempts(self, may_have_run: bool) -> "Refusal":
        """Return a refusal whose verdict also covers earlier attempts of the request.

        The verdict ``not_run`` of the last attempt does not apply to an earlier attempt
        whose answer was lost. Otherwise, a caller could wrongly conclude that, for
        example, a payment was not made.

        Parameters
        ----------
        may_have_run : bool
            Whether an earlier attempt may have run.
        """
        if may_have_run and self.verdict is Verdict.NOT_RUN:
            return self.with_verdict(Verdict.MAY_HAVE_RUN)
        return self
