"""Choice of the hosts that keep the origin of a stream."""

from collections.abc import Iterable

import xxhash


def keeper_candidates(hosts: Iterable[tuple[str, str]], most: int) -> list[str]:
    """Return the hosts that may be keepers.

    All hosts of a fleet find the same ones.

    Parameters
    ----------
    hosts : iterable of (str, str)
        Address and availability zone of each host.
    most : int
        Hosts of one zone.

    Returns
    -------
    list of str
        Addresses.
    """
    by_zone: dict[str, list[str]] = {}
    for ip, zone in sorted(hosts, key=_host_hash):
        by_zone.setdefault(zone, []).append(ip)
    return [ip for ips in by_zone.values() for ip in ips[:most]]


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


def _host_hash(host):
    ip, _ = host
    return xxhash.xxh3_64_intdigest(ip.encode()), host
