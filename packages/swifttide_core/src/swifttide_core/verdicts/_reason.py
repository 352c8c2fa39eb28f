"""Reasons for which a request is refused or fails."""

from enum import StrEnum


class Reason(StrEnum):
    """Machine-readable reason in a problem body, stable across versions."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    BUDGET = "budget"
    OUT_OF_ORDER = "out_of_order"
    KEY_REUSED = "key_reused"
    CRASHES_TARGETS = "crashes_targets"
    PROGRAM_ENDED = "program_ended"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    NOT_HOLDER = "not_holder"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    INTERNAL = "internal"
