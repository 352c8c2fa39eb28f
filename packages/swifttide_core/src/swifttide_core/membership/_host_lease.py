"""Validity of a host's own lease.

Decides whether a host may act as the holder of its slots, from the times at which its
confirmed renewals were sent. A process can be frozen (by SIGSTOP, or by a stalled disk
of the hypervisor) right after it sent a renewal, and continue long after other hosts
claimed its slots. It would then still decide for programs that another host serves. The
lease is therefore counted from BEFORE the renewal was sent, on the monotonic clock, and
ends early by the drift margin.
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
        Last confirmed version of the lease row; 0 before registration.
    valid_until : float
        Monotonic time until which the host may act as a slot holder, in seconds.
    renewal_sent_at : float
        Monotonic time at which the last confirmed renewal was sent, in seconds.
    """

    times: LeaseTimes
    row_version: int = 0
    valid_until: float = NEVER
    renewal_sent_at: float = NEVER

    @classmethod
    def from_times(cls, times: LeaseTimes) -> "HostLease":
        """Return the lease of a host that is not registered."""
        return cls(times=times)

    def is_valid(self, now: float) -> bool:
        """Return whether the host may act as a slot holder at `now`."""
        return now < self.valid_until

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds until the lease expires, at least 0."""
        return max(0.0, self.valid_until - now)

    def with_renewal(self, sent_at: float, row_version: int) -> "HostLease":
        """Return the lease after the confirmation of a renewal sent at `sent_at`.

        Notes
        -----
        Answers can arrive out of order; an older one never shortens the lease.
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
        """Return the lease extended by the promises of all other hosts of the zone."""
        return replace(self, valid_until=max(until, self.valid_until))

    def without_registration(self) -> "HostLease":
        """Return an invalid lease, after another host deposed this incarnation."""
        return HostLease.from_times(self.times)
