"""The time that a call has, and the right of its caller to have it run."""

import time
from dataclasses import dataclass

from swifttide_core.documents import Profile
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.calls import Call
from swifttide_daemon.configuration import ConfigService


@dataclass(frozen=True, slots=True)
class CallContext:
    """What is checked again before each step of a call.

    Parameters
    ----------
    call : Call
    profile : Profile
        As it stood when the call arrived; edits hold for later calls.
    config : ConfigService
    started_at : float
        Monotonic seconds at which this host got the call.
    """

    call: Call
    profile: Profile
    config: ConfigService
    started_at: float

    @property
    def deadline(self) -> float:
        """Monotonic seconds after which an answer is of no use."""
        seconds = min(self.call.remaining_seconds, self.profile.turn_timeout_seconds)
        return self.started_at + seconds

    @property
    def remaining(self) -> float:
        """Seconds that are left, at least 0."""
        return max(0.0, self.deadline - time.monotonic())

    def is_key_valid(self) -> bool:
        """Return whether the caller's key is still granted to its customer."""
        grant = self.config.key(self.call.key_hash)
        return grant is not None and grant.customer == self.call.customer

    def refusal(self) -> Refusal | None:
        """Return why the call may not be sent now, or None."""
        if not self.is_key_valid():
            # The key can be withdrawn while the call waits in a queue.
            return Refusal(Reason.UNAUTHENTICATED, "the key was withdrawn")
        if self.remaining <= 0:
            return Refusal(
                Reason.DEADLINE,
                "the call's time ran out before it was sent",
                retry_after_seconds=1.0,
            )
        return None
