"""A host's own lease, as it may believe in it.

A process can be frozen (SIGSTOP, a stalled disk of the hypervisor) right after it
sent a renewal and wake up long after others took its slots. It would then still
decide for programs that another host serves. The lease is therefore counted from
BEFORE the renewal was sent, on the monotonic clock, and ends a margin early.
"""

from dataclasses import dataclass, replace

from swifttide_core.membership._lease_times import LeaseTimes

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class HostLease:
    """Lease of one incarnation of a host.

    Parameters
    ----------
    times : LeaseTimes
        Durations of the lease.
    row_version : int
        Version of the lease row as last confirmed; 0 before registration.
    good_until : float
        Monotonic seconds until which the host may act as a holder.
    confirmed_at : float
        When the last confirmed renewal was sent.
    """

    times: LeaseTimes
    row_version: int = 0
    valid_until: float = NEVER
    renewal_sent_at: float = NEVER

    @classmethod
    def from_times(cls, times: LeaseTimes) -> "HostLease":
        """Return the lease of a host that hasn't registered yet."""
        return cls(times=times)

    def is_valid(self, now: float) -> bool:
        """Return whether the host may act as a holder at `now`."""
        return now < self.valid_until

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds that are left, at least 0."""
        return max(0.0, self.valid_until - now)

    def with_renewal(self, sent_at: float, row_version: int) -> "HostLease":
        """Return the lease after a renewal that was sent at `sent_at` took effect.

        Notes
        -----
        An answer can overtake an earlier one; the lease only grows.
        """
        valid_until = (
            sent_at + self.times.lease_seconds - self.times.drift_margin_seconds
        )
        return replace(
            self,
            row_version=max(row_version, self.row_version),
            valid_until=max(valid_until, self.valid_until),
            renewal_sent_at=max(sent_at, self.renewal_sent_at),
        )

    def with_extension(self, until: float) -> "HostLease":
        """Return the lease prolonged by the promises of all peers of the zone."""
        return replace(self, valid_until=max(until, self.valid_until))

    def without_registration(self) -> "HostLease":
        """Return the lease after another host deposed this incarnation."""
        return HostLease.from_times(self.times)
