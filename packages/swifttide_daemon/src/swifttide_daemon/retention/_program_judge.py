"""Decision whether listed programs are gone, paused or active, at their holder.

The inputs are the stored rows of the programs and the times of their last calls at this
host.
"""

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
"""Profile for programs whose own profile no longer exists."""

ROW_READ_INTERVAL_SECONDS = 1.5
"""Least interval between reads of a program's row, over all engines that list it."""

LOCAL_ROW_READ_INTERVAL_SECONDS = 15.0
"""Least interval between reads of the row of a program that this host serves.

This host knows when such a program last ran; the row only shows whether another host
has ended it. With 12,000 programs, reads at the shorter interval would be twice what
the platform can serve.
"""

ROW_CACHE_SECONDS = 60.0
"""Time after the last read at which a cached row is dropped."""


@dataclass(frozen=True, slots=True)
class _CachedRow:
    """A program's row as last read, and since when its version is unchanged."""

    row: ProgramRow | None
    unchanged_since: float
    read_at: float


class ProgramJudge:
    """Classifies programs by their rows and by their last calls at this host.

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
        """Return the state of programs whose slots this host holds.

        Programs whose row can't be read are left out.
        """
        now = time.monotonic()
        found = (self._judge(name, now) for name in programs)
        return tuple(judgement for judgement in found if judgement is not None)

    def evict_unlisted(self) -> None:
        """Drop cached rows of programs that no engine has listed for a while."""
        limit = time.monotonic() - ROW_CACHE_SECONDS
        with self._lock:
            seen = self._cached_rows
            self._cached_rows = {n: s for n, s in seen.items() if s.read_at > limit}

    def _judge(self, name: str, now: float) -> Judgement | None:
        customer, root, program = name.split("/", 2)
        active = self.book.last_active_at(customer, root, program)
        max_age_seconds = (
            ROW_READ_INTERVAL_SECONDS
            if active is None
            else LOCAL_ROW_READ_INTERVAL_SECONDS
        )
        seen = self._read_row(name, customer, program, now, max_age_seconds)
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
            upper_pause_seconds=self.book.pauses.upper_bound_seconds(
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
        # A changed version of the row shows that the program ran, here or elsewhere. A
        # program without a committed turn has no row; its idle time starts now.
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
