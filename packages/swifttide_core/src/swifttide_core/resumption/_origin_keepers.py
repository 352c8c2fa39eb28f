"""Choice of the hosts that keep the origin of a stream."""

from collections.abc import Iterable

import xxhash


def rank_origin_keepers(key: str, hosts: Iterable[tuple[str, str]]) -> list[str]:
    """Return hosts in the order in which they keep the origin of a stream.

    The order follows from rendezvous hashing, so that any host finds the keepers of a
    stream that another one began. The first hosts are of different availability zones,
    as many as there are, so that the loss of a zone leaves some of them.

    Parameters
    ----------
    key : str
        Key of the stream.
    hosts : iterable of (str, str)
        Address and availability zone of each candidate.

    Returns
    -------
    list of str
        Addresses of all candidates.
    """

    def weight(host):
        return xxhash.xxh3_64_intdigest(f"{key}\0{host[0]}".encode()), host

    ranked = sorted(hosts, key=weight, reverse=True)
    first_of_zone = {}
    for ip, zone in ranked:
        first_of_zone.setdefault(zone, ip)
    first = list(first_of_zone.values())
    return first + [ip for ip, _ in ranked if ip not in set(first)]
