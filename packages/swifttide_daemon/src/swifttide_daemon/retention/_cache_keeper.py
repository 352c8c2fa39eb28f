"""Release of engine cache that is held by ended, idle and paused programs.

The holder of a target periodically reads the engine's listing of cached programs and
asks the holders of these programs for their state. It orders the release of caches of
programs that are gone, in each round again until the listing no longer contains them.
Caches of long-paused programs are exported or released.

Only the engine's own listing is reliable: its cache events are late and have gaps,
hosts may fail between the end of a program and the release of its cache, and programs
that fall silent send nothing at all. As no state is kept between rounds, a new holder
of the target needs nothing from its predecessor.
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
    decide_retention,
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
"""Limit of release orders to one engine per round.

Without it, a host that takes over slots with thousands of silent programs would delay
the other engines.
"""


class CacheReconciler:
    """Reconciles the cache listings of engines with the programs that still run.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    book : ProgramRegistry
    judge : ProgramJudge
        Reports the state of programs whose slots this host holds.
    engines : EngineClient
    peers : PeerClient
    queues : QueueService
        Notified of released programs and of the bytes of cache per token.
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
        """Start the thread that reconciles periodically."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread before its next round."""
        self._stop.set()

    def record_export(self, exported: ExportedCache) -> None:
        """Record, as the holder of a program, where its cache was exported to."""
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
                    # An unexpected listing of one engine must not prevent the release
                    # of cache at other engines.
                    log.exception("reconciling failed", extra={"target": target.name})
            self.judge.evict_unlisted()
            self.book.evict()

    def _reconcile(self, target: Target) -> None:
        listing = self.engines.cache_bytes(target)
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
        """Export or release caches of programs that have been paused for long."""
        now = time.monotonic()
        for judgement in judgements:
            if judgement.gone or judgement.paused is None:
                continue
            paused = replace(judgement.paused, target_leaving=target.leaving)
            match decide_retention(now - judgement.paused_seconds, self.cfg, paused):
                case Keep(until) if until > now:
                    continue
                case Export():
                    self._export(target, judgement)
                case Keep() | Drop():
                    self._release(target, judgement.program, judgement.fencing)

    def _release(self, target: Target, program: str, fencing: int) -> None:
        if self.engines.release_cache(target, program, fencing):
            self.queues.end_program(target.name, program)

    def _measure_bytes_per_token(
        self, target: Target, listing: dict[str, int], judgements: list[Judgement]
    ) -> None:
        """Estimate the bytes of engine memory per cached token from paused programs."""
        paused = [j for j in judgements if j.paused is not None]
        n_tokens = sum(j.paused.cached_tokens for j in paused)
        n_bytes = sum(listing.get(j.program, 0) for j in paused)
        if n_tokens and n_bytes:
            self.queues.set_token_bytes(target.name, n_bytes / n_tokens)

    def _export(self, target: Target, judgement: Judgement) -> None:
        name = f"cache/{judgement.program}/{judgement.fencing}"
        program, fencing = judgement.program, judgement.fencing
        if not self.engines.export_cache(target, program, name, fencing):
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
        """Return the peer URL of the program's holder, or an empty string.

        The zones are tried in the order of their rank for the program, the home zone
        first.
        """
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
