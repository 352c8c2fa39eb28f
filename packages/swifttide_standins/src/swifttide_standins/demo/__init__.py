"""The whole path as separate processes, with a kill, a withdrawal and a stop."""

from swifttide_standins.demo._check import Check
from swifttide_standins.demo._demo_run import DemoRun
from swifttide_standins.demo._findings import Findings

__all__ = ["Check", "DemoRun", "Findings"]
