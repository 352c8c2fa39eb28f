"""Lookup of the root of a program.

The root program determines the slot, and so the host, that serves all calls of its
sub-agents. The root of a sub-agent is read from the row of its parent.
"""

import threading
from collections import OrderedDict

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.programs import ProgramStore

MAX_CACHED_ROOTS = 20_000


class ProgramRoots:
    """Cache of root programs by parent program.

    The root of a parent is read from the platform once. The root of a program never
    changes, so entries don't expire. Beyond `MAX_CACHED_ROOTS` entries, the entry
    that was added first is removed.

    Parameters
    ----------
    store : ProgramStore
        Reads the rows of parent programs.
    """

    def __init__(self, store: ProgramStore) -> None:
        self.store = store
        self._root_by_parent: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._lock = threading.Lock()

    def root(self, customer: str, program: str, parent: str) -> Result[str, Refusal]:
        """Return the root of a program.

        Parameters
        ----------
        customer, program : str
        parent : str
            Program that started `program`; empty if `program` is itself a root.
        """
        if not parent:
            return Ok(program)
        with self._lock:
            root = self._root_by_parent.get((customer, parent))
        if root is not None:
            return Ok(root)
        row = self.store.read(customer, parent)
        if row.is_error():
            return row
        if row.ok is None:
            return Error(
                Refusal(Reason.NOT_FOUND, f"parent program {parent!r} does not exist")
            )
        self._cache_root(customer, parent, row.ok.root)
        return Ok(row.ok.root)

    def _cache_root(self, customer: str, parent: str, root: str) -> None:
        with self._lock:
            self._root_by_parent[(customer, parent)] = root
            if len(self._root_by_parent) > MAX_CACHED_ROOTS:
                self._root_by_parent.popitem(last=False)
