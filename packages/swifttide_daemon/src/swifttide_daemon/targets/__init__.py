"""Targets: choice, admission, and the calls themselves."""

from swifttide_daemon.targets._engine_client import EngineClient
from swifttide_daemon.targets._engine_events import (
    EngineDone,
    EngineText,
    TargetFailure,
)
from swifttide_daemon.targets._grant_book import POLL_SECONDS, GrantBook
from swifttide_daemon.targets._messages import (
    AcquireAnswer,
    AcquireRequest,
    ReleaseRequest,
    RenewRequest,
    WithdrawRequest,
)
from swifttide_daemon.targets._queue_service import QueueService, not_holder
from swifttide_daemon.targets._service_answer import ServiceAnswer
from swifttide_daemon.targets._service_client import ServiceClient
from swifttide_daemon.targets._target_board import TargetBoard

__all__ = [
    "POLL_SECONDS",
    "AcquireAnswer",
    "AcquireRequest",
    "EngineClient",
    "EngineDone",
    "EngineText",
    "GrantBook",
    "QueueService",
    "ReleaseRequest",
    "RenewRequest",
    "WithdrawRequest",
    "ServiceAnswer",
    "ServiceClient",
    "TargetBoard",
    "TargetFailure",
    "not_holder",
]
