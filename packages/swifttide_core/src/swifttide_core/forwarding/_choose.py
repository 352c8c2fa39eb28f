"""Which target a request goes to.

Load pattern: many hosts send to few engines that admit in order of arrival. Requests
of one program find their prompt in the cache of the engine that served it last.

Without it: requests pile up at one engine while others are idle, or each turn is
read again from its start.

Grounds: a prompt that is cached saves some tens of milliseconds, for the request and
for all that run beside it; one more request in a batch that isn't full costs them a
hundredth of a step. A hop to another zone costs two milliseconds there and back and is
priced by bytes, less than one place in the queue.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_core.forwarding._target_entry import TargetEntry

CACHED_PREFIX_BATCH_FRACTION = 0.35
"""Part of a target's batch that a cached first part of the prompt is worth. While there
are places left in the batch, one request more slows the others by a hundredth; a part
that is read again holds all of them up for some 10 ms."""

CACHED_PROMPT_BATCH_FRACTION = 0.6
"""Likewise for the whole prompt, which takes 20 to 50 ms."""

CROSS_ZONE_COST_REQUESTS = 1.0
"""Places in a target's batch that a hop to another zone costs."""

NEW_CONNECTION_COST_REQUESTS = 0.9
"""Likewise for a new connection, which takes as long as a hop and occupies the target.
Less than a hop: connections that are kept don't draw work out of its zone."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take the request, and its load.

    Parameters
    ----------
    target : TargetEntry
    outstanding : float
        Requests that are known to be at the target, from all hosts.
    is_connected : bool
        Whether this host has an idle connection to it.
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
    """Return the target with the least expected wait.

    Parameters
    ----------
    candidates : iterable of Candidate
    zone : str
        Zone of this host.
    subject : str
        What the request concerns, such as its session; requests with the same
        subject prefer the same target. Empty: no preference.
    last : str or None
        Id of the target that served the turn before, and has all of its prompt; goes
        before the subject's.
    host : str
        Of this host. Among targets that are alike each host has its own first choice,
        so that it can keep a connection there.

    Returns
    -------
    TargetEntry or None
        None without candidates.
    """
    candidates = tuple(candidates)
    if not candidates:
        return None
    is_there = any(c.target.id == last_target_id for c in candidates)
    preferred = (
        last_target_id if is_there else _preferred_target_id(candidates, affinity_key)
    )
    largest = max(c.target.capacity for c in candidates)
    worth = largest * (
        CACHED_PROMPT_BATCH_FRACTION if is_there else CACHED_PREFIX_BATCH_FRACTION
    )

    ties = zone + affinity_key if affinity_key else host

    def cost(candidate: Candidate):
        places = candidate.outstanding * largest / max(1, candidate.target.capacity)
        if candidate.target.zone != zone:
            places += CROSS_ZONE_COST_REQUESTS
        if not candidate.is_connected:
            places += NEW_CONNECTION_COST_REQUESTS
        if candidate.target.id == preferred:
            places -= worth
        return (places, _rendezvous_weight(ties, candidate.target.id))

    return min(candidates, key=cost).target


def _preferred_target_id(candidates, affinity_key) -> str | None:
    """Return the id of the subject's target by rendezvous hashing, if there is one.

    Each host finds the same target without asking anybody, and a target that comes
    or goes moves only its own subjects.
    """
    if not affinity_key:
        return None
    return max(
        candidates, key=lambda c: _rendezvous_weight(affinity_key, c.target.id)
    ).target.id


def _rendezvous_weight(key, target_id):
    return xxhash.xxh3_64_intdigest(f"{key}\0{target_id}".encode())
