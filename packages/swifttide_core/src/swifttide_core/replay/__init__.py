"""Replay of recorded traces against their stated outcomes.

A daemon records what happened to calls and turns: how each began, each event that the
core's machine was told, and what the machine asked for. Replayed, the same events must
lead to the same actions, and over the whole trace no call may run twice and no turn
may be answered from two chunks.
"""

from swifttide_core.replay._difference import Difference
from swifttide_core.replay._encoding import encode_start, encode_step
from swifttide_core.replay._machine import CALL_MACHINE, TURN_MACHINE, StateMachine
from swifttide_core.replay._replay import ReplayResult, replay_lines
from swifttide_core.replay._trace_line import Outcome, TraceLine

__all__ = [
    "CALL_MACHINE",
    "TURN_MACHINE",
    "Difference",
    "Outcome",
    "ReplayResult",
    "StateMachine",
    "TraceLine",
    "encode_start",
    "encode_step",
    "replay_lines",
]
