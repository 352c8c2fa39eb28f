"""Validation of a configuration document before it is accepted.

The command line tool validates a document before it sends an edit, and the daemon
validates it again before it stores the edit. Without the second validation, a document
that the hosts can't decode could reach every host.
"""

from typing import Any

from expression import Error, Ok, Result

from swifttide_core.checks import (
    FieldError,
    check_between,
    check_each,
    check_key_hash,
    check_name,
    check_url_by_ip,
    decode_fields,
    format_value,
)
from swifttide_core.documents._customer import Customer
from swifttide_core.documents._document_kind import DocumentKind
from swifttide_core.documents._key_grant import KeyGrant
from swifttide_core.documents._profile import Profile
from swifttide_core.documents._target import Target

Document = Profile | Customer | KeyGrant | Target

MAX_PROFILE_DURATION_SECONDS = 86_400.0
"""Upper bound of most durations in a profile. A longer duration is most likely given in
the wrong unit."""

MAX_BUDGET_TOKENS = 1_000_000_000
MAX_TURNS = 100_000
MAX_CALLS = 1_000_000
MAX_PROGRAM_SECONDS = 30 * MAX_PROFILE_DURATION_SECONDS
MAX_RATE_PER_SECOND = 1_000_000.0
MAX_WEIGHT = 1000.0
MIN_WEIGHT = 0.001
MAX_URGENCY = 100
MAX_CONCURRENCY = 100_000

_CLASS_BY_KIND: dict[DocumentKind, type] = {
    DocumentKind.PROFILE: Profile,
    DocumentKind.CUSTOMER: Customer,
    DocumentKind.KEY: KeyGrant,
    DocumentKind.TARGET: Target,
}


def check_document(
    kind: DocumentKind | str, raw: Any
) -> Result[Document, tuple[FieldError, ...]]:
    """Decode a document and check the ranges of its fields.

    Wrong types and unknown fields are errors.

    Parameters
    ----------
    kind : DocumentKind or str
        Kind of the document.
    raw : object
        Document as decoded JSON.

    Returns
    -------
    Result
        The document, or every error with its path, got and expected value.
    """
    if kind not in _CLASS_BY_KIND:
        expected = "one of " + ", ".join(DocumentKind)
        return Error((FieldError("kind", format_value(str(kind)), expected),))
    decoded = decode_fields(_CLASS_BY_KIND[DocumentKind(kind)], raw)
    return decoded.bind(check_ranges)


def document_name(kind: DocumentKind | str, document: Document) -> str:
    """Return the name that a document must be stored under."""
    match document:
        case KeyGrant(key_hash=key_hash):
            return key_hash
        case Profile(name=name) | Customer(name=name) | Target(name=name):
            return name
    raise TypeError(f"got {type(document).__name__}, expected a {kind} document")


def check_ranges(document: Document) -> Result[Document, tuple[FieldError, ...]]:
    """Check the ranges of a decoded document's fields."""
    match document:
        case Profile():
            errors = _check_profile(document)
        case Customer():
            errors = _check_customer(document)
        case KeyGrant():
            errors = _check_key_grant(document)
        case Target():
            errors = _check_target(document)
    return Error(errors) if errors else Ok(document)


def _check_profile(doc: Profile) -> tuple[FieldError, ...]:
    seconds = (
        ("deadline_seconds", doc.deadline_seconds),
        ("turn_timeout_seconds", doc.turn_timeout_seconds),
        ("idle_seconds", doc.idle_seconds),
        ("tool_pause_seconds", doc.tool_pause_seconds),
    )
    errors = [
        *check_name("name", doc.name),
        *check_each("customers", doc.customers, check_name),
        *check_name("model", doc.model),
        *check_each("services", doc.services, check_name),
        *check_each("never_repeat", doc.never_repeat, _check_call_prefix),
        *check_between("budget_tokens", doc.budget_tokens, 1, MAX_BUDGET_TOKENS),
        *check_between("max_turns", doc.max_turns, 1, MAX_TURNS),
        *check_between("max_calls", doc.max_calls, 1, MAX_CALLS),
        *check_between(
            "max_program_seconds", doc.max_program_seconds, 1.0, MAX_PROGRAM_SECONDS
        ),
        *check_between("max_turn_tokens", doc.max_turn_tokens, 1, doc.budget_tokens),
        *check_between("weight", doc.weight, MIN_WEIGHT, MAX_WEIGHT),
        *check_between("urgency", doc.urgency, 0, MAX_URGENCY),
    ]
    for name, value in seconds:
        errors += check_between(
            name, value, 0.0 if "pause" in name else 0.1, MAX_PROFILE_DURATION_SECONDS
        )
    return tuple(errors)


def _check_call_prefix(path: str, value: str) -> tuple[FieldError, ...]:
    """Check a ``service/path`` prefix of calls that must run at most once.

    A prefix that no call can match would silently leave a call, such as a charge,
    repeatable.
    """
    service, _, rest = value.partition("/")
    printable = rest.isascii() and rest.isprintable() and " " not in rest
    if not check_name(path, service) and printable and not rest.startswith("/"):
        return ()
    return (FieldError(path, format_value(value), 'a "service/path" prefix'),)


def _check_customer(doc: Customer) -> tuple[FieldError, ...]:
    return (
        *check_name("name", doc.name),
        *check_between("rate_per_second", doc.rate_per_second, 0, MAX_RATE_PER_SECOND),
        *check_between("burst", doc.burst, 1, MAX_RATE_PER_SECOND),
    )


def _check_key_grant(doc: KeyGrant) -> tuple[FieldError, ...]:
    errors = check_key_hash("key_hash", doc.key_hash)
    if doc.operator and doc.customer:
        got = format_value(doc.customer)
        return (*errors, FieldError("customer", got, "no customer for an operator key"))
    if doc.operator:
        return errors
    return (*errors, *check_name("customer", doc.customer))


def _check_target(doc: Target) -> tuple[FieldError, ...]:
    return (
        *check_name("name", doc.name),
        *check_name("zone", doc.zone),
        *check_url_by_ip("url", doc.url),
        *check_name("serves", doc.serves),
        *check_between("max_concurrency", doc.max_concurrency, 1, MAX_CONCURRENCY),
    )
