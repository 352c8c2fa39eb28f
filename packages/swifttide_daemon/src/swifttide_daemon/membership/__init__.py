"""Cluster membership: this host's lease and slots, and the hosts of each zone.

A slot is one of the fixed number of hash partitions of a zone's keys. The host that
holds a slot decides for all keys in it. A host may hold slots only while its lease,
a row in the platform's store, is valid.
"""

from swifttide_daemon.membership._lease_keeper import LeaseKeeper
from swifttide_daemon.membership._moved_slots import MovedSlots
from swifttide_daemon.membership._outage_service import (
    OutageService,
    PromiseAnswer,
    PromiseRequest,
)
from swifttide_daemon.membership._rows import HOSTS, SLOTS, ZONE_HEADS
from swifttide_daemon.membership._service import MembershipService
from swifttide_daemon.membership._zone_view import ZoneView

__all__ = [
    "HOSTS",
    "LeaseKeeper",
    "MembershipService",
    "MovedSlots",
    "OutageService",
    "PromiseAnswer",
    "PromiseRequest",
    "SLOTS",
    "ZONE_HEADS",
    "ZoneView",
]
