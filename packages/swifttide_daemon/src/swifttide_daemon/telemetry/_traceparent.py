"""Parsing and writing of the W3C ``traceparent`` header.

References
----------
W3C Recommendation "Trace Context", section 3.2, version 00.
"""

import re
from dataclasses import dataclass

_HEADER_PATTERN = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?"
)
_SAMPLED_FLAG = 0x01


@dataclass(frozen=True, slots=True)
class TraceParent:
    """Trace and parent span of a request.

    Parameters
    ----------
    trace_id : int
        Id of the trace, 128 bits, not zero.
    span_id : int
        Id of the caller's span, 64 bits, not zero.
    sampled : bool
        Whether the caller records the trace.
    """

    trace_id: int
    span_id: int
    sampled: bool

    @classmethod
    def from_header(cls, value: str) -> "TraceParent | None":
        """Parse a header; return None if it is invalid.

        An invalid header starts a new trace and does not make the request fail.
        """
        found = _HEADER_PATTERN.fullmatch(value)
        if found is None:
            return None
        version, trace_id, span_id, flags, rest = found.groups()
        if version == "ff" or (version == "00" and rest):
            return None
        if int(trace_id, 16) == 0 or int(span_id, 16) == 0:
            return None
        sampled = bool(int(flags, 16) & _SAMPLED_FLAG)
        return cls(int(trace_id, 16), int(span_id, 16), sampled)

    def to_header(self) -> str:
        """Return the header in version 00 of the format."""
        flags = _SAMPLED_FLAG if self.sampled else 0
        return f"00-{self.trace_id:032x}-{self.span_id:016x}-{flags:02x}"
