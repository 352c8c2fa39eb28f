"""Observability of a host: logs, metrics and traces."""

from swifttide_daemon.telemetry._event_log import EventLog
from swifttide_daemon.telemetry._masking import mask_keys
from swifttide_daemon.telemetry._metrics import Metrics
from swifttide_daemon.telemetry._non_blocking_handler import NonBlockingHandler
from swifttide_daemon.telemetry._span import Span
from swifttide_daemon.telemetry._telemetry import Telemetry
from swifttide_daemon.telemetry._tracer import Tracer

__all__ = [
    "EventLog",
    "Metrics",
    "NonBlockingHandler",
    "Span",
    "Telemetry",
    "Tracer",
    "mask_keys",
]
