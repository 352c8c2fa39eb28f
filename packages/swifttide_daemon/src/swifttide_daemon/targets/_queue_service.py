"""The queues of the targets whose slots this host holds."""

import logging
import threading
import time
from typing import Any

from expression import Error, Ok, Result

from swifttide_core.admission import LoadReport
from swifttide_core.configuration import Change
from swifttide_core.documents import DocumentKind, Target, TargetKind
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.targets._engine_client import EngineClient
from swifttide_daemon.targets._queue_keeper import QueueKeeper

log = logging.getLogger(__name__)

TICK_SECONDS = 0.5
NOT_HOLDER_SECONDS = 0.2


class QueueService:
    """Queues by target, made when they are first asked for.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    engines : EngineClient
        Asked for load reports.
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        engines: EngineClient,
    ) -> None:
        self.membership = membership
        self.config = config
        self.engines = engines
        self._keepers: dict[str, tuple[int, QueueKeeper]] = {}
        self._token_bytes: dict[str, float] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        config.add_listener(self._on_changes)

    def start(self) -> None:
        """Let the queues' time pass from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the clock of the queues."""
        self._stop.set()

    def keeper(self, name: str) -> Result[QueueKeeper, Refusal]:
        """Return a target's queue, if this host holds the target's slot."""
        epoch = self.membership.epoch(SlotKind.TARGET, name)
        if epoch is None:
            return Error(not_holder("target"))
        target = self.config.state.get(DocumentKind.TARGET, name)
        if target is None:
            return Error(Refusal(Reason.NO_TARGET, f"no target {name!r}"))
        with self._lock:
            known = self._keepers.get(name)
            # Under another epoch the queue may have been elsewhere in between, and
            # its grants are no longer the whole truth.
            if known is None or known[0] != epoch:
                known = self._keepers[name] = (epoch, QueueKeeper.from_target(target))
            return Ok(known[1])

    def lengths(self) -> dict[str, int]:
        """Return the calls that wait, by target."""
        return {name: keeper.n_queued() for name, keeper in self._held()}

    def end_program(self, target: str, program: str) -> None:
        """Count a program's memory at a target as free."""
        with self._lock:
            known = self._keepers.get(target)
        if known is not None:
            known[1].end_program(program)

    def note_token_bytes(self, target: str, n_bytes: float) -> None:
        """Note the bytes of a target's memory that a token takes."""
        self._token_bytes[target] = n_bytes

    def _held(self) -> list[tuple[str, QueueKeeper]]:
        with self._lock:
            return [(name, keeper) for name, (_, keeper) in self._keepers.items()]

    def _run(self) -> None:
        while not self._stop.wait(TICK_SECONDS):
            for name, keeper in self._held():
                try:
                    if self.membership.epoch(SlotKind.TARGET, name) is None:
                        self._drop(name)
                        continue
                    self._report_load(name, keeper)
                    keeper.tick()
                except Exception:
                    # One odd target must not stop the queues of the others.
                    log.exception("queue step failed", extra={"target": name})

    def _drop(self, name: str) -> None:
        """Forget a queue that another host keeps now; those who wait ask there."""
        with self._lock:
            self._keepers.pop(name, None)

    def _report_load(self, name: str, keeper: QueueKeeper) -> None:
        target = self.config.state.get(DocumentKind.TARGET, name)
        if target is None or target.kind is not TargetKind.ENGINE:
            return
        load = self.engines.load(target)
        if load is not None:
            # Reports carry no time of measurement; they count as just measured.
            now = time.monotonic()
            keeper.report_load(self._report(name, load, now))

    def _report(self, name: str, load: dict[str, Any], now: float) -> LoadReport:
        token_bytes = self._token_bytes.get(name)
        capacity = 0.0
        if token_bytes:
            capacity = load["cache_capacity_bytes"] / token_bytes
        return LoadReport(now, load["running"], load["waiting"], capacity)

    def _on_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if change.kind is not DocumentKind.TARGET:
                continue
            target = self.config.state.get(DocumentKind.TARGET, change.name)
            known = self._keepers.get(change.name)
            if isinstance(target, Target) and known is not None:
                known[1].set_target(target)


def not_holder(what: str) -> Refusal:
    """Return the refusal of a peer's call that belongs to another host."""
    return Refusal(
        Reason.NOT_HOLDER,
        f"this host doesn't hold the {what}'s slot",
        retry_after_seconds=NOT_HOLDER_SECONDS,
    )
