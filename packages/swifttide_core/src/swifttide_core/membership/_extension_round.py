"""Request to all hosts of a zone for the extension of a lease.

Decides from the answers whether a host may extend its lease while the platform is
unavailable. The module `_depose_delay` describes the protocol.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from swifttide_core.membership._extension_times import ExtensionTimes
from swifttide_core.membership._host_lease import HostLease
from swifttide_core.membership._promise import PlatformSeen, Promise


@dataclass(frozen=True, slots=True)
class ExtensionRound:
    """Answers to one request for an extension.

    Parameters
    ----------
    sent_at : float
        Monotonic time BEFORE the first request was sent, in seconds.
    asked : frozenset of str
        All other hosts of the zone that are not known to be dead.
    promised : frozenset of str
        Hosts that promised in this round.
    seconds : float
        Duration of the shortest promise.
    relay_hosts : frozenset of str
        Hosts that reach the platform and can relay the renewal.
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
        """Return a round without answers."""
        return cls(now, frozenset(hosts), seconds=times.promise_seconds)

    def with_answer(self, answer: Promise | PlatformSeen) -> "ExtensionRound":
        """Return the round with another answer."""
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
        """Return the lease, extended if all hosts promised while it was valid.

        Notes
        -----
        An expired lease is not revived. Between its expiry and the promises, a host
        that reached the platform may have deposed this host and then failed without
        notifying any other host.
        """
        if not self.is_unanimous or not lease.is_valid(now):
            return lease
        margin = lease.times.drift_margin_seconds
        until = self.sent_at + self.seconds - margin
        # Clocks drift during the whole outage, not only during the last promise.
        drift = margin * times.max_extension_seconds / lease.times.lease_seconds
        limit = lease.renewal_sent_at + times.max_extension_seconds - drift
        return lease.with_extension(min(until, limit))
