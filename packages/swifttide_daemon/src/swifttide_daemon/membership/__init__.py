"""Lease and slots of this host, and its view of the zones."""

from swifttide_daemon.membership._lease_keeper import LeaseKeeper
from swifttide_daemon.membership._moved_slots import MovedSlots
from swifttide_daemon.membership._outage_service import (
    OutageService,
    PromiseAnswer,
    PromiseRequest,
)
from swifttide_daemon.membership._service import MembershipService
from swifttide_daemon.membership._zone_view import ZoneView

__all__ = [
    "LeaseKeeper",
    "MembershipService",
    "MovedSlots",
    "OutageService",
    "PromiseAnswer",
    "PromiseRequest",
    "ZoneView",
]
