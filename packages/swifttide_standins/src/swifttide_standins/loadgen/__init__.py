"""Load generator: callers that run programs and record what each got."""

from swifttide_standins.loadgen._balancer import Balancer, Endpoint
from swifttide_standins.loadgen._call_record import Attempt, CallRecord
from swifttide_standins.loadgen._call_spec import CallKind, CallSpec
from swifttide_standins.loadgen._client import Client
from swifttide_standins.loadgen._outcome import Answered, Broken, NotConnected, Refused
from swifttide_standins.loadgen._program_plan import ProgramPlan
from swifttide_standins.loadgen._program_record import ProgramRecord
from swifttide_standins.loadgen._program_runner import ProgramRunner

__all__ = [
    "Answered",
    "Attempt",
    "Balancer",
    "Broken",
    "CallKind",
    "CallRecord",
    "CallSpec",
    "Client",
    "Endpoint",
    "NotConnected",
    "ProgramPlan",
    "ProgramRecord",
    "ProgramRunner",
    "Refused",
]
