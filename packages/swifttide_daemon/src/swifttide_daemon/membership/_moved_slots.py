"""Slots that a host has given up, and who should take them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from swifttide_core.membership import HostRow, HostState, SlotRow
from swifttide_core.slots import preferred_host


@dataclass(frozen=True, slots=True)
class SlotMove:
    """One slot's way.

    Parameters
    ----------
    peer_url : str
        Of the host that should claim it.
    next_epoch : int
        Epoch that the next claim makes.
    """

    peer_url: str
    next_epoch: int


@dataclass(frozen=True, slots=True)
class MovedSlots:
    """Slots that were given up together.

    Parameters
    ----------
    moves : dict of int to SlotMove
        By slot.
    """

    moves: dict[int, SlotMove]

    @classmethod
    def from_rows(
        cls, rows: Iterable[SlotRow], hosts: Mapping[str, HostRow]
    ) -> "MovedSlots":
        """Return where slots that were just freed should go."""
        live = [h for h, row in hosts.items() if row.state is HostState.LIVE]
        moves = {}
        for row in rows:
            heir = preferred_host(row.slot, live)
            if heir is not None:
                moves[row.slot] = SlotMove(hosts[heir].peer_url, row.epoch + 1)
        return cls(moves)
