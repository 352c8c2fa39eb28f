"""Kinds of configuration documents."""

from enum import StrEnum


class DocumentKind(StrEnum):
    """Kind of a document; the values are part of the keys of stored rows."""

    PROFILE = "profile"
    CUSTOMER = "customer"
    KEY = "key"
    TARGET = "target"
