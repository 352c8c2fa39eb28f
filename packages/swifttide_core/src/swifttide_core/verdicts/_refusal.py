"""The typed error that every layer passes on, from the core to the caller."""

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
"""Status of the answer for each reason."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused or failed.

    Parameters
    ----------
    reason : Reason
        Machine-readable cause.
    detail : str
        One sentence for a person; never holds a key or a header value.
    verdict : Verdict
        Whether the request may have run.
    retry_after_seconds : float or None
        When to come back, measured where the refusal was decided; None when
        sending the same request again can't help.
    """

    reason: Reason
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return HTTP_STATUS[self.reason]

    def with_verdict(self, verdict: Verdict) -> "Refusal":
        """Return the same refusal with another verdict."""
        return replace(self, verdict=verdict)

    def with_earlier_attempts(self, may_have_run: bool) -> "Refusal":
        """Return a refusal that is also true of earlier tries of the request.

        The last try's "not run" says nothing of a try before it whose answer was
        lost; passed on as it is, a caller would take a charge for not made.

        Parameters
        ----------
        may_have_run : bool
            Whether an earlier try may have run.
        """
        if may_have_run and self.verdict is Verdict.NOT_RUN:
            return self.with_verdict(Verdict.MAY_HAVE_RUN)
        return self
