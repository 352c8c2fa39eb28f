"""In-memory state of the programs whose slots this host holds.

The registry caches rows and conversations, and keeps the token reservations and the
counts that no commit has stored yet. Cached rows and conversations that are dropped are
read from the platform again.
"""

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

MAX_CACHED_HISTORY_CHARS = 64 * 1024 * 1024
"""Upper bound of the conversations kept in memory, counted in characters of their
messages. Conversations beyond it are read again from the platform's objects."""

TREE_RETENTION_SECONDS = 900.0
"""Time without calls after which a tree is dropped from memory. The platform stores
the rows and the history."""


class ProgramRegistry:
    """Trees of programs by the customer and id of their root program.

    Parameters
    ----------
    store : ProgramStore
    on_end : callable
        Called with customer, profile and latency when a root program has ended or
        had no call for `TREE_RETENTION_SECONDS`. The latency is the time from the
        first to the last call at this host, in seconds.
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
        """Return the tree of a call's program; it is added if it is missing."""
        with self._lock:
            return self._trees.setdefault(call.placement_key, ProgramTree())

    def entry(self, call: Call) -> ProgramEntry:
        """Return the entry of a call's program and record the call's arrival.

        If no call of the program runs or waits, the time since the last call is
        observed as a pause between turns.
        """
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
        """Return the rows with the given keys if all are in memory, else None."""
        tree = self.tree(call)
        with tree.lock:
            if any(key not in tree.rows for key in keys):
                return None
            return tuple(tree.rows[key] for key in keys)

    def cache_rows(self, call: Call, rows: tuple[ProgramRow | None, ...]) -> None:
        """Cache rows that were read or written; None stands for a missing row."""
        tree = self.tree(call)
        with tree.lock:
            tree.rows.update({row.key: row for row in rows if row is not None})

    def drop_cached_rows(self, call: Call) -> None:
        """Drop the cached rows of a tree, after another host may have changed them."""
        tree = self.tree(call)
        with tree.lock:
            tree.rows.clear()

    def take_advance_reservation(self, call: Call) -> AdvanceReservation:
        """Take the tokens reserved by earlier commits.

        The tokens are removed, so that no other turn takes them too.
        """
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
        """Keep reserved tokens for the next turn of the tree.

        Tokens reserved under an earlier term count as used, so they are dropped.
        """
        tree = self.tree(call)
        with tree.lock:
            if reservation.term > tree.advance_reservation.term:
                tree.advance_reservation = reservation
            elif reservation.term == tree.advance_reservation.term:
                tokens = tree.advance_reservation.tokens + reservation.tokens
                tree.advance_reservation = AdvanceReservation(tokens, reservation.term)

    def add_unrecorded_tokens(self, call: Call, tokens: int) -> None:
        """Add the tokens of a turn that could not be recorded at the platform."""
        tree = self.tree(call)
        with tree.lock:
            tree.unrecorded_tokens += tokens

    def take_unrecorded_tokens(self, call: Call) -> int:
        """Return the number of unrecorded tokens for a commit and reset it to 0."""
        tree = self.tree(call)
        with tree.lock:
            tokens, tree.unrecorded_tokens = tree.unrecorded_tokens, 0
            return tokens

    def attained_cost(self, call: Call) -> float:
        """Return the cost of the service that a tree has received.

        After a takeover this host knows only a part of the cost. The result is then
        a lower bound, from the total tokens in the cached rows.
        """
        tree = self.tree(call)
        with tree.lock:
            served = sum(entry.attained_cost for entry in tree.programs.values())
            history = sum(row.total_tokens for row in tree.rows.values())
        return max(served, call_cost(history, 0))

    def count_call(self, call: Call, profile: Profile) -> Refusal | None:
        """Count a call of a plain service, or return the refusal at a limit."""
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
        """Return the number of calls of plain services that no commit has counted."""
        tree = self.tree(call)
        with tree.lock:
            return tree.n_uncommitted_calls

    def subtract_committed_calls(self, call: Call, calls: int) -> None:
        """Subtract calls that a commit has counted from the uncommitted calls."""
        tree = self.tree(call)
        with tree.lock:
            tree.n_uncommitted_calls -= calls

    def history(
        self, entry: ProgramEntry, chunks: tuple[str, ...]
    ) -> Result[tuple[Message, ...], Refusal]:
        """Return the conversation of committed turns.

        Turns that are not in memory are read from the platform.
        """
        if chunks[: len(entry.chunks)] != entry.chunks:
            entry.chunks, entry.messages = (), ()
        for name in chunks[len(entry.chunks) :]:
            chunk = self.store.chunk(name)
            if chunk.is_error():
                return chunk
            self.cache_turn(entry, name, chunk.ok)
        return Ok(entry.messages)

    def cache_turn(self, entry: ProgramEntry, name: str, chunk: Chunk) -> None:
        """Add a committed turn to the cached conversation."""
        entry.messages += chunk.conversation()
        entry.chunks += (name,)

    def last_active_at(self, customer: str, root: str, program: str) -> float | None:
        """Return the monotonic time of a program's last call, in seconds.

        It is the current time while a call runs or waits, and None if the program is
        unknown to this host.
        """
        tree = self._trees.get(f"{customer}/{root}")
        entry = tree.programs.get(program) if tree else None
        if entry is None:
            return None
        return entry.active_at if entry.order.idle else time.monotonic()

    def report_ended(self, customer: str, root: str) -> None:
        """Report the latency of a root program that has ended, if it is known here."""
        tree = self._trees.get(f"{customer}/{root}")
        if tree is not None:
            self._report_latency(tree)

    def record_cache_export(
        self, customer: str, root: str, program: str, cache: tuple[str, int]
    ) -> None:
        """Record the object to which a paused program's engine cache was exported."""
        tree = self._trees.get(f"{customer}/{root}")
        entry = tree.programs.get(program) if tree else None
        if entry is not None:
            entry.exported_cache = cache

    def evict(self) -> None:
        """Drop trees without recent calls, and conversations beyond the memory bound.

        The conversations of the trees with the most recent calls are kept first.
        """
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
        n_cached_chars = 0
        for tree in trees:
            for entry in tree.programs.values():
                n_cached_chars += sum(len(m.content) for m in entry.messages)
                if n_cached_chars > MAX_CACHED_HISTORY_CHARS and entry.order.idle:
                    entry.chunks, entry.messages = (), ()

    def _report_latency(self, tree: ProgramTree) -> None:
        with tree.lock:
            was_reported, tree.is_latency_reported = tree.is_latency_reported, True
        if tree.started_at and not was_reported:
            seconds = tree.active_at - tree.started_at
            longest = max((r.total_tokens for r in tree.rows.values()), default=0)
            self.estimates.observe_program(tree.profile, longest, seconds)
            self.on_end(tree.customer, tree.profile, seconds)
