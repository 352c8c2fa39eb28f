"""Messages between entry hosts and the holder of a customer."""

from dataclasses import dataclass

from swifttide_core.limits import Batch, RateRefused


@dataclass(frozen=True, slots=True)
class DrawRequest:
    """An entry host asks for tokens.

    Parameters
    ----------
    entry_host, entry_zone : str
        Host with its incarnation, and its zone.
    draw_id : str
    wanted : float
    partial : bool
    returned : tuple of Batch
    """

    entry_host: str
    entry_zone: str
    draw_id: str
    wanted: float
    partial: bool = False
    returned: tuple[Batch, ...] = ()


@dataclass(frozen=True, slots=True)
class DrawAnswer:
    """Exactly one of the two is set."""

    batch: Batch | None = None
    refused: RateRefused | None = None


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """An entry host gives tokens back."""

    entry_host: str
    batch: Batch
