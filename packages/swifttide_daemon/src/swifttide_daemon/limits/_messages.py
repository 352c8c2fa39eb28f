"""Messages between entry hosts and the holders of a customer's slot."""

from dataclasses import dataclass

from swifttide_core.limits import Batch, Pull, RateRefused, ShareState
from swifttide_daemon.limits._share_rows import StoredShares


@dataclass(frozen=True, slots=True)
class DrawRequest:
    """Request of an entry host for tokens of a customer.

    Parameters
    ----------
    entry_host, entry_zone : str
        Name and incarnation of the host that asks, and its zone.
    draw_id : str
        Id that is unique during the lifetime of the entry host's process.
    wanted : float
        Tokens that the waiting request still needs.
    partial : bool
        Whether fewer tokens than wanted are accepted.
    spend_seconds : float
        Requested lifetime of a token that is spent as soon as it arrives.
    returned : tuple of Batch
        Earlier batches of the same holder, with their unspent tokens.
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
    """Answer to a draw: either a batch of tokens or a refusal.

    Parameters
    ----------
    batch : Batch or None
    refused : RateRefused or None
    offered : bool
        Whether the customer's ``shares`` row has an offer for the zone that asked.
    """

    batch: Batch | None = None
    refused: RateRefused | None = None
    offered: bool = False

    @classmethod
    def from_core(cls, answer: Batch | RateRefused) -> "DrawAnswer":
        """Return the message for a batch or a refusal."""
        match answer:
            case Batch():
                return cls(batch=answer)
            case RateRefused():
                return cls(refused=answer)


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """Batch whose unspent tokens an entry host returns."""

    entry_host: str
    batch: Batch


@dataclass(frozen=True, slots=True)
class YieldRequest:
    """Request of a holder in another zone for a part of the bucket's level.

    Parameters
    ----------
    holder : str
        Name and incarnation of the host that asks.
    pull : Pull
    zone : str
        Zone of the host that asks.
    """

    holder: str
    pull: Pull
    zone: str


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """State of a bucket, sent by the host that gives up the customer's slot.

    Parameters
    ----------
    customer : str
    epoch : int
        Epoch of the claim that may use the state. Any other claim means that another
        host held the slot in between.
    state : ShareState
    stored : StoredShares or None
        Row of the customer as last known, for a new holder that can't read it. None
        if the fraction of the zone may be smaller than the row says.
    """

    customer: str
    epoch: int
    state: ShareState
    stored: StoredShares | None = None
