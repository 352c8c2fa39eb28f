"""State of the configuration at a host, with versions that only increase.

The platform's store can answer a read from an older state (a lagging replica or a
restored backup), and a peer can have an older state than this host. Accepting an older
state would make a withdrawn key valid again. A document is therefore replaced only by a
change with a higher version, and the version of the state never decreases.
"""

from collections.abc import Iterable

from swifttide_core.configuration._change import Change
from swifttide_core.configuration._change_document import decode_document
from swifttide_core.documents import Document, DocumentKind


class ConfigState:
    """Documents by kind and name, with the last change of each.

    Attributes
    ----------
    version : int
        Version up to which all changes have been applied.
    """

    def __init__(self) -> None:
        self.version = 0
        self._changes: dict[tuple[DocumentKind, str], Change] = {}
        self._documents: dict[DocumentKind, dict[str, Document]] = {
            kind: {} for kind in DocumentKind
        }

    def apply(self, changes: Iterable[Change]) -> list[Change]:
        """Apply log entries in the order of their versions, up to the first gap.

        Returns
        -------
        list of Change
            Changes that replaced or removed a document.
        """
        applied = []
        for change in sorted(changes, key=lambda c: c.version):
            if change.version <= self.version:
                continue
            if change.version != self.version + 1:
                break
            self.version = change.version
            if self._apply_if_newer(change):
                applied.append(change)
        return applied

    def load(self, version: int, changes: Iterable[Change]) -> list[Change]:
        """Apply the latest change of every document, read after the head of the log.

        Parameters
        ----------
        version : int
            Version of the head of the log, read before the documents.
        changes : iterable of Change
            Latest change of every document. A lower `version` than that of this
            state means that they come from an older state, so they are ignored.

        Returns
        -------
        list of Change
            Changes that replaced or removed a document.

        Notes
        -----
        A document may already be newer than `version`. The log entries after
        `version` that are applied later then don't change it.
        """
        if version < self.version:
            return []
        applied = [change for change in changes if self._apply_if_newer(change)]
        self.version = version
        return applied

    def get(self, kind: DocumentKind, name: str) -> Document | None:
        """Return a document, or None if it does not exist."""
        return self._documents[kind].get(name)

    def all(self, kind: DocumentKind) -> list[Document]:
        """Return the documents of a kind, sorted by name."""
        return [doc for _, doc in sorted(self._documents[kind].items())]

    def latest_change(self, kind: DocumentKind, name: str) -> Change | None:
        """Return the latest change of a document, which may be its removal."""
        return self._changes.get((kind, name))

    def latest_changes_after(self, version: int) -> list[Change]:
        """Return the latest change of each document if it is later than `version`.

        Together with the version of this state, these changes update a host whose
        state has `version`, however old it is.
        """
        changes = self._changes.values()
        return sorted(
            (change for change in changes if change.version > version),
            key=lambda change: change.version,
        )

    def latest_changes_of_kind(self, kind: DocumentKind) -> list[Change]:
        """Return the latest change of each existing document of a kind."""
        return [
            change
            for (change_kind, _), change in sorted(self._changes.items())
            if change_kind is kind and change.document is not None
        ]

    def _apply_if_newer(self, change: Change) -> bool:
        """Apply a change if it is newer than the document; return whether it was."""
        key = (change.kind, change.name)
        known = self._changes.get(key)
        if known is not None and known.version >= change.version:
            return False
        document = decode_document(change)
        self._changes[key] = change
        documents = dict(self._documents[change.kind])
        if document is None:
            documents.pop(change.name, None)
        else:
            documents[change.name] = document
        # Readers run on other threads. Replacing the dictionary lets them see either
        # the old or the new one, never a partial change.
        self._documents[change.kind] = documents
        return True
