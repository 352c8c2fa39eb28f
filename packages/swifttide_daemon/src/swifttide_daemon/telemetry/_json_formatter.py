"""Formatting of log records as JSON lines, with credentials masked."""

import logging
from datetime import UTC, datetime

import msgspec

from swifttide_daemon.telemetry._masking import mask_field, mask_keys

FIELDS_ATTRIBUTE = "swifttide_fields"
"""Attribute of a log record that holds the fields of an event."""

_STANDARD_ATTRIBUTES = frozenset(
    {*logging.makeLogRecord({}).__dict__, "message", "taskName", FIELDS_ATTRIBUTE}
)
"""Attributes of every log record; any others were passed as ``extra``."""


class JsonFormatter(logging.Formatter):
    """Formats records of the daemon and of its libraries as JSON lines.

    Parameters
    ----------
    host : str
        Id of the host, written in every line.
    zone : str
        Availability zone of the host, written in every line.
    """

    def __init__(self, host: str, zone: str):
        super().__init__()
        self.host = host
        self.zone = zone

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(
                timespec="milliseconds"
            ),
            "level": record.levelname.lower(),
            "event": mask_keys(record.getMessage()),
            "host": self.host,
            "zone": self.zone,
        }
        if record.name != "swifttide":
            line["logger"] = record.name
        fields = _extra(record) | getattr(record, FIELDS_ATTRIBUTE, {})
        line |= {name: mask_field(name, value) for name, value in fields.items()}
        if record.exc_info and record.exc_info[0]:
            line |= _describe_exception(record.exc_info)
        return msgspec.json.encode(line).decode()


def _extra(record: logging.LogRecord) -> dict[str, object]:
    own = record.__dict__
    return {name: own[name] for name in own if name not in _STANDARD_ATTRIBUTES}


def _describe_exception(exc_info: tuple) -> dict[str, object]:
    """Return type, message and code locations of an exception.

    Of the traceback only function names and line numbers of the eight innermost frames
    are kept, as source lines and reprs may contain confidential values.
    """
    kind, exc, traceback = exc_info
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        places.append(f"{code.co_qualname}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return {
        "error": f"{kind.__name__}: {mask_keys(str(exc))}",
        "places": places[-8:],
    }
