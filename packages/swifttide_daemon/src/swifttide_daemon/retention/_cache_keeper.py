"""Engine memory of programs that are gone or pause.

An engine's cache events are late and have gaps, hosts die between a program's end and
the release of its cache, and silent programs say nothing at all. What holds is the
engine's own listing: the holder of a target reads it now and then, asks the
holders of the listed programs what became of them, and orders the release again
and again until the listing shows it. Nothing has to be remembered for that, so a
successor needs nothing from its predecessor.
"""

import logging
import threading
import time
from dataclasses import replace

import msgspec

from swifttide_core.documents import Target, TargetKind
from swifttide_core.retention import (
    Drop,
    Export,
    HeldCache,
    Keep,
    RetentionConfig,
    decide,
    release_order,
)
from swifttide_core.slots import SlotKind, ranked_zones
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.programs import ProgramRegistry
from swifttide_daemon.retention._messages import (
    ExportedCache,
    Judgement,
    Judgements,
    ListedPrograms,
)
from swifttide_daemon.retention._program_judge import ProgramJudge
from swifttide_daemon.targets import EngineClient, QueueService

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_SECONDS = 3.0
MAX_RELEASES_PER_ROUND = 200
"""Orders to one engine in one round, so that a host that takes over slots with
thousands of silent programs doesn't hold up the other engines."""


class CacheReconciler:
    """Reconciles engines' listings with the programs that still run.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    book : ProgramRegistry
    judge : ProgramJudge
        For programs whose slots are held here.
    engines : EngineClient
    peers : PeerClient
    queues : QueueService
        Told which programs' memory is free again.
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        book: ProgramRegistry,
        judge: ProgramJudge,
        engines: EngineClient,
        peers: PeerClient,
        queues: QueueService,
    ) -> None:
        self.queues = queues
        self.membership = membership
        self.config = config
        self.book = book
        self.judge = judge
        self.engines = engines
        self.peers = peers
        self.cfg = RetentionConfig()
        self.held_bytes: dict[str, int] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Reconcile from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Reconcile no more."""
        self._stop.set()

    def record_export(self, exported: ExportedCache) -> None:
        """Keep in mind, as a program's holder, where its cache was moved."""
        customer, root, program = exported.program.split("/", 2)
        cache = (exported.name, exported.tokens)
        self.book.record_cache_export(customer, root, program, cache)

    def _run(self) -> None:
        while not self._stop.wait(RECONCILE_INTERVAL_SECONDS):
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
            self.judge.evict_unlisted()
            self.book.evict()

    def _reconcile(self, target: Target) -> None:
        listing = self.engines.cache(target)
        if listing is None:
            return
        self.held_bytes[target.name] = sum(listing.values())
        judgements = self._collect_judgements(tuple(listing))
        self._release_gone(target, listing, judgements)
        self._evict_paused(target, judgements)
        self._measure_bytes_per_token(target, listing, judgements)

    def _release_gone(
        self,
        target: Target,
        listing: dict[str, int],
        judgements: list[Judgement],
    ) -> None:
        gone = {j.program: j for j in judgements if j.gone}
        now = time.monotonic()
        held = (HeldCache(p, target.name, listing[p], True, now) for p in gone)
        for cache in release_order(held)[:MAX_RELEASES_PER_ROUND]:
            fencing = gone[cache.program].fencing
            self._release(target, cache.program, fencing)

    def _evict_paused(self, target: Target, judgements: list[Judgement]) -> None:
        """Take caches of programs that are silent for long out of an engine."""
        now = time.monotonic()
        for judgement in judgements:
            if judgement.gone or judgement.paused is None:
                continue
            paused = replace(judgement.paused, target_leaving=target.leaving)
            match decide(now - judgement.paused_seconds, self.cfg, paused):
                case Keep(until) if until > now:
                    continue
                case Export():
                    self._export(target, judgement)
                case Keep() | Drop():
                    self._release(target, judgement.program, judgement.fencing)

    def _release(self, target: Target, program: str, fencing: int) -> None:
        if self.engines.release(target, program, fencing):
            self.queues.end_program(target.name, program)

    def _measure_bytes_per_token(
        self, target: Target, listing: dict[str, int], judgements: list[Judgement]
    ) -> None:
        """Learn how many bytes of the engine's memory a token takes."""
        paused = [j for j in judgements if j.paused is not None]
        n_tokens = sum(j.paused.cached_tokens for j in paused)
        n_bytes = sum(listing.get(j.program, 0) for j in paused)
        if n_tokens and n_bytes:
            self.queues.note_token_bytes(target.name, n_bytes / n_tokens)

    def _export(self, target: Target, judgement: Judgement) -> None:
        name = f"cache/{judgement.program}/{judgement.fencing}"
        program, fencing = judgement.program, judgement.fencing
        if not self.engines.export(target, program, name, fencing):
            return
        exported = ExportedCache(program, name, judgement.paused.cached_tokens)
        for zone in self._zones_of(program):
            holder = self.membership.holder(
                SlotKind.PROGRAM, _placement_key(program), zone
            )
            if holder is None:
                continue
            if holder.host == self.membership.me.host:
                self.record_export(exported)
            else:
                url = holder.peer_url
                self.peers.call(url, "POST", "/peer/v1/programs/exported", exported)
            break
        self._release(target, program, fencing)

    def _collect_judgements(self, programs: tuple[str, ...]) -> list[Judgement]:
        by_holder: dict[str, list[str]] = {}
        mine: list[str] = []
        for program in programs:
            if program.count("/") < 2:
                continue
            url = self._holder_url(program)
            if url == self.membership.me.peer_url:
                mine.append(program)
            elif url:
                by_holder.setdefault(url, []).append(program)
        found = list(self.judge.judge(tuple(mine)))
        for url, listed in by_holder.items():
            message = ListedPrograms(tuple(listed))
            answer = self.peers.call(url, "POST", "/peer/v1/programs/judge", message)
            if answer.is_ok():
                found.extend(msgspec.convert(answer.ok, Judgements).judgements)
        return found

    def _holder_url(self, program: str) -> str:
        """Return the peers' URL of the program's holder, the home zone's first."""
        for zone in self._zones_of(program):
            holder = self.membership.holder(
                SlotKind.PROGRAM, _placement_key(program), zone
            )
            if holder is not None:
                return holder.peer_url
        return ""

    def _zones_of(self, program: str) -> list[str]:
        return ranked_zones(_placement_key(program), self.membership.zones())


def _placement_key(program: str) -> str:
    """Return the placement key of ``customer/root/program``."""
    return program.rpartition("/")[0]
