"""Gateway that forwards callers' requests to targets, on each host of a fleet."""

from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway.callers._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway.callers._dialect import BadRequest, Dialect
from swifttide_daemon.gateway.callers._http_fields import (
    Fields,
    all_values,
    end_to_end,
    first_value,
)
from swifttide_daemon.gateway.http._connection_pool import ConnectionPool
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Conflict,
    HistoryLost,
    Put,
    RowKey,
    Rows,
    SharedStore,
    StoredRow,
    Transaction,
    Unavailable,
)
from swifttide_daemon.gateway.targets._target_answer import (
    AnswerHead,
    MayHaveRun,
    NotRun,
    TargetFailure,
)

__all__ = [
    "AnswerHead",
    "Applied",
    "BadRequest",
    "CallerRequest",
    "Condition",
    "Conflict",
    "ConnectionPool",
    "Dialect",
    "Fields",
    "GatewaySettings",
    "HistoryLost",
    "MayHaveRun",
    "NotRun",
    "Put",
    "RowKey",
    "Rows",
    "SharedStore",
    "StoredRow",
    "TargetFailure",
    "Transaction",
    "TurnTerms",
    "Unavailable",
    "all_values",
    "end_to_end",
    "first_value",
]
