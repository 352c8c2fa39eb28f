"""Which host keeps a customer's tokens."""

from collections.abc import Iterable

import xxhash


def rank_owners(customer: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in the order in which they keep a customer's tokens.

    By rendezvous hashing: hosts that see the same others find the same keeper without
    asking anybody, and a host that comes or goes moves only the customers it keeps.

    Parameters
    ----------
    customer : str
    hosts : iterable of str
        Addresses.
    """

    def weight(host: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{customer}\0{host}".encode()), host

    return sorted(hosts, key=weight, reverse=True)
