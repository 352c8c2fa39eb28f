"""The configuration in force at this host, kept current on one thread."""

import logging
import threading
import time
from collections.abc import Callable, Iterable

import msgspec

from swifttide_core.configuration import Change, ConfigState
from swifttide_core.documents import (
    Customer,
    DocumentKind,
    KeyGrant,
    Profile,
    Target,
)
from swifttide_daemon.configuration._rows import (
    CONFIG_TABLE,
    DOCUMENTS_TABLE,
    HEAD_KEY,
    LOG_TABLE,
    change_of,
    log_key,
)
from swifttide_daemon.settings import Settings
from swifttide_daemon.store import PlatformClient

log = logging.getLogger(__name__)

LOG_PAGE_ROWS = 500


class ConfigService:
    """Polls the head row, takes in the log, and learns from peers.

    Parameters
    ----------
    platform : PlatformClient
    poll_seconds : float
        Pause between looks at the head row.
    max_stale_seconds : float
        How long keys are believed without knowing that no edit was missed.

    Attributes
    ----------
    fresh_at : float
        Monotonic seconds at which this host last knew that it missed nothing.
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
        self._lock = threading.Lock()
        self._listeners: list[Callable[[list[Change]], None]] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @classmethod
    def from_settings(
        cls, settings: Settings, platform: PlatformClient
    ) -> "ConfigService":
        """Return a service that isn't started yet."""
        cfg = settings.config
        return cls(platform, cfg.poll_seconds, cfg.max_stale_seconds)

    def start(self) -> None:
        """Keep the configuration current from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()

    def add_listener(self, listener: Callable[[list[Change]], None]) -> None:
        """Call `listener` with each batch of changes."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version in force here."""
        return self.state.version

    def profile(self, name: str) -> Profile | None:
        """Return a profile by name."""
        return self.state.get(DocumentKind.PROFILE, name)

    def customer(self, name: str) -> Customer | None:
        """Return a customer by name."""
        return self.state.get(DocumentKind.CUSTOMER, name)

    def key(self, key_hash: str) -> KeyGrant | None:
        """Return a key's grant, unless it was withdrawn."""
        grant = self.state.get(DocumentKind.KEY, key_hash)
        return None if grant is None or grant.withdrawn else grant

    def targets(self) -> list[Target]:
        """Return all targets, leaving ones included."""
        return self.state.all(DocumentKind.TARGET)

    def changes_after(self, version: int) -> list[Change]:
        """Return what a host of an older version misses."""
        with self._lock:
            return self.state.latest_changes_after(version)

    def apply_peer_changes(self, version: int, changes: list[Change]) -> None:
        """Take in what a peer of a later version has."""
        with self._lock:
            news = [c for c in changes if c.version > self.state.version]
            self.state.load(version, changes)
        self._notify_listeners(news)

    def confirm_fresh(self, version: int, at: float) -> None:
        """Note that `version` was the newest of all at monotonic time `at`."""
        if version <= self.state.version:
            self.fresh_at = max(self.fresh_at, at)

    def fresh_age(self) -> float:
        """Return the seconds since this host knew that it missed no edit."""
        return time.monotonic() - self.fresh_at

    def is_stale(self) -> bool:
        """Return whether edits may have been missed for longer than is allowed.

        A zone that is cut off serves on with the keys that it knows; a key that was
        withdrawn elsewhere must not work there for good.
        """
        return self.fresh_age() > self.max_stale_seconds

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Take in entries of the platform's log."""
        with self._lock:
            news = self.state.apply(changes)
        self._notify_listeners(news)

    def refresh(self) -> bool:
        """Look at the platform once; return whether this host is up to date."""
        asked_at = time.monotonic()
        head = self.platform.read(CONFIG_TABLE, HEAD_KEY)
        if head.is_error():
            return False
        version = head.ok.value["version"] if head.ok else 0
        if version > self.state.version and not self._catch_up(version):
            return False
        if version < self.state.version:
            # The store answers from an older state; what is in force here stays.
            log.warning("the platform answered with an older configuration")
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
            self.apply_changes([change_of(row) for row in rows.ok])
            if self.state.version == before:
                return False
        return True

    def _load(self, version: int) -> bool:
        rows = self.platform.scan(DOCUMENTS_TABLE)
        if rows.is_error():
            return False
        changes = [change_of(row) for row in rows.ok]
        with self._lock:
            self.state.load(version, changes)
        self._notify_listeners(changes)
        return True

    def _notify_listeners(self, news: list[Change]) -> None:
        if not news:
            return
        for listener in self._listeners:
            listener(news)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.refresh()
            except (msgspec.MsgspecError, KeyError):
                # A row that can't be decoded must not stop the polling: the next
                # edit may repair it.
                log.exception("a configuration row can't be read")
            self._stop.wait(self.poll_seconds)
