"""What a host has promised to others."""

from dataclasses import dataclass, replace

from swifttide_core.membership._promise import PlatformSeen, Promise


@dataclass(frozen=True, slots=True)
class PromiseState:
    """Promises of one process to depose and claim nothing.

    Parameters
    ----------
    host : str
        Id of this host.
    until : float
        Monotonic seconds at which the last promise has run out.
    """

    host: str
    promised_until: float = float("-inf")

    def answer(
        self, now: float, promise_seconds: float, sees_platform: bool
    ) -> tuple["PromiseState", Promise | PlatformSeen]:
        """Return the book after a request at `now`, and the answer.

        Notes
        -----
        A wrong `sees_platform` costs an extension or a relay, never safety: what
        counts is that a host which promised keeps to it, also once the platform is
        back.
        """
        if sees_platform:
            return self, PlatformSeen(self.host)
        book = replace(
            self, promised_until=max(self.promised_until, now + promise_seconds)
        )
        return book, Promise(self.host, promise_seconds)

    def may_depose(self, now: float) -> bool:
        """Return whether this host may depose hosts and claim slots at `now`."""
        return now >= self.promised_until
