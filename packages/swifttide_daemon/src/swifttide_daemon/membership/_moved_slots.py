"""Slots released in a planned handover, and the hosts that should claim them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from swifttide_core.membership import HostRow, HostState, SlotRow
from swifttide_core.slots import preferred_host


@dataclass(frozen=True, slots=True)
class SlotMove:
    """Destination of one released slot.

    Parameters
    ----------
    peer_url : str
        Peer URL of the host that should claim the slot.
    next_epoch : int
        Epoch of the slot after that host has claimed it.
    """

    peer_url: str
    next_epoch: int


@dataclass(frozen=True, slots=True)
class MovedSlots:
    """Slots that were released together.

    Parameters
    ----------
    moves : dict of int to SlotMove
        Destination by slot number. Slots without a live host to claim them are absent.
    """

    moves: dict[int, SlotMove]

    @classmethod
    def from_rows(
        cls, rows: Iterable[SlotRow], hosts: Mapping[str, HostRow]
    ) -> "MovedSlots":
        """Assign each released slot to the live host preferred for it."""
        live = [h for h, row in hosts.items() if row.state is HostState.LIVE]
        moves = {}
        for row in rows:
            new_holder = preferred_host(row.slot, live)
            if new_holder is not None:
                moves[row.slot] = SlotMove(hosts[new_holder].peer_url, row.epoch + 1)
        return cls(moves)
