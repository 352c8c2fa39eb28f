"""Kinds of documents that operators edit."""

from enum import StrEnum


class DocumentKind(StrEnum):
    """What a document describes; the values are part of the rows' keys."""

    PROFILE = "profile"
    CUSTOMER = "customer"
    KEY = "key"
    TARGET = "target"
