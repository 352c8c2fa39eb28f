"""Configuration documents that operators edit: profiles, customers, keys, targets."""

from swifttide_core.documents._check_document import (
    Document,
    check_document,
    check_ranges,
    document_name,
)
from swifttide_core.documents._customer import Customer
from swifttide_core.documents._document_kind import DocumentKind
from swifttide_core.documents._history_mode import HistoryMode
from swifttide_core.documents._key_grant import KeyGrant
from swifttide_core.documents._profile import Profile
from swifttide_core.documents._target import Target, TargetKind

__all__ = [
    "Customer",
    "Document",
    "DocumentKind",
    "HistoryMode",
    "KeyGrant",
    "Profile",
    "Target",
    "TargetKind",
    "check_document",
    "check_ranges",
    "document_name",
]
