"""Deadline and authorization of a call while it is executed.

Both are checked again before each step: a call can wait in queues for seconds, during
which its time can run out or its API key can be withdrawn.
"""

import time
from dataclasses import dataclass

from swifttide_core.documents import Profile
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.calls import Call
from swifttide_daemon.configuration import ConfigService


@dataclass(frozen=True, slots=True)
class CallContext:
    """A call with its profile, its deadline and the check of its API key.

    Parameters
    ----------
    call : Call
    profile : Profile
        Version at the arrival of the call; later edits apply to later calls only.
    config : ConfigService
    started_at : float
        Monotonic time in seconds at which this host received the call.
    """

    call: Call
    profile: Profile
    config: ConfigService
    started_at: float

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds after which the answer is no longer needed."""
        seconds = min(self.call.remaining_seconds, self.profile.turn_timeout_seconds)
        return self.started_at + seconds

    @property
    def remaining(self) -> float:
        """Seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - time.monotonic())

    def is_key_valid(self) -> bool:
        """Return whether the API key of the call is still granted to its customer."""
        grant = self.config.key(self.call.key_hash)
        return grant is not None and grant.customer == self.call.customer

    def refusal(self) -> Refusal | None:
        """Return the reason why the call must not be sent now, or None."""
        if not self.is_key_valid():
            # The key can be withdrawn while the call waits in a queue.
            return Refusal(Reason.UNAUTHENTICATED, "the API key was withdrawn")
        if self.remaining <= 0:
            return Refusal(
                Reason.DEADLINE,
                "the deadline of the call passed before it was sent",
                retry_after_seconds=1.0,
            )
        return None
