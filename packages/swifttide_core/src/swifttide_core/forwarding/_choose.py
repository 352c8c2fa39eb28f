"""Which target a request goes to.

Load pattern: many hosts send to few engines that admit in order of arrival. Requests
of one program find their prompt in the cache of the engine that served it last.

Without it: requests pile up at one engine while others are idle, or each turn is
read again from its start.

Grounds: a prompt that is cached saves some tens of milliseconds, as much as waiting
behind two more requests of a batch costs; a hop to another zone costs two
milliseconds there and back and is priced by bytes, less than one place in the queue.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_core.forwarding._target_entry import TargetEntry

AFFINITY_PLACES = 2.0
"""Places in a target's batch that a cached prompt is worth."""

OTHER_ZONE_PLACES = 1.0
"""Places in a target's batch that a hop to another zone costs."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take the request, and its load.

    Parameters
    ----------
    target : TargetEntry
    outstanding : float
        Requests that are known to be at the target, from all hosts.
    """

    target: TargetEntry
    outstanding: float


def choose_target(
    candidates: Iterable[Candidate], zone: str, subject: str
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

    Returns
    -------
    TargetEntry or None
        None without candidates.
    """
    candidates = tuple(candidates)
    if not candidates:
        return None
    preferred = _preferred(candidates, subject) if subject else None

    def cost(candidate: Candidate):
        places = candidate.outstanding * _relative_size(candidate, candidates)
        if candidate.target.zone != zone:
            places += OTHER_ZONE_PLACES
        if candidate.target.id == preferred:
            places -= AFFINITY_PLACES
        return (places, _spread(zone + subject, candidate.target.id))

    return min(candidates, key=cost).target


def _relative_size(candidate, candidates):
    largest = max(c.target.capacity for c in candidates)
    return largest / max(1, candidate.target.capacity)


def _preferred(candidates, subject):
    """Return the id of the subject's target by rendezvous hashing.

    Each host finds the same target without asking anybody, and a target that comes
    or goes moves only its own subjects.
    """
    return max(candidates, key=lambda c: _spread(subject, c.target.id)).target.id


def _spread(subject, target_id):
    return xxhash.xxh3_64_intdigest(f"{subject}\0{target_id}".encode())
