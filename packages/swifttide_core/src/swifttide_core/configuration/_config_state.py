"""The configuration as a host knows it, only ever going forward.

The platform's store can answer a read from an older state (a replica that lags, a
restored copy), and a peer can know less than this host. Believing either would bring
back a withdrawn key. A document is therefore replaced only by a change of a higher
version, and the known version never falls.
"""

from collections.abc import Iterable

import msgspec

from swifttide_core.configuration._change import Change
from swifttide_core.documents import (
    Customer,
    Document,
    DocumentKind,
    KeyGrant,
    Profile,
    Target,
)

DOCUMENT_TYPES: dict[DocumentKind, type] = {
    DocumentKind.PROFILE: Profile,
    DocumentKind.CUSTOMER: Customer,
    DocumentKind.KEY: KeyGrant,
    DocumentKind.TARGET: Target,
}


class ConfigState:
    """Documents by kind and name, with the version of each.

    Attributes
    ----------
    version : int
        Every change up to this version is known here.
    """

    def __init__(self) -> None:
        self.version = 0
        self._changes: dict[tuple[DocumentKind, str], Change] = {}
        self._documents: dict[DocumentKind, dict[str, Document]] = {
            kind: {} for kind in DocumentKind
        }

    def apply(self, changes: Iterable[Change]) -> list[Change]:
        """Take in log entries in version order; stop at a gap.

        Returns
        -------
        list of Change
            Entries that were news.
        """
        news = []
        for change in sorted(changes, key=lambda c: c.version):
            if change.version <= self.version:
                continue
            if change.version != self.version + 1:
                break
            self.version = change.version
            if self._apply_if_newer(change):
                news.append(change)
        return news

    def load(self, version: int, changes: Iterable[Change]) -> None:
        """Take in the newest change of every document, read after head `version`.

        Notes
        -----
        Documents may already be newer than the head that was read before them; the
        log entries from `version` on then change nothing.
        """
        if version < self.version:
            return
        for change in changes:
            self._apply_if_newer(change)
        self.version = version

    def get(self, kind: DocumentKind, name: str) -> Document | None:
        """Return a document, or None."""
        return self._documents[kind].get(name)

    def all(self, kind: DocumentKind) -> list[Document]:
        """Return the documents of a kind, by name."""
        return [doc for _, doc in sorted(self._documents[kind].items())]

    def latest_change(self, kind: DocumentKind, name: str) -> Change | None:
        """Return the newest change of a document, removals included."""
        return self._changes.get((kind, name))

    def latest_changes_after(self, version: int) -> list[Change]:
        """Return the newest change of each document that is later than `version`.

        With the known version they bring any host of an older one up to date, however
        far behind it is.
        """
        changes = self._changes.values()
        return sorted(
            (change for change in changes if change.version > version),
            key=lambda change: change.version,
        )

    def latest_changes_of_kind(self, kind: DocumentKind) -> list[Change]:
        """Return the newest change of each document of a kind that exists."""
        return [
            change
            for (of_kind, _), change in sorted(self._changes.items())
            if of_kind is kind and change.document is not None
        ]

    def _apply_if_newer(self, change: Change) -> bool:
        """Keep a change unless the document is already as new."""
        place = (change.kind, change.name)
        known = self._changes.get(place)
        if known is not None and known.version >= change.version:
            return False
        self._changes[place] = change
        of_kind = dict(self._documents[change.kind])
        if change.document is None:
            of_kind.pop(change.name, None)
        else:
            of_kind[change.name] = msgspec.convert(
                change.document, DOCUMENT_TYPES[change.kind]
            )
        # Readers run on other threads; they see the old map or the new one.
        self._documents[change.kind] = of_kind
        return True
