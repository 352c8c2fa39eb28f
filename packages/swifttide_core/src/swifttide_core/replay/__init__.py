"""Replays recorded traces through the state machines of calls and turns.

A daemon records a trace of its calls and turns. For each of them, called a run, the
trace holds the arguments that its state machine started with, every event that the
machine received, and the actions that the machine returned. The replay feeds the same
events to the installed version and reports where its actions differ from the recorded
ones. It also checks two invariants over the whole trace: no call runs twice, and no
turn is answered from two different chunks.
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
