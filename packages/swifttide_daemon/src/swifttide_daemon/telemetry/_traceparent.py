"""The W3C trace context header.

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
    """Place of a request in its trace.

    Parameters
    ----------
    trace_id : int
        128 bits, not zero.
    span_id : int
        64 bits of the caller's span, not zero.
    sampled : bool
        Whether the caller records the trace.
    """

    trace_id: int
    span_id: int
    sampled: bool

    @classmethod
    def from_header(cls, value: str) -> "TraceParent | None":
        """Parse a header; None when it doesn't follow the standard.

        A wrong header starts a new trace instead of failing the request.
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
        """Return the header of version 00."""
        flags = _SAMPLED_FLAG if self.sampled else 0
        return f"00-{self.trace_id:032x}-{self.span_id:016x}-{flags:02x}"
