"""The platform's faults that are set now."""

import threading
from dataclasses import dataclass

from swifttide_standins.platform._fault import PlatformFault, PlatformFaultMode
from swifttide_standins.platform._store import Store
from swifttide_standins.platform._table import Table

STALE_PREFIX = "config"


@dataclass(frozen=True, slots=True)
class SetFault:
    """A fault with the state that stale reads answer from.

    Parameters
    ----------
    fault : PlatformFault
        The fault.
    tables : dict of str to Table
        Old state; empty but for ``stale_reads``.
    """

    fault: PlatformFault
    tables: dict[str, Table]


class FaultBoard:
    """One fault for each pair of peer and zone, so that several hold at once.

    Parameters
    ----------
    store : Store
        Whose state a stale read remembers.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._set: dict[tuple[str, str], SetFault] = {}

    def put(self, fault: PlatformFault) -> None:
        """Set or end a fault."""
        place = (fault.peer, fault.zone)
        stale = fault.mode is PlatformFaultMode.STALE_READS
        tables = self._store.snapshot(STALE_PREFIX) if stale else {}
        with self._lock:
            if fault.mode is not PlatformFaultMode.NONE:
                self._set[place] = SetFault(fault, tables)
            elif place == ("", ""):
                self._set.clear()
            else:
                self._set.pop(place, None)

    def find(self, peer: str, zone: str) -> list[SetFault]:
        """Return the faults that a call from this host and zone runs into."""
        with self._lock:
            return [s for s in self._set.values() if s.fault.meets(peer, zone)]
