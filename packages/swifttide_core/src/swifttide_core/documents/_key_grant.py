"""A key that operators granted to a customer, or to an operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """A granted key; the key itself is never stored.

    Parameters
    ----------
    key_hash : str
        SHA-256 of the key in hex.
    customer : str
        Customer whose requests come with it; empty for an operator's key.
    operator : bool
        Whether it opens the operators' calls.
    withdrawn : bool
        A withdrawn key stays listed, so that an older state can't revive it.
    """

    key_hash: str
    customer: str = ""
    operator: bool = False
    withdrawn: bool = False
