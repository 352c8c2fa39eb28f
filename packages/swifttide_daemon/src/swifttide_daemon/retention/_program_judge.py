"""Which programs are gone, and which are paused, at their holder."""

import threading
import time
from dataclasses import dataclass

from swifttide_core.documents import DocumentKind, Profile
from swifttide_core.programs import ProgramRow, ProgramState
from swifttide_core.retention import PausedProgram
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.programs import ProgramRegistry
from swifttide_daemon.retention._messages import Judgement

DEFAULT_PROFILE = Profile("")
"""For programs whose profile is gone."""

ROW_READ_INTERVAL_SECONDS = 1.5
"""A program's row is read at most this often for all engines that list it."""

LOCAL_ROW_READ_INTERVAL_SECONDS = 15.0
"""The same for programs that are served here: this host knows when they last ran, and
the row only tells that another host has ended them. At 12,000 programs, reads at the
shorter interval are twice what the platform takes."""

ROW_CACHE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class _CachedRow:
    """A program's row as last read, and since when its version stands still."""

    row: ProgramRow | None
    unchanged_since: float
    read_at: float


class ProgramJudge:
    """Judges programs by their rows and by the calls that run here.

    Parameters
    ----------
    config : ConfigService
    book : ProgramRegistry
    """

    def __init__(self, config: ConfigService, book: ProgramRegistry) -> None:
        self.config = config
        self.book = book
        self._cached_rows: dict[str, _CachedRow] = {}
        self._lock = threading.Lock()

    def judge(self, programs: tuple[str, ...]) -> tuple[Judgement, ...]:
        """Return what is known of programs whose slots this host holds."""
        now = time.monotonic()
        found = (self._judge(name, now) for name in programs)
        return tuple(judgement for judgement in found if judgement is not None)

    def evict_unlisted(self) -> None:
        """Drop what no engine has listed for a while."""
        limit = time.monotonic() - ROW_CACHE_SECONDS
        with self._lock:
            seen = self._cached_rows
            self._cached_rows = {n: s for n, s in seen.items() if s.read_at > limit}

    def _judge(self, name: str, now: float) -> Judgement | None:
        customer, root, program = name.split("/", 2)
        active = self.book.last_active_at(customer, root, program)
        pause = (
            ROW_READ_INTERVAL_SECONDS
            if active is None
            else LOCAL_ROW_READ_INTERVAL_SECONDS
        )
        seen = self._read_row(name, customer, program, now, pause)
        if seen is None:
            return None
        row = seen.row
        last = max(seen.unchanged_since, active or 0.0)
        version = row.version if row else 0
        if row is not None and row.state is ProgramState.ENDED:
            if program == root:
                self.book.report_ended(customer, root)
            return Judgement(name, version, gone=True)
        profile = self._profile(row)
        if now - last >= profile.idle_seconds:
            return Judgement(name, version, gone=True)
        if row is None or last >= now - ROW_READ_INTERVAL_SECONDS:
            return Judgement(name, version)
        paused = PausedProgram(
            cached_tokens=row.total_tokens,
            upper_pause_seconds=self.book.pauses.upper(
                profile.name, profile.tool_pause_seconds
            ),
            idle_limit_seconds=profile.idle_seconds,
        )
        return Judgement(name, version, paused=paused, paused_seconds=now - last)

    def _read_row(
        self, name: str, customer: str, program: str, now: float, max_age_seconds: float
    ) -> _CachedRow | None:
        with self._lock:
            seen = self._cached_rows.get(name)
        if seen is not None and now - seen.read_at < max_age_seconds:
            return seen
        read = self.book.store.read(customer, program)
        if read.is_error():
            return None
        # A row whose version changes shows that the program ran, here or elsewhere. A
        # first turn that was never committed has no row and counts from now.
        unchanged = seen is not None and _version(seen.row) == _version(read.ok)
        fresh = _CachedRow(read.ok, seen.unchanged_since if unchanged else now, now)
        with self._lock:
            self._cached_rows[name] = fresh
        return fresh

    def _profile(self, row: ProgramRow | None) -> Profile:
        name = row.profile if row else ""
        profile = self.config.state.get(DocumentKind.PROFILE, name)
        return profile if isinstance(profile, Profile) else DEFAULT_PROFILE


def _version(row: ProgramRow | None) -> int:
    return row.version if row else 0
