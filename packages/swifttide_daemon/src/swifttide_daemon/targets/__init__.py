"""Targets: selection, admission to their queues, and requests to them.

Model engines and plain services are targets. The host that holds a target's slot keeps
its queue; all hosts ask it for admission before they send a call.
"""

from swifttide_daemon.targets._engine_client import EngineClient
from swifttide_daemon.targets._engine_events import (
    EngineDone,
    EngineText,
    TargetFailure,
)
from swifttide_daemon.targets._grant_client import MAX_POLL_SECONDS, GrantClient
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
from swifttide_daemon.targets._target_selector import TargetSelector

__all__ = [
    "MAX_POLL_SECONDS",
    "AcquireAnswer",
    "AcquireRequest",
    "EngineClient",
    "EngineDone",
    "EngineText",
    "GrantClient",
    "QueueService",
    "ReleaseRequest",
    "RenewRequest",
    "WithdrawRequest",
    "ServiceAnswer",
    "ServiceClient",
    "TargetSelector",
    "TargetFailure",
    "not_holder",
]
