"""Header fields of the print office's callers and targets."""

from swifttide_daemon.gateway import (
    AnswerHead,
    BadRequest,
    CallerRequest,
    Fields,
    TurnTerms,
    end_to_end,
    first_value,
)

ATTEMPT = b"swifttide-attempt-id"
DEADLINE = b"swifttide-deadline-ms"
EXPECTED_TARGET = b"swifttide-expect-instance"
CUSTOMER = b"swifttide-tenant"
TOKENS = b"swifttide-token-usage"
PROMPT_PARTS = b"swifttide-prompt-prefix"
LENGTH_HINT = b"swifttide-length-hint"
SUBJECT = b"swifttide-affinity-key"
PROGRAM = b"swifttide-program-id"
LINE = b"swifttide-session-id"
PROGRAM_DEADLINE = b"swifttide-program-deadline-ms"
BUDGET = b"swifttide-token-budget"
PREVIOUS = b"swifttide-previous-turn"
STAMP = b"swifttide-server-stamp"
NOT_RUN = b"swifttide-not-executed"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"

SET_BY_US = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        DEADLINE,
        EXPECTED_TARGET,
        CUSTOMER,
        LAST_EVENT,
        b"swifttide-expect-version",
        b"swifttide-hold",
        b"swifttide-pin-ms",
        b"swifttide-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
"""Fields that a caller can't pass to a target: they are left out or set anew."""

MAX_ID_LENGTH = 200

MAX_NUMBER_LENGTH = 15
"""Most digits of a whole number; every JSON parser represents it exactly."""


class PrintOfficeDialect:
    """Translates header fields both ways."""

    def read_request(
        self, method: str, target: bytes, fields: Fields, body: bytes, now: float
    ) -> CallerRequest:
        """Decode a caller's request; raises `BadRequest`."""
        attempt = _text(fields, ATTEMPT)
        if not attempt:
            raise BadRequest("attempt_id_expected")
        host = _text(fields, b"host").rpartition(":")
        name = host[0] if host[0] and host[2].isdigit() else "".join(host)
        prompt, most = _token_usage(fields)
        patience = _milliseconds(fields, DEADLINE)
        return CallerRequest(
            id=attempt,
            method=method,
            target=target,
            host=name.lower(),
            fields=fields,
            body=body,
            received_at=now,
            api_key=_key(fields),
            timeout_seconds=patience,
            program_seconds_left=_milliseconds(fields, PROGRAM_DEADLINE),
            subject=_subject(fields),
            prompt_tokens=prompt,
            turn=TurnTerms(
                program=_text(fields, PROGRAM),
                branch=_text(fields, LINE),
                budget_tokens=_number(fields, BUDGET),
                max_tokens=most,
                previous=_text(fields, PREVIOUS),
            ),
            last_event_id=_optional_number(fields, LAST_EVENT),
            resumed_attempt=_text(fields, RESUMES),
            length_hint=_hint(first_value(fields, LENGTH_HINT)),
            prefix_tokens=_prefix_tokens(fields),
        )

    def read_answer(self, status: int, fields: Fields) -> AnswerHead:
        """Decode the head of a target's answer."""
        return AnswerHead(
            status=status,
            fields=fields,
            attempt=_answered_attempt(fields),
            stamp=first_value(fields, STAMP) or b"",
            # 421 comes from another process at the address, without the field.
            not_run=first_value(fields, NOT_RUN) is not None or status == 421,
            idle_seconds=_keep_alive(fields),
        )

    def target_fields(
        self,
        req: CallerRequest,
        customer: str,
        target_id: str,
        seconds_left: float,
        resume_after: int | None,
        body_bytes: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields with which a request goes to a target."""
        passed = [(n, v) for n, v in end_to_end(req.fields) if n not in SET_BY_US]
        milliseconds = max(1, int(seconds_left * 1000))
        passed.append((DEADLINE, str(milliseconds).encode()))
        passed.append((EXPECTED_TARGET, target_id.encode()))
        if customer:
            passed.append((CUSTOMER, customer.encode()))
        after = req.last_event_id if resume_after is None else resume_after
        if after is not None:
            passed.append((LAST_EVENT, str(after).encode()))
        if body_bytes or req.method in ("POST", "PUT", "PATCH"):
            passed.append((b"content-length", str(body_bytes).encode()))
        return passed

    def answer_fields(self, head: AnswerHead) -> list[tuple[bytes, bytes]]:
        """Return the header fields with which an answer goes to the caller."""
        return [(n, v) for n, v in end_to_end(head.fields) if n != b"content-length"]

    def refusal_fields(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of an answer of our own."""
        fields = [(b"Content-Type", b"text/plain")]
        if request_id:
            fields.append((ATTEMPT, request_id.encode()))
        if retry_after is not None:
            fields.append((b"Retry-After", f"{retry_after:.3f}".encode()))
        return fields


def _answered_attempt(fields) -> str:
    """Return the attempt that a target says to answer, which may be any bytes."""
    return (first_value(fields, ATTEMPT) or b"").decode("latin-1").strip()


def _text(fields, name) -> str:
    value = first_value(fields, name)
    if value is None:
        return ""
    if len(value) > MAX_ID_LENGTH and name != b"host":
        raise BadRequest(f"{name.decode()}_too_long")
    return value.decode("latin-1").strip()


def _number(fields, name) -> int:
    return _optional_number(fields, name) or 0


def _optional_number(fields, name) -> int | None:
    text = _text(fields, name)
    if not text:
        return None
    if not _is_number(text):
        raise BadRequest(f"{name.decode()}_not_a_number")
    return int(text)


def _is_number(text) -> bool:
    # `str.isdigit` also takes digits that `int` doesn't, such as superscripts.
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_LENGTH


def _milliseconds(fields, name) -> float | None:
    text = _text(fields, name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        raise BadRequest(f"{name.decode()}_not_a_number") from None
    if not 0 <= value < 1e12:
        raise BadRequest(f"{name.decode()}_out_of_range")
    return value / 1000.0


def _token_usage(fields) -> tuple[int, int]:
    """Return the tokens of the prompt and the most that are generated."""
    text = _text(fields, TOKENS)
    if not text:
        return 0, 0
    numbers = [n.strip() for n in text.split(",")]
    if len(numbers) != 2 or not all(_is_number(n) for n in numbers):
        raise BadRequest("token_usage_not_two_numbers")
    return int(numbers[0]), int(numbers[1])


def _key(fields) -> str:
    scheme, _, key = _text(fields, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _subject(fields) -> str:
    """Return what targets keep in memory for this request.

    Programs whose prompts begin with the same part find it where it was read last, and
    so do the lines of a program, which begin with the prompt that they branched off
    from. A request without parts names its subject, or the line that it belongs to.
    """
    first, _, _ = (first_value(fields, PROMPT_PARTS) or b"").partition(b",")
    part, _, _ = first.partition(b":")
    return part.decode("latin-1") or _text(fields, SUBJECT) or _text(fields, LINE)


def _hint(value) -> int:
    """Return a number that only improves estimates; 0 if it is absent or unreadable."""
    text = (value or b"").strip()
    return int(text) if text.isdigit() and len(text) <= 9 else 0


def _prefix_tokens(fields) -> int:
    """Return the tokens of the first part of the prompt; 0 if not stated."""
    first, _, _ = (first_value(fields, PROMPT_PARTS) or b"").partition(b",")
    _, _, tokens = first.rpartition(b":")
    return _hint(tokens) if b":" in first else 0


def _keep_alive(fields) -> float | None:
    for item in (first_value(fields, b"keep-alive") or b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
