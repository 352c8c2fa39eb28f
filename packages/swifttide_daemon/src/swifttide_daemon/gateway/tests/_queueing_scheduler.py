"""Scheduler with a queue and a fixed number of slots, for tests of the protocol."""

from swifttide_core.admission import ProgramAdmitted
from swifttide_core.scheduling import (
    AdmissionGrant,
    AdmissionWithdrawn,
    PlacementGrant,
    ProgramQueued,
    ProgramRequest,
    TurnQueued,
)

RETRY_SECONDS = 0.2
N_SLOTS = 1


class QueueingScheduler:
    """Gives its slots to the requests that have waited longest.

    Attributes
    ----------
    placed : dict
        Target id of each placed turn, by its identity.
    waiting : dict
        Time since which each request waits, and the request.
    results, restored : list
        Results of turns that ended, and states of predecessors.
    n_resumed : int
        Number of calls of `resume`.
    withdraws_programs : bool
        Whether waiting programs are refused.
    """

    def __init__(self, now, reported_outstanding):
        self.placed = {}
        self.waiting = {}
        self.results, self.restored = [], []
        self.withdraws_programs = False
        self.n_resumed = 0

    def describe_targets(self, memory_tokens, tokens_per_event):
        """Ignore the configuration."""

    def admit_program(self, request, targets, capacity, now, limits=None):
        if len(self.placed) < N_SLOTS:
            return ProgramAdmitted()
        self.waiting[request.id] = (now - request.waited_seconds, request)
        return ProgramQueued(RETRY_SECONDS)

    def place_turn(self, request, targets, now, limits=None):
        if len(self.placed) < N_SLOTS:
            self.waiting.pop(request.id, None)
            self.placed[request.id] = targets[0].id
            return targets[0]
        self.waiting[request.id] = (now - request.waited_seconds, request)
        return TurnQueued(RETRY_SECONDS)

    def withdraw(self, id):
        self.waiting.pop(id, None)

    def grant_waiting(self, eligible, now):
        grants = []
        for id, (_, request) in sorted(self.waiting.items(), key=lambda i: i[1][0]):
            if isinstance(request, ProgramRequest) and self.withdraws_programs:
                grants.append(AdmissionWithdrawn(id, 0.7))
            elif len(self.placed) >= N_SLOTS:
                continue
            elif isinstance(request, ProgramRequest):
                grants.append(AdmissionGrant(id))
            else:
                target = eligible(request).targets[0]
                self.placed[id] = target.id
                grants.append(PlacementGrant(id, target))
            del self.waiting[id]
        return grants

    def end_turn(self, turn, target, result, now):
        if self.placed.get(turn) == target:
            del self.placed[turn]
            self.results.append(result)

    def reconcile_host(self, host, counts, now):
        """Keep all turns."""

    def forget_target(self, target):
        """Keep all turns."""

    def snapshot(self):
        return {"targets": {"engine-0": [0.5]}, "routes": {"chat": [1.0, 2.0]}}

    def restore(self, snapshot, now):
        self.restored.append(snapshot)

    def resume(self, now):
        self.n_resumed += 1

    def status(self, now):
        return {"n_waiting": len(self.waiting)}
