"""Membership: leases of hosts, slots and who holds them."""

from swifttide_core.membership._extension_round import ExtensionRound
from swifttide_core.membership._host_lease import HostLease
from swifttide_core.membership._host_row import HostRow, HostState
from swifttide_core.membership._lease_times import LeaseTimes
from swifttide_core.membership._lease_watch import LeaseWatch, ring_neighbours
from swifttide_core.membership._outage import depose_wait
from swifttide_core.membership._outage_times import OutageTimes
from swifttide_core.membership._promise import PlatformSeen, Promise
from swifttide_core.membership._promise_book import PromiseBook
from swifttide_core.membership._slot_plan import is_held, plan_claims, plan_handovers
from swifttide_core.membership._slot_row import SlotRow

__all__ = [
    "ExtensionRound",
    "OutageTimes",
    "PlatformSeen",
    "Promise",
    "PromiseBook",
    "depose_wait",
    "HostLease",
    "HostRow",
    "HostState",
    "LeaseTimes",
    "LeaseWatch",
    "SlotRow",
    "is_held",
    "plan_claims",
    "plan_handovers",
    "ring_neighbours",
]
