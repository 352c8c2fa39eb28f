"""One round of asking all hosts of the zone to let a lease stand."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from swifttide_core.membership._extension_times import ExtensionTimes
from swifttide_core.membership._host_lease import HostLease
from swifttide_core.membership._promise import PlatformSeen, Promise


@dataclass(frozen=True, slots=True)
class ExtensionRound:
    """Answers to one request.

    Parameters
    ----------
    sent_at : float
        Monotonic seconds BEFORE the first request was sent.
    asked : frozenset of str
        Every other host of the zone that isn't known to be dead.
    promised : frozenset of str
        Hosts that promised in this round.
    seconds : float
        Shortest promise of the round.
    relays : frozenset of str
        Hosts that see the platform.
    """

    sent_at: float
    asked: frozenset[str]
    promised: frozenset[str] = frozenset()
    seconds: float = float("inf")
    relay_hosts: frozenset[str] = frozenset()

    @classmethod
    def from_hosts(
        cls, now: float, hosts: Iterable[str], times: ExtensionTimes
    ) -> "ExtensionRound":
        """Return a round that nobody has answered yet."""
        return cls(now, frozenset(hosts), seconds=times.promise_seconds)

    def with_answer(self, answer: Promise | PlatformSeen) -> "ExtensionRound":
        """Return the round with one answer more."""
        match answer:
            case Promise(host, seconds):
                return replace(
                    self,
                    promised=self.promised | {host},
                    seconds=min(self.seconds, seconds),
                )
            case PlatformSeen(host):
                return replace(self, relay_hosts=self.relay_hosts | {host})

    @property
    def is_unanimous(self) -> bool:
        """Whether every host that was asked has promised."""
        return self.asked <= self.promised

    def extend(self, lease: HostLease, now: float, times: ExtensionTimes) -> HostLease:
        """Return the lease, prolonged when all promised while it was in force.

        Notes
        -----
        A lease that has lapsed isn't revived: between the lapse and the promises a
        host that saw the platform may have deposed this one, and may have died since
        without telling anybody.
        """
        if not self.is_unanimous or not lease.is_valid(now):
            return lease
        margin = lease.times.drift_margin_seconds
        until = self.sent_at + self.seconds - margin
        # Clocks drift over the whole outage, not only over the last promise.
        drift = margin * times.max_extension_seconds / lease.times.lease_seconds
        limit = lease.renewal_sent_at + times.max_extension_seconds - drift
        return lease.with_extension(min(until, limit))
