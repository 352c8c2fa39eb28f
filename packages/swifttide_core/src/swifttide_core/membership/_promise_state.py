"""Promises that a host has made to hosts that cannot renew their leases.

Decides whether a host may depose other hosts and claim slots.
"""

from dataclasses import dataclass, replace

from swifttide_core.membership._promise import PlatformSeen, Promise


@dataclass(frozen=True, slots=True)
class PromiseState:
    """Promises of one process to depose no host and claim no slot.

    Parameters
    ----------
    host : str
        Id of this host.
    promised_until : float
        Monotonic time at which the last promise ends, in seconds.
    """

    host: str
    promised_until: float = float("-inf")

    def answer(
        self, now: float, promise_seconds: float, sees_platform: bool
    ) -> tuple["PromiseState", Promise | PlatformSeen]:
        """Return the state after a request at `now`, and the answer.

        Notes
        -----
        If `sees_platform` is wrong, an extension or a relayed renewal may fail, but
        safety is not affected. It depends only on each host keeping its promise, also
        after the platform is back.
        """
        if sees_platform:
            return self, PlatformSeen(self.host)
        state = replace(
            self, promised_until=max(self.promised_until, now + promise_seconds)
        )
        return state, Promise(self.host, promise_seconds)

    def may_depose(self, now: float) -> bool:
        """Return whether this host may depose hosts and claim slots at `now`."""
        return now >= self.promised_until
