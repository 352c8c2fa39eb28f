"""Keeps the configuration in force on this host current.

One thread polls the configuration's head row on the platform and applies new entries
of the log of edits. While the platform is unreachable, the host receives changes from
peers. A host that can't confirm for too long that it has missed no edit considers its
configuration stale.
"""

import logging
import threading
from collections.abc import Callable, Iterable

from swifttide_core.configuration import (
    Change,
    ConfigState,
    check_version,
    decode_document,
)
from swifttide_core.documents import (
    Customer,
    DocumentKind,
    KeyGrant,
    Profile,
    Target,
)
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.configuration._rows import (
    CONFIG_TABLE,
    DOCUMENTS_TABLE,
    HEAD_KEY,
    LOG_TABLE,
    change_of,
    doc_key,
    log_key,
)
from swifttide_daemon.settings import Settings
from swifttide_daemon.store import PlatformClient, Row, UnusableRows

log = logging.getLogger(__name__)

LOG_PAGE_ROWS = 500


class ConfigService:
    """Holds the current configuration, updated from the platform and from peers.

    Parameters
    ----------
    platform : PlatformClient
    poll_seconds : float
        Pause between two reads of the head row.
    max_stale_seconds : float
        Time after the last confirmation that no edit was missed, from which the
        configuration is stale and API keys are no longer accepted.

    Attributes
    ----------
    fresh_at : float
        Time, in monotonic seconds, at which this host is last known to have had the
        newest version.
    """

    def __init__(
        self,
        platform: PlatformClient,
        poll_seconds: float,
        max_stale_seconds: float,
    ) -> None:
        self.max_stale_seconds = max_stale_seconds
        self.platform = platform
        self.poll_seconds = poll_seconds
        self.state = ConfigState()
        self.fresh_at = float("-inf")
        self._unusable = UnusableRows()
        self._lock = threading.Lock()
        self._listeners: list[Callable[[list[Change]], None]] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @classmethod
    def from_settings(
        cls, settings: Settings, platform: PlatformClient
    ) -> "ConfigService":
        """Return a service that hasn't been started."""
        cfg = settings.config
        return cls(platform, cfg.poll_seconds, cfg.max_stale_seconds)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()

    def add_listener(self, listener: Callable[[list[Change]], None]) -> None:
        """Register a callback that is called with each list of applied changes."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the configuration in force on this host."""
        return self.state.version

    def profile(self, name: str) -> Profile | None:
        """Return a profile by name, or None if there is none."""
        return self.state.get(DocumentKind.PROFILE, name)

    def customer(self, name: str) -> Customer | None:
        """Return a customer by name, or None if there is none."""
        return self.state.get(DocumentKind.CUSTOMER, name)

    def key(self, key_hash: str) -> KeyGrant | None:
        """Return the grant of an API key, or None if it is unknown or withdrawn."""
        grant = self.state.get(DocumentKind.KEY, key_hash)
        return None if grant is None or grant.withdrawn else grant

    def customers(self) -> list[str]:
        """Return the names of all customers."""
        return [doc.name for doc in self.state.all(DocumentKind.CUSTOMER)]

    def targets(self) -> list[Target]:
        """Return all targets, including those that are being removed."""
        return self.state.all(DocumentKind.TARGET)

    def changes_after(self, version: int) -> list[Change]:
        """Return the changes that a host with an older version lacks."""
        with self._lock:
            return self.state.latest_changes_after(version)

    def apply_peer_changes(self, version: int, changes: list[Change]) -> None:
        """Apply the changes received from a peer that has a newer version.

        A change that can't be used is left out, as it is in the platform's rows.
        """
        check_version(version)
        changes = [c for c in changes if self._is_usable(c)]
        with self._lock:
            new_changes = [c for c in changes if c.version > self.state.version]
            self.state.load(version, changes)
        self._notify_listeners(new_changes)

    def confirm_fresh(self, version: int, at: float) -> None:
        """Record that `version` was the newest version at monotonic time `at`.

        Ignored if `version` is newer than the version of this host.
        """
        if version <= self.state.version:
            self.fresh_at = max(self.fresh_at, at)

    def fresh_age(self) -> float:
        """Return the seconds since this host last knew that it had missed no edit."""
        return elapsed_seconds() - self.fresh_at

    def is_stale(self) -> bool:
        """Return whether edits may have been missed for more than the allowed time.

        An isolated zone continues to serve requests with the API keys that it knows. A
        key that was withdrawn elsewhere must not remain valid there indefinitely.
        """
        return self.fresh_age() > self.max_stale_seconds

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply entries of the platform's log of edits."""
        with self._lock:
            new_changes = self.state.apply(changes)
        self._notify_listeners(new_changes)

    def refresh(self) -> bool:
        """Poll the platform once; return whether this host has the newest version."""
        asked_at = elapsed_seconds()
        head = self.platform.read(CONFIG_TABLE, HEAD_KEY)
        if head.is_error():
            return False
        version = self._head_version(head.ok)
        if version is None:
            return False
        if version > self.state.version and not self._catch_up(version):
            return False
        if version < self.state.version:
            # The store returned an older state; this host keeps its newer version.
            log.warning("the platform returned an older configuration version")
            return False
        self.confirm_fresh(version, asked_at)
        return True

    def _catch_up(self, version: int) -> bool:
        if self.state.version == 0:
            return self._load(version)
        while self.state.version < version:
            before = self.state.version
            rows = self.platform.scan(
                LOG_TABLE, after=log_key(before), limit=LOG_PAGE_ROWS
            )
            if rows.is_error():
                return False
            changes = self._unusable.decode(LOG_TABLE, rows.ok, _usable_change)
            if len(changes) < len(rows.ok):
                # The documents themselves show what the log's odd entry doesn't.
                return self._load(version)
            self.apply_changes(changes)
            if self.state.version == before:
                return False
        return True

    def _load(self, version: int) -> bool:
        rows = self.platform.scan(DOCUMENTS_TABLE)
        if rows.is_error():
            return False
        changes = self._unusable.decode(DOCUMENTS_TABLE, rows.ok, _usable_change)
        with self._lock:
            new_changes = self.state.load(version, changes)
        self._notify_listeners(new_changes)
        return True

    def _head_version(self, head: Row | None) -> int | None:
        """Return the version of the head row, None if the row can't be used."""
        if head is None:
            return 0
        found = self._unusable.decode(
            CONFIG_TABLE, [head], lambda row: check_version(row.value["version"])
        )
        return found[0] if found else None

    def _is_usable(self, change: Change) -> bool:
        try:
            decode_document(change)
        except ValueError as exc:
            place = doc_key(change.kind, change.name)
            self._unusable.report(DOCUMENTS_TABLE, place, exc)
            return False
        return True

    def _notify_listeners(self, new_changes: list[Change]) -> None:
        if not new_changes:
            return
        for listener in self._listeners:
            listener(new_changes)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.refresh()
            except Exception:
                # Whatever a row holds, the next edit must be heard of.
                log.exception("the configuration can't be read")
            self._stop.wait(self.poll_seconds)


def _usable_change(row: Row) -> Change:
    """Decode a change whose document can be used; raises an exception otherwise."""
    change = change_of(row)
    decode_document(change)
    return change
