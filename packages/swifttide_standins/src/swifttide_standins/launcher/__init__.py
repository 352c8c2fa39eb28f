"""Development tool that starts stand-ins and daemons as processes on loopback.

The product's own programs start no process; this tool is never installed on hosts.
"""

from swifttide_standins.launcher._fleet import Fleet
from swifttide_standins.launcher._fleet_plan import FleetPlan
from swifttide_standins.launcher._launcher import Launcher
from swifttide_standins.launcher._managed_process import ManagedProcess
from swifttide_standins.launcher._operator import EditRefused, Operator, hash_key

__all__ = [
    "EditRefused",
    "Fleet",
    "FleetPlan",
    "Launcher",
    "ManagedProcess",
    "Operator",
    "hash_key",
]
