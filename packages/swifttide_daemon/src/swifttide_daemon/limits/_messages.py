"""Messages between entry hosts and holders of a customer."""

from dataclasses import dataclass

from swifttide_core.limits import Batch, Pull, RateRefused, ShareState


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
    spend_seconds : float
    returned : tuple of Batch
    """

    entry_host: str
    entry_zone: str
    draw_id: str
    wanted: float
    partial: bool = False
    spend_seconds: float = 0.1
    returned: tuple[Batch, ...] = ()


@dataclass(frozen=True, slots=True)
class DrawAnswer:
    """Tokens or a refusal; exactly one of the two is set.

    Parameters
    ----------
    batch : Batch or None
    refused : RateRefused or None
    offered : bool
        Whether the customer's row holds an offer for the zone that asked.
    """

    batch: Batch | None = None
    refused: RateRefused | None = None
    offered: bool = False

    @classmethod
    def from_core(cls, answer: Batch | RateRefused) -> "DrawAnswer":
        """Return the message for an answer of the core."""
        match answer:
            case Batch():
                return cls(batch=answer)
            case RateRefused():
                return cls(refused=answer)


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """An entry host gives tokens back."""

    entry_host: str
    batch: Batch


@dataclass(frozen=True, slots=True)
class YieldRequest:
    """Another zone's holder of the customer asks for a part of the level.

    Parameters
    ----------
    holder : str
        Host and incarnation that asks.
    pull : Pull
    zone : str
        Its zone.
    """

    holder: str
    pull: Pull
    zone: str


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A host that gives up a customer's slot passes its bucket on.

    Parameters
    ----------
    customer : str
    epoch : int
        Of the claim that may use it; any other claim means that somebody else held
        the slot in between.
    state : ShareState
    """

    customer: str
    epoch: int
    state: ShareState
