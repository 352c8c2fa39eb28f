"""What the holder of a program does with its calls."""

from swifttide_daemon.runners._call_runner import CallRunner
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._chat_runner import ChatRunner
from swifttide_daemon.runners._crash_detector import CrashDetector
from swifttide_daemon.runners._generator import Generator
from swifttide_daemon.runners._model_loader import ModelLoader
from swifttide_daemon.runners._placement import Placer
from swifttide_daemon.runners._retry_budgets import RetryBudgets
from swifttide_daemon.runners._service_runner import ServiceRunner, must_not_repeat
from swifttide_daemon.runners._service_sender import ServiceSender
from swifttide_daemon.runners._unrecorded_calls import UnrecordedCalls

__all__ = [
    "CallRunner",
    "ChatBody",
    "ChatRunner",
    "CrashDetector",
    "Generator",
    "ModelLoader",
    "Placer",
    "RetryBudgets",
    "ServiceRunner",
    "ServiceSender",
    "UnrecordedCalls",
    "must_not_repeat",
]
