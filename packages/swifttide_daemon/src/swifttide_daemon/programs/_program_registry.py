"""The programs that this host decides for, in memory."""

import threading
import time
from collections.abc import Callable

from expression import Ok, Result

from swifttide_core.admission import ProfileEstimates, call_cost
from swifttide_core.documents import Profile
from swifttide_core.programs import ProgramRow, check_limits
from swifttide_core.retention import PauseEstimator
from swifttide_core.verdicts import Refusal
from swifttide_daemon.calls import Call
from swifttide_daemon.programs._chunk import Chunk, Message
from swifttide_daemon.programs._program_store import ProgramStore
from swifttide_daemon.programs._program_tree import (
    NO_RESERVATION,
    AdvanceReservation,
    ProgramEntry,
    ProgramTree,
)

MAX_CACHED_HISTORY_BYTES = 64 * 1024 * 1024
"""Conversations kept in memory; the rest is read again from the platform's objects."""

TREE_RETENTION_SECONDS = 900.0
"""Silence after which a tree is dropped from memory; the platform has all of it."""


class ProgramRegistry:
    """Trees of programs by their root.

    Parameters
    ----------
    store : ProgramStore
    on_end : callable
        Called with customer, profile and latency in seconds, from the first call
        to the last, when a root program has ended or was silent for long.
    """

    def __init__(
        self, store: ProgramStore, on_end: Callable[[str, str, float], None]
    ) -> None:
        self.store = store
        self.on_end = on_end
        self.pauses = PauseEstimator()
        self.estimates = ProfileEstimates()
        self._trees: dict[str, ProgramTree] = {}
        self._lock = threading.Lock()

    def tree(self, call: Call) -> ProgramTree:
        """Return the tree that a call belongs to."""
        with self._lock:
            return self._trees.setdefault(call.placement_key, ProgramTree())

    def entry(self, call: Call) -> ProgramEntry:
        """Return the program that a call belongs to."""
        tree = self.tree(call)
        with tree.lock:
            entry = tree.programs.setdefault(call.program, ProgramEntry())
            now = time.monotonic()
            if entry.active_at and entry.order.idle:
                self.pauses.observe(call.profile, now - entry.active_at)
            entry.active_at = now
            if not tree.started_at:
                tree.customer, tree.profile = call.customer, call.profile
                tree.started_at = now
            return entry

    def cached_rows(
        self, call: Call, keys: tuple[str, ...]
    ) -> tuple[ProgramRow, ...] | None:
        """Return the rows of a turn if all of them are in memory."""
        tree = self.tree(call)
        with tree.lock:
            if any(key not in tree.rows for key in keys):
                return None
            return tuple(tree.rows[key] for key in keys)

    def cache_rows(self, call: Call, rows: tuple[ProgramRow | None, ...]) -> None:
        """Keep rows as read or written."""
        tree = self.tree(call)
        with tree.lock:
            tree.rows.update({row.key: row for row in rows if row is not None})

    def drop_cached_rows(self, call: Call) -> None:
        """Drop the rows of a tree: another host has written them."""
        tree = self.tree(call)
        with tree.lock:
            tree.rows.clear()

    def take_advance_reservation(self, call: Call) -> AdvanceReservation:
        """Take what an earlier commit left reserved; nobody else gets it."""
        tree = self.tree(call)
        with tree.lock:
            reservation, tree.advance_reservation = (
                tree.advance_reservation,
                NO_RESERVATION,
            )
            return reservation

    def add_advance_reservation(
        self, call: Call, reservation: AdvanceReservation
    ) -> None:
        """Leave tokens reserved for the next turn of the tree.

        What was left under an earlier term is spent, so it is dropped.
        """
        tree = self.tree(call)
        with tree.lock:
            if reservation.term > tree.advance_reservation.term:
                tree.advance_reservation = reservation
            elif reservation.term == tree.advance_reservation.term:
                tokens = tree.advance_reservation.tokens + reservation.tokens
                tree.advance_reservation = AdvanceReservation(tokens, reservation.term)

    def add_unrecorded_tokens(self, call: Call, tokens: int) -> None:
        """Count tokens of a turn that could not be recorded."""
        tree = self.tree(call)
        with tree.lock:
            tree.unrecorded_tokens += tokens

    def take_unrecorded_tokens(self, call: Call) -> int:
        """Take the count of unrecorded tokens, for a commit."""
        tree = self.tree(call)
        with tree.lock:
            tokens, tree.unrecorded_tokens = tree.unrecorded_tokens, 0
            return tokens

    def attained_cost(self, call: Call) -> float:
        """Return what a tree was served, or a lower bound after a takeover."""
        tree = self.tree(call)
        with tree.lock:
            served = sum(entry.attained_cost for entry in tree.programs.values())
            history = sum(row.total_tokens for row in tree.rows.values())
        return max(served, call_cost(history, 0))

    def count_call(self, call: Call, profile: Profile) -> Refusal | None:
        """Count a call of a plain service, or say why it is one too many."""
        tree = self.tree(call)
        with tree.lock:
            root = tree.rows.get(f"{call.customer}/{call.root}")
            known = root or ProgramRow(call.customer, call.root, call.root)
            refusal = check_limits(
                known, profile, time.time(), tree.n_uncommitted_calls
            )
            if refusal is None:
                tree.n_uncommitted_calls += 1
            return refusal

    def uncommitted_calls(self, call: Call) -> int:
        """Return the calls of plain services that no commit has counted."""
        tree = self.tree(call)
        with tree.lock:
            return tree.n_uncommitted_calls

    def subtract_committed_calls(self, call: Call, calls: int) -> None:
        """Take off calls that a commit has counted."""
        tree = self.tree(call)
        with tree.lock:
            tree.n_uncommitted_calls -= calls

    def history(
        self, entry: ProgramEntry, chunks: tuple[str, ...]
    ) -> Result[tuple[Message, ...], Refusal]:
        """Return the conversation of committed turns, reading what isn't in memory."""
        if chunks[: len(entry.chunks)] != entry.chunks:
            entry.chunks, entry.messages = (), ()
        for name in chunks[len(entry.chunks) :]:
            chunk = self.store.chunk(name)
            if chunk.is_error():
                return chunk
            self.cache_turn(entry, name, chunk.ok)
        return Ok(entry.messages)

    def cache_turn(self, entry: ProgramEntry, name: str, chunk: Chunk) -> None:
        """Add a committed turn to the conversation in memory."""
        entry.messages += chunk.conversation()
        entry.chunks += (name,)

    def last_active_at(self, customer: str, root: str, program: str) -> float | None:
        """Return when a program last ran here, now for one that runs, or None."""
        tree = self._trees.get(f"{customer}/{root}")
        entry = tree.programs.get(program) if tree else None
        if entry is None:
            return None
        return entry.active_at if entry.order.idle else time.monotonic()

    def report_ended(self, customer: str, root: str) -> None:
        """Report the latency of a root program that its caller has ended."""
        tree = self._trees.get(f"{customer}/{root}")
        if tree is not None:
            self._report_latency(tree)

    def record_cache_export(
        self, customer: str, root: str, program: str, cache: tuple[str, int]
    ) -> None:
        """Note where a paused program's cache was moved."""
        tree = self._trees.get(f"{customer}/{root}")
        entry = tree.programs.get(program) if tree else None
        if entry is not None:
            entry.exported_cache = cache

    def evict(self) -> None:
        """Drop trees that are silent, and histories beyond what may be kept."""
        limit = time.monotonic() - TREE_RETENTION_SECONDS
        with self._lock:
            before = self._trees
            self._trees = {
                key: tree
                for key, tree in before.items()
                if not tree.idle or tree.active_at > limit
            }
            silent = [before[key] for key in before.keys() - self._trees.keys()]
            trees = sorted(self._trees.values(), key=lambda t: -t.active_at)
        for tree in silent:
            self._report_latency(tree)
        kept = 0
        for tree in trees:
            for entry in tree.programs.values():
                kept += sum(len(m.content) for m in entry.messages)
                if kept > MAX_CACHED_HISTORY_BYTES and entry.order.idle:
                    entry.chunks, entry.messages = (), ()

    def _report_latency(self, tree: ProgramTree) -> None:
        with tree.lock:
            was_reported, tree.is_latency_reported = tree.is_latency_reported, True
        if tree.started_at and not was_reported:
            seconds = tree.active_at - tree.started_at
            longest = max((r.total_tokens for r in tree.rows.values()), default=0)
            self.estimates.observe_program(tree.profile, longest, seconds)
            self.on_end(tree.customer, tree.profile, seconds)
