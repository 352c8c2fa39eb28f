"""Faults that the engine and the plain service share."""

from swifttide_standins.faults._fault import Fault, FaultMode
from swifttide_standins.faults._switch import FaultSwitch

__all__ = ["Fault", "FaultMode", "FaultSwitch"]
