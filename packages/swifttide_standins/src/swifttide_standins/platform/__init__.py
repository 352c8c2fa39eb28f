"""Stand-in for the platform: tables with transactions, objects, the host list."""

from swifttide_standins.platform._app import platform_app
from swifttide_standins.platform._fault import PlatformFault, PlatformFaultMode
from swifttide_standins.platform._host_list import HostList
from swifttide_standins.platform._store import Store
from swifttide_standins.platform._transaction import Check, Transaction, Write

__all__ = [
    "Check",
    "HostList",
    "PlatformFault",
    "PlatformFaultMode",
    "Store",
    "Transaction",
    "Write",
    "platform_app",
]
