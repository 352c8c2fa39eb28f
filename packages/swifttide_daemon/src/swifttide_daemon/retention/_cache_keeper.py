"""Engine memory of programs that are gone.

An engine's cache events are late and have gaps, hosts die between a program's end and
the release of its cache, and silent programs say nothing at all. What holds is the
engine's own listing: the holder of a target reads it now and then, asks the
holders of the listed programs which of them are gone, and orders the release again
and again until the listing shows it. Nothing has to be remembered for that, so a
successor needs nothing from its predecessor.
"""

import logging
import threading
import time
from dataclasses import dataclass

from swifttide_core.documents import DocumentKind, Profile, Target, TargetKind
from swifttide_core.programs import ProgramRow, ProgramState
from swifttide_core.slots import SlotKind
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.programs import ProgramBook
from swifttide_daemon.targets import EngineClient

log = logging.getLogger(__name__)

RECONCILE_SECONDS = 3.0
DEFAULT_IDLE_SECONDS = 300.0
"""For programs whose profile is gone."""


@dataclass(frozen=True, slots=True)
class _Seen:
    """A program whose row this host has read, and since when it is unchanged."""

    row_version: int
    since: float
    looked_at: float
    profile: str = ""


class CacheKeeper:
    """Reconciles engines' listings with the programs that still run.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    book : ProgramBook
    engines : EngineClient
    peers : PeerClient
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        book: ProgramBook,
        engines: EngineClient,
        peers: PeerClient,
    ) -> None:
        self.membership = membership
        self.config = config
        self.book = book
        self.engines = engines
        self.peers = peers
        self.held_bytes: dict[str, int] = {}
        self._seen: dict[str, _Seen] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Reconcile from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Reconcile no more."""
        self._stop.set()

    def gone(self, programs: list[str]) -> dict[str, int]:
        """Return which of these programs are gone, with their fencing numbers.

        Parameters
        ----------
        programs : list of str
            ``customer/root/program``, of roots whose slots this host holds.
        """
        now = time.monotonic()
        found = {}
        for name in programs:
            fencing = self._gone_since(name, now)
            if fencing is not None:
                found[name] = fencing
        return found

    def _run(self) -> None:
        while not self._stop.wait(RECONCILE_SECONDS):
            for target in self.config.targets():
                if target.kind is not TargetKind.ENGINE:
                    continue
                if self.membership.epoch(SlotKind.TARGET, target.name) is None:
                    continue
                try:
                    self._reconcile(target)
                except Exception:
                    # One odd listing must not keep the memory of other engines.
                    log.exception("reconciling failed", extra={"target": target.name})
            self._forget_old()
            self.book.trim()

    def _reconcile(self, target: Target) -> None:
        listing = self.engines.cache(target)
        if listing is None:
            return
        self.held_bytes[target.name] = sum(listing.values())
        by_holder: dict[str, list[str]] = {}
        for program in listing:
            customer, _, rest = program.partition("/")
            root, _, leaf = rest.partition("/")
            if not leaf:
                continue
            holder = self.membership.holder(SlotKind.PROGRAM, f"{customer}/{root}")
            if holder is not None:
                by_holder.setdefault(holder.host, []).append(program)
        for host, programs in by_holder.items():
            for program, fencing in self._ask(host, programs).items():
                self.engines.release(target, program, fencing)

    def _ask(self, host: str, programs: list[str]) -> dict[str, int]:
        if host == self.membership.me.host:
            return self.gone(programs)
        row = self.membership.view.hosts.get(host)
        if row is None:
            return {}
        answer = self.peers.call(
            row.peer_url, "POST", "/peer/v1/programs/gone", {"programs": programs}
        )
        return answer.ok["gone"] if answer.is_ok() else {}

    def _gone_since(self, name: str, now: float) -> int | None:
        """Return a program's fencing number if it is gone, else None."""
        customer, root, program = name.split("/", 2)
        active = self.book.active_since(customer, root, program)
        seen = self._seen.get(name)
        if seen is None or now - seen.looked_at >= RECONCILE_SECONDS / 2:
            row = self.book.store.read(customer, program)
            if row.is_error():
                return None
            if row.ok is None:
                return self._without_row(name, active, now)
            if row.ok.state is ProgramState.ENDED:
                return row.ok.version
            seen = self._note(name, row.ok, seen, now)
        idle = self._idle_seconds(seen.profile)
        last = max(seen.since, active or 0.0)
        return seen.row_version if now - last >= idle else None

    def _without_row(self, name: str, active: float | None, now: float) -> int | None:
        """Judge a first turn that hasn't been committed, or that never will be."""
        seen = self._seen.setdefault(name, _Seen(0, now, now))
        last = max(seen.since, active or 0.0)
        return 0 if now - last >= DEFAULT_IDLE_SECONDS else None

    def _note(
        self, name: str, row: ProgramRow, seen: _Seen | None, now: float
    ) -> _Seen:
        """Note the row's version; a change shows that the program ran, here or not."""
        unchanged = seen is not None and seen.row_version == row.version
        since = seen.since if unchanged else now
        self._seen[name] = _Seen(row.version, since, now, row.profile)
        return self._seen[name]

    def _idle_seconds(self, profile_name: str) -> float:
        profile = self.config.state.get(DocumentKind.PROFILE, profile_name)
        if isinstance(profile, Profile):
            return profile.idle_seconds
        return DEFAULT_IDLE_SECONDS

    def _forget_old(self) -> None:
        limit = time.monotonic() - 10 * RECONCILE_SECONDS
        self._seen = {n: s for n, s in self._seen.items() if s.looked_at > limit}
