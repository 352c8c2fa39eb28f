"""Admission queues of the targets whose slots this host holds.

A queue is created at the first request for its target after the slot was claimed, and
removed when the slot is lost. Every `TICK_INTERVAL_SECONDS`, a thread reads the load
reports of the engines and expires grants.
"""

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
from swifttide_daemon.targets._queue_manager import QueueManager

log = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS = 0.5
NOT_HOLDER_RETRY_SECONDS = 0.2


class QueueService:
    """Creates, updates and removes the queues of targets.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    engines : EngineClient
        Reads the load reports.
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
        self._managers: dict[str, tuple[int, QueueManager]] = {}
        self._token_bytes: dict[str, float] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        config.add_listener(self._on_config_changes)

    def start(self) -> None:
        """Start the thread that updates the queues."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that updates the queues."""
        self._stop.set()

    def manager(self, name: str) -> Result[QueueManager, Refusal]:
        """Return the queue of a target, or a refusal if this host lacks its slot."""
        epoch = self.membership.epoch(SlotKind.TARGET, name)
        if epoch is None:
            return Error(not_holder("target"))
        target = self.config.state.get(DocumentKind.TARGET, name)
        if target is None:
            return Error(Refusal(Reason.NO_TARGET, f"unknown target {name!r}"))
        with self._lock:
            known = self._managers.get(name)
            # With another epoch, another host may have kept the queue in between and
            # issued grants that are unknown here.
            if known is None or known[0] != epoch:
                known = self._managers[name] = (epoch, QueueManager.from_target(target))
            return Ok(known[1])

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued calls by target."""
        return {name: manager.n_queued() for name, manager in self._queues()}

    def end_program(self, target: str, program: str) -> None:
        """Count the cache of a program at a target as free."""
        with self._lock:
            known = self._managers.get(target)
        if known is not None:
            known[1].end_program(program)

    def set_token_bytes(self, target: str, n_bytes: float) -> None:
        """Set the bytes of cache that one token takes at a target."""
        self._token_bytes[target] = n_bytes

    def _queues(self) -> list[tuple[str, QueueManager]]:
        with self._lock:
            return [(name, manager) for name, (_, manager) in self._managers.items()]

    def _run(self) -> None:
        while not self._stop.wait(TICK_INTERVAL_SECONDS):
            for name, manager in self._queues():
                try:
                    if self.membership.epoch(SlotKind.TARGET, name) is None:
                        self._remove_queue(name)
                        continue
                    self._report_load(name, manager)
                    manager.tick()
                except Exception:
                    # An error for one target must not stop the others.
                    log.exception(
                        "update of the target's queue failed", extra={"target": name}
                    )

    def _remove_queue(self, name: str) -> None:
        """Remove a queue that another host keeps now; its calls ask that host."""
        with self._lock:
            self._managers.pop(name, None)

    def _report_load(self, name: str, manager: QueueManager) -> None:
        target = self.config.state.get(DocumentKind.TARGET, name)
        if target is None or target.kind is not TargetKind.ENGINE:
            return
        load = self.engines.load(target)
        if load is not None:
            # Load reports have no timestamp and are treated as current.
            now = time.monotonic()
            manager.report_load(self._load_report(name, load, now))

    def _load_report(self, name: str, load: dict[str, Any], now: float) -> LoadReport:
        token_bytes = self._token_bytes.get(name)
        capacity = 0.0
        if token_bytes:
            capacity = load["cache_capacity_bytes"] / token_bytes
        return LoadReport(now, load["running"], load["waiting"], capacity)

    def _on_config_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if change.kind is not DocumentKind.TARGET:
                continue
            target = self.config.state.get(DocumentKind.TARGET, change.name)
            known = self._managers.get(change.name)
            if isinstance(target, Target) and known is not None:
                known[1].set_target(target)


def not_holder(what: str) -> Refusal:
    """Return the refusal of a request for a slot that another host holds."""
    return Refusal(
        Reason.NOT_HOLDER,
        f"this host does not hold the {what} slot",
        retry_after_seconds=NOT_HOLDER_RETRY_SECONDS,
    )
