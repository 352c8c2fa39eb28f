"""Selection of the host that owns a customer's token pool."""

from collections.abc import Iterable

import xxhash


def rank_owners(customer: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in order of preference as owner of a customer's token pool.

    The order follows from rendezvous hashing. Hosts with the same view of the fleet
    select the same owner without communication, and a host that joins or leaves moves
    only the customers that it owns.

    Parameters
    ----------
    customer : str
        Name of the customer.
    hosts : iterable of str
        Addresses of the candidates.

    Returns
    -------
    list of str
        Addresses; the first is the owner, the next ones are its successors.
    """

    def weight(host: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{customer}\0{host}".encode()), host

    return sorted(hosts, key=weight, reverse=True)
