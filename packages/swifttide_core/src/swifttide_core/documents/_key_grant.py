"""Key grant document: an access key granted to a customer or an operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """Grant of an access key. Only the hash of the key is stored.

    Parameters
    ----------
    key_hash : str
        SHA-256 of the key, in hexadecimal.
    customer : str
        Customer to whom the key is granted; empty for an operator key.
    operator : bool
        Whether the key gives access to the operators' requests.
    withdrawn : bool
        Whether the key is withdrawn. The document of a withdrawn key is kept, so
        that an older state of the configuration can't make the key valid again.
    """

    key_hash: str
    customer: str = ""
    operator: bool = False
    withdrawn: bool = False
