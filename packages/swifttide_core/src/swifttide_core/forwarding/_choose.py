"""Select the target that a request is forwarded to.

The selection compares, for each candidate target, the number of outstanding requests,
the availability zone, whether this host has an idle connection to it, and whether it is
likely to hold the prompt of the request in its prefix cache.

Load pattern: many hosts send requests to a few engines, which admit them in order of
arrival. Requests of one program find their prompt in the cache of the engine that
served the program last.

Without this module, requests queue at one engine while others are idle, or the prompt
of each turn is computed again from its start.

All costs are expressed in outstanding requests. A cached prompt saves some tens of
milliseconds for the request and for all requests in the same batch. One more request in
a batch with free capacity slows the others by about 1% of a step. A round trip to
another zone takes 2 ms and is billed by the byte, which is less than the cost of one
position in the queue.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_core.forwarding._target_entry import TargetEntry

CACHED_PREFIX_BATCH_FRACTION = 0.35
"""Cost reduction for a target that is likely to have the beginning of the prompt
cached, as a fraction of the batch capacity. While the batch has free capacity, one more
request slows the others by about 1%; computing the prefix again delays all of them by
some 10 ms."""

CACHED_PROMPT_BATCH_FRACTION = 0.6
"""Cost reduction for a target that has the whole prompt up to the last turn cached, as
a fraction of the batch capacity. Computing the whole prompt takes 20 to 50 ms."""

CROSS_ZONE_COST_REQUESTS = 1.0
"""Cost of sending to another zone, in outstanding requests."""

NEW_CONNECTION_COST_REQUESTS = 0.9
"""Cost of opening a new connection, in outstanding requests. It takes as long as a hop
to another zone and uses resources of the target. It is less than the cost of another
zone, so that idle connections do not move traffic out of its zone."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be selected, and its load.

    Parameters
    ----------
    target : TargetEntry
    outstanding : float
        Known requests in progress or queued at the target, from all hosts.
    is_connected : bool
        Whether this host has an idle connection to the target.
    """

    target: TargetEntry
    outstanding: float
    is_connected: bool = False


def choose_target(
    candidates: Iterable[Candidate],
    zone: str,
    affinity_key: str,
    last_target_id: str | None = None,
    host: str = "",
) -> TargetEntry | None:
    """Return the target with the lowest cost.

    Parameters
    ----------
    candidates : iterable of Candidate
    zone : str
        Zone of this host.
    affinity_key : str
        Key of related requests, such as a session id. Requests with the same key
        prefer the same target. If empty, there is no preference.
    last_target_id : str or None
        Id of the target that served the previous turn and has its whole prompt cached.
        If it is among the candidates, it replaces the preference of `affinity_key`.
    host : str
        Name of this host, which breaks ties between equal targets if `affinity_key` is
        empty. Each host then prefers a different target, so that it can reuse its
        connection there.

    Returns
    -------
    TargetEntry or None
        None if there are no candidates.
    """
    candidates = tuple(candidates)
    if not candidates:
        return None
    has_last = any(c.target.id == last_target_id for c in candidates)
    preferred = (
        last_target_id if has_last else _preferred_target_id(candidates, affinity_key)
    )
    max_capacity = max(c.target.capacity for c in candidates)
    cache_bonus = max_capacity * (
        CACHED_PROMPT_BATCH_FRACTION if has_last else CACHED_PREFIX_BATCH_FRACTION
    )

    tie_key = zone + affinity_key if affinity_key else host

    def cost(candidate: Candidate):
        load = candidate.outstanding * max_capacity / max(1, candidate.target.capacity)
        if candidate.target.zone != zone:
            load += CROSS_ZONE_COST_REQUESTS
        if not candidate.is_connected:
            load += NEW_CONNECTION_COST_REQUESTS
        if candidate.target.id == preferred:
            load -= cache_bonus
        return (load, _rendezvous_weight(tie_key, candidate.target.id))

    return min(candidates, key=cost).target


def _preferred_target_id(candidates, affinity_key) -> str | None:
    """Return the target id that rendezvous hashing assigns to the key, if any.

    All hosts compute the same target without communication. When a target is added or
    removed, only the keys that are assigned to that target move.
    """
    if not affinity_key:
        return None
    return max(
        candidates, key=lambda c: _rendezvous_weight(affinity_key, c.target.id)
    ).target.id


def _rendezvous_weight(key, target_id):
    return xxhash.xxh3_64_intdigest(f"{key}\0{target_id}".encode())
