"""Decodes the document of a change that another process wrote."""

import msgspec

from swifttide_core.checks import InvalidFields
from swifttide_core.configuration._change import Change
from swifttide_core.documents import (
    Customer,
    Document,
    DocumentKind,
    KeyGrant,
    Profile,
    Target,
    check_ranges,
)

DOCUMENT_TYPES: dict[DocumentKind, type] = {
    DocumentKind.PROFILE: Profile,
    DocumentKind.CUSTOMER: Customer,
    DocumentKind.KEY: KeyGrant,
    DocumentKind.TARGET: Target,
}

MAX_VERSION = 2**53
"""Highest version that any reader of JSON keeps exactly."""


def check_version(version: object) -> int:
    """Return a version of the configuration; raises `ValueError` if it is none."""
    if type(version) is int and 0 <= version <= MAX_VERSION:
        return version
    raise ValueError("got a version that isn't a whole number from 0")


def decode_document(change: Change) -> Document | None:
    """Return the document of a change, None if it was removed.

    Members that are unknown to this version are ignored, as hosts of a newer version
    may write them.

    Raises
    ------
    ValueError
        The document can't be used, whatever it holds.
    """
    check_version(change.version)
    if change.document is None:
        return None
    try:
        document = msgspec.convert(change.document, DOCUMENT_TYPES[change.kind])
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(f"got an unusable document ({exc})") from exc
    checked = check_ranges(document)
    if checked.is_error():
        InvalidFields.raise_for(checked.error)
    return document
