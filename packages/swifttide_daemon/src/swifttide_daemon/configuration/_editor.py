"""Writes operators' edits of the configuration to the platform.

An edit is one transaction. It is conditional on the versions of the configuration's
head row and of the edited document, so that concurrent edits can't overwrite each
other.
"""

from typing import Any

from expression import Error, Ok, Result

from swifttide_core.configuration import Change
from swifttide_core.documents import DocumentKind
from swifttide_daemon.configuration._edit import (
    Accepted,
    EditOutcome,
    OutdatedVersion,
    UnknownOutcome,
)
from swifttide_daemon.configuration._rows import (
    CONFIG_TABLE,
    DOCUMENTS_TABLE,
    HEAD_KEY,
    LOG_TABLE,
    change_of,
    change_value,
    doc_key,
    log_key,
)
from swifttide_daemon.store import (
    Check,
    Committed,
    Conflict,
    PlatformClient,
    PlatformError,
    Row,
    Transaction,
    Write,
)

MAX_COMMIT_ATTEMPTS = 50
"""Attempts to commit an edit before it is reported as failed.

An attempt fails if an edit of another document is committed in the meantime, because
all edits write the head row.
"""


class ConfigEditor:
    """Writes edits of documents to the platform.

    Parameters
    ----------
    platform : PlatformClient
    """

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    def edit(
        self,
        kind: DocumentKind,
        name: str,
        document: dict[str, Any] | None,
        base_version: int | None,
        operator: str,
    ) -> EditOutcome:
        """Commit one edit, repeated while edits of other documents interfere.

        Parameters
        ----------
        kind, name : DocumentKind, str
            Kind and name of the document to edit.
        document : dict or None
            New content, already validated; None removes the document.
        base_version : int or None
            Version of the document that the operator has read, 0 if there was none.
            None edits the document regardless of its version.
        operator : str
            Name of the operator, recorded in the history of edits.

        Returns
        -------
        EditOutcome
            Whether the edit was committed, rejected as outdated, or has an unknown
            outcome.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            seen = self._read(kind, name)
            if seen.is_error():
                return UnknownOutcome(may_have_committed=False)
            head, doc = seen.ok
            current = change_of(doc) if doc else None
            current_version = current.version if current else 0
            if base_version is not None and base_version != current_version:
                return OutdatedVersion(
                    current_version, current.document if current else None
                )
            version = (head.value["version"] if head else 0) + 1
            change = Change(version, kind, name, document, operator)
            outcome = self.platform.commit(_transaction(change, head, doc))
            if outcome.is_error():
                return UnknownOutcome(outcome.error.may_have_committed)
            match outcome.ok:
                case Committed():
                    return Accepted(version)
                case Conflict():
                    continue
        return UnknownOutcome(may_have_committed=False)

    def _read(
        self, kind: DocumentKind, name: str
    ) -> Result[tuple[Row | None, Row | None], PlatformError]:
        head = self.platform.read(CONFIG_TABLE, HEAD_KEY)
        if head.is_error():
            return head
        doc = self.platform.read(DOCUMENTS_TABLE, doc_key(kind, name))
        if doc.is_error():
            return Error(doc.error)
        return Ok((head.ok, doc.ok))


def _transaction(change: Change, head: Row | None, doc: Row | None) -> Transaction:
    key = doc_key(change.kind, change.name)
    value = change_value(change)
    return Transaction(
        checks=(
            Check(CONFIG_TABLE, HEAD_KEY, head.version if head else 0),
            Check(DOCUMENTS_TABLE, key, doc.version if doc else 0),
        ),
        writes=(
            Write(CONFIG_TABLE, HEAD_KEY, {"version": change.version}),
            Write(DOCUMENTS_TABLE, key, value),
            Write(LOG_TABLE, log_key(change.version), value),
        ),
    )
