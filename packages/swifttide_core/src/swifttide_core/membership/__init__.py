"""Membership of hosts in a zone: their leases, and the slots that they hold."""

from swifttide_core.membership._depose_delay import depose_delay_seconds
from swifttide_core.membership._extension_round import ExtensionRound
from swifttide_core.membership._extension_times import ExtensionTimes
from swifttide_core.membership._host_lease import HostLease
from swifttide_core.membership._host_row import HostRow, HostState
from swifttide_core.membership._lease_monitor import LeaseMonitor, ring_successors
from swifttide_core.membership._lease_times import LeaseTimes
from swifttide_core.membership._promise import PlatformSeen, Promise
from swifttide_core.membership._promise_state import PromiseState
from swifttide_core.membership._slot_plan import (
    assign_slots,
    is_held,
    plan_claims,
    plan_handovers,
)
from swifttide_core.membership._slot_row import SlotRow

__all__ = [
    "ExtensionRound",
    "ExtensionTimes",
    "PlatformSeen",
    "Promise",
    "PromiseState",
    "assign_slots",
    "depose_delay_seconds",
    "HostLease",
    "HostRow",
    "HostState",
    "LeaseTimes",
    "LeaseMonitor",
    "SlotRow",
    "is_held",
    "plan_claims",
    "plan_handovers",
    "ring_successors",
]
