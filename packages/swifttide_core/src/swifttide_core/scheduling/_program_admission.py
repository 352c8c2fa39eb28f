"""Admission of new programs to a service by rank, customer and predicted wait.

Load pattern: a burst of programs of the lowest rank needs several times the slots that
more urgent work leaves free, and one customer may send a multiple of its usual. Without
ranks, programs of all ranks are refused alike; without a queue, a program is refused
that a slot becoming free within milliseconds could have served.

A program is admitted while the turns outstanding and waiting, and the slots that more
urgent ranks needed recently, stay below the limit of its route. Otherwise it waits if
it is predicted to be admitted early enough to end by its deadline. Otherwise it is
refused, and a slot is reserved for its return at the announced time. Work of a less
urgent rank counts against a more urgent program only up to its guaranteed share.
"""

import math
from collections.abc import Callable

from swifttide_core.admission import ProgramAdmitted, ProgramRefused
from swifttide_core.scheduling._fair_shares import FairShares
from swifttide_core.scheduling._known_programs import KnownProgram, KnownPrograms
from swifttide_core.scheduling._load_limit import load_limit
from swifttide_core.scheduling._outstanding_turns import OutstandingTurns
from swifttide_core.scheduling._program_times import ProgramTimes
from swifttide_core.scheduling._rank_demand import MAX_RANKS, RankDemand
from swifttide_core.scheduling._requests import (
    AdmissionGrant,
    AdmissionWithdrawn,
    ProgramQueued,
    ProgramRequest,
    TurnId,
)
from swifttide_core.scheduling._wait_queue import MIN_RANK_FRACTION
from swifttide_core.scheduling._waiting_requests import WaitingRequests

MAX_WAIT_SECONDS = 1.0
"""Longest time that a new program waits; a caller who is told when to come back can do
something else meanwhile."""

WAIT_SLACK_FRACTION = 0.5
"""Part of a program's slack that may pass until it is admitted. The rest is left for
the waits of its turns."""

MIN_RETRY_SECONDS = 0.2
"""Shortest retry time that is announced to a caller."""

MAX_RETRY_SECONDS = 1.2
"""Longest retry time that is announced to a caller: predictions further ahead are
uncertain, and callers give up after few attempts."""

QUEUED_RETRY_SECONDS = 0.25
"""Time after which a host asks again for a program that waits, in case the decision was
lost on the way."""

ABANDONED_SECONDS = 1.25
"""Time after which a waiting program is dropped if its host, which asks each
`QUEUED_RETRY_SECONDS`, hasn't asked again: the host is lost."""

SMOOTHING_SECONDS = 1.0
"""Time constant of the mean load by which contention is recognised. The load of a
moment dips whenever several programs use their tools at the same time."""

BUSY_FRACTION = 0.6
"""Part of the limit from which on slots are contended: a program that can't end in time
would take a slot from one that can, and is refused."""


MAX_RESERVED_FRACTION = 0.1
"""Largest number of reservations, as a fraction of all slots. Callers that don't return
leave their slots idle for a while."""


class ProgramAdmission:
    """Decides which new programs are admitted, wait or are refused.

    Parameters
    ----------
    turns : OutstandingTurns
    n_waiting_turns : callable
        Returns the number of waiting turns of programs under way, by rank.
    n_unattributed : callable
        Takes the time and returns the number of turns that only other hosts have
        reported, whose rank isn't known.
    times : ProgramTimes
    shares : FairShares
    """

    def __init__(
        self,
        turns: OutstandingTurns,
        n_waiting_turns: Callable[[], dict[int, int]],
        n_unattributed: Callable[[float], float],
        times: ProgramTimes,
        shares: FairShares,
    ):
        self._turns = turns
        self._n_waiting_turns = n_waiting_turns
        self._n_unattributed = n_unattributed
        self._times = times
        self._shares = shares
        self._demand = RankDemand()
        self._waiting: WaitingRequests[ProgramRequest] = WaitingRequests(
            False, ABANDONED_SECONDS
        )
        self._smoothed: dict[int, float] = {}
        self._observed_at = 0.0
        self.programs = KnownPrograms()

    def waiting_counts(self) -> dict[tuple[int, str], int]:
        """Return the number of waiting programs by rank and customer."""
        return self._waiting.counts()

    def admit(
        self, request: ProgramRequest, capacity: float, is_paced: bool, now: float
    ) -> ProgramAdmitted | ProgramQueued | ProgramRefused:
        """Admit, queue or refuse a program; one that has started is always admitted.

        Parameters
        ----------
        request : ProgramRequest
        capacity : float
            Slots of the targets in service.
        is_paced : bool
            Whether no target may get a further request now.
        now : float
            Monotonic seconds.
        """
        seconds_left = request.seconds_left or 0.0
        known = self.programs.touch(request.program, request.work, seconds_left, now)
        if known.is_admitted:
            self._waiting.remove(request.id)
            return ProgramAdmitted()
        self.observe_demand(now)
        if self._waiting.renew(request, now):
            return ProgramQueued(QUEUED_RETRY_SECONDS)
        if self._is_too_late(request, known, capacity, now):
            return ProgramRefused(MAX_RETRY_SECONDS)
        is_next = self.programs.has_reservation(
            request.program, now
        ) or not self._waiting.count_ahead(request, self._shares, now)
        if is_next and not is_paced and self._fits(request, capacity, now):
            self.programs.admit(request.program, now)
            return ProgramAdmitted()
        wait = self.predicted_wait(request, capacity, now)
        may_wait = self._allowed_wait(request, known, capacity)
        if (
            not is_paced
            and wait <= may_wait
            and self._waiting.add(request, now + may_wait, now)
        ):
            return ProgramQueued(QUEUED_RETRY_SECONDS)
        return self._refuse(request, wait, capacity, now)

    def grant_waiting(
        self,
        capacity_for: Callable[[ProgramRequest], float],
        now: float,
    ) -> list[AdmissionGrant | AdmissionWithdrawn]:
        """Admit the waiting programs that fit now, or that have waited long enough.

        A refusal after a wait would cost its caller the time in which it could have
        tried elsewhere. A program only waits if it was predicted to be admitted in
        time, so few are admitted beyond the limit; they are refused only where no
        target may get a further request.

        Parameters
        ----------
        capacity_for : callable
            Returns the slots of the targets in service for a request; 0 while none may
            get a further request.
        now : float
            Monotonic seconds.
        """
        decisions: list[AdmissionGrant | AdmissionWithdrawn] = []
        for request in self._waiting.expire(now):
            capacity = capacity_for(request)
            if capacity > 0:
                decisions.append(self._grant(request, now))
                continue
            wait = self.predicted_wait(request, capacity, now)
            refused = self._refuse(request, wait, capacity, now)
            decisions.append(AdmissionWithdrawn(request.id, refused.retry_seconds))
        while len(self._waiting):
            request = self._waiting.next(
                self._shares, now, self._fits_now(capacity_for, now)
            )
            if request is None:
                break
            decisions.append(self._grant(request, now))
        return decisions

    def withdraw(self, request_id: TurnId) -> None:
        """Forget a waiting program whose caller has left."""
        self._waiting.remove(request_id)

    def observe_demand(self, now: float) -> None:
        """Record the slots that each rank occupies or waits for now."""
        counts = self._counts(now)
        self._demand.observe(counts, now)
        gain = 1.0 - math.exp((self._observed_at - now) / SMOOTHING_SECONDS)
        self._observed_at = now
        for rank in counts.keys() | self._smoothed.keys():
            own = sum(n for other, n in counts.items() if other <= rank)
            before = self._smoothed.get(rank, own)
            self._smoothed[rank] = before + gain * (own - before)
        if len(self._smoothed) > MAX_RANKS:
            # Requests of other hosts could contain any number of ranks.
            for rank in self._smoothed.keys() - counts.keys():
                del self._smoothed[rank]

    def reserved_above(self, rank: int, now: float) -> float:
        """Return the slots that are kept free for more urgent ranks."""
        return self._demand.reserved_above(rank, self._counts(now), now)

    def limit(self, route: str, capacity: float) -> float:
        """Return how many turns may be outstanding or waiting, for a route."""
        return load_limit(
            capacity,
            self._times.tolerable_wait(route),
            self._times.turn_seconds(route),
            self._times.low_load_turn_seconds(route),
        )

    def load(self, rank: int, capacity: float, now: float) -> float:
        """Return the slots that count against a program of a rank.

        Less urgent work counts up to its guaranteed share, since its turns wait behind
        those of the rank.
        """
        counts = self._counts(now)
        own = sum(n for other, n in counts.items() if other <= rank)
        below = sum(n for other, n in counts.items() if other > rank)
        unattributed = self._n_unattributed(now)
        return own + unattributed + min(below, MIN_RANK_FRACTION * capacity)

    def predicted_wait(
        self, request: ProgramRequest, capacity: float, now: float
    ) -> float:
        """Return the seconds after which a program is predicted to be admitted."""
        route, rank = request.work.route, request.work.rank
        above = sum(n for other, n in self._counts(now).items() if other < rank)
        reserved = self.reserved_above(rank, now)
        slots = max(MIN_RANK_FRACTION * capacity, capacity - above - reserved, 1.0)
        n_turns = max(1.0, self._times.turns_per_program(route))
        turn_seconds = max(0.001, self._times.turn_seconds(route))
        programs_per_second = slots / (n_turns * turn_seconds)
        load = self.load(rank, capacity, now) + reserved
        excess = max(0.0, load - self.limit(route, capacity))
        ahead = self._waiting.count_ahead(request, self._shares, now)
        wait = (ahead + excess + 1) / programs_per_second
        return wait + self._n_reserved(request, now + wait, now) / programs_per_second

    def _n_reserved(self, request, until, now) -> int:
        """Return how many reservations due until a time go before a new program.

        A customer that got more than the asking one doesn't, or the returns of its
        burst would take the slots of the others.
        """
        service = self._shares.customer_service(request.work, now)
        n = 0
        for work, reserved_from in self.programs.reservations():
            if reserved_from <= until and work.rank <= request.work.rank:
                is_same = work == request.work
                n += is_same or self._shares.customer_service(work, now) <= service
        return n

    def _counts(self, now) -> dict[int, float]:
        counts = self._turns.by_rank()
        for more in (self._n_waiting_turns(), self.programs.count_entering()):
            for rank, n in more.items():
                counts[rank] = counts.get(rank, 0.0) + n
        return counts

    def _fits(self, request, capacity, now) -> bool:
        rank = request.work.rank
        load = self.load(rank, capacity, now) + self.reserved_above(rank, now)
        if not self.programs.has_reservation(request.program, now):
            load += self._n_reserved(request, now, now)
        return load < self.limit(request.work.route, capacity)

    def _is_too_late(self, request, known, capacity, now) -> bool:
        """Return whether a program can't end in time and slots are scarce."""
        if request.seconds_left is None:
            return False
        route, rank = request.work.route, request.work.rank
        if request.seconds_left >= self._needed_seconds(known, capacity):
            return False
        load = max(self.load(rank, capacity, now), self._smoothed.get(rank, 0.0))
        load += self.reserved_above(rank, now)
        return load >= BUSY_FRACTION * self.limit(route, capacity)

    def _needed_seconds(self, known: KnownProgram, capacity) -> float:
        """Return the time that a program takes while the load is at its limit.

        Besides its time on idle targets these are the slowdown of the targets, and the
        waits of its turns in a queue as long as the limit allows. A program with half
        of the usual time to its deadline has half of the usual work.
        """
        route = known.work.route
        turn_seconds = self._times.turn_seconds(route)
        slowdown = max(0.0, turn_seconds - self._times.low_load_turn_seconds(route))
        queue = max(0.0, self.limit(route, capacity) - capacity)
        wait = queue * turn_seconds / max(1.0, capacity)
        n_turns = self._times.turns_per_program(route)
        usual = self._times.needed_seconds(route) + (slowdown + wait) * n_turns
        if not known.first_seconds_left:
            return usual
        deadline = self._times.deadline_seconds(route)
        return usual * known.first_seconds_left / max(0.001, deadline)

    def _grant(self, request, now) -> AdmissionGrant:
        # The record may have been evicted while the program waited.
        self.programs.touch(request.program, request.work, 0.0, now)
        self.programs.admit(request.program, now)
        return AdmissionGrant(request.id, request.program, request.work)

    def _fits_now(self, capacity_for, now) -> Callable[[ProgramRequest], bool]:
        """Return a function that tells whether a waiting program fits now.

        Programs of the same rank and route with the same targets fit alike, except
        those with a reservation, so each kind is decided once.
        """
        known: dict[tuple, bool] = {}

        def fits(request) -> bool:
            is_reserved = self.programs.has_reservation(request.program, now)
            work = request.work
            kind = (work.rank, work.route, request.regions, is_reserved)
            if kind not in known:
                capacity = capacity_for(request)
                known[kind] = capacity > 0 and self._fits(request, capacity, now)
            return known[kind]

        return fits

    def _allowed_wait(self, request, known: KnownProgram, capacity) -> float:
        """Return how long a program may wait so that it still ends by its deadline."""
        if request.seconds_left is None:
            return MAX_WAIT_SECONDS
        slack = known.first_seconds_left - self._needed_seconds(known, capacity)
        waited = known.first_seconds_left - request.seconds_left
        return min(MAX_WAIT_SECONDS, WAIT_SLACK_FRACTION * slack - waited)

    def _refuse(self, request, wait, capacity, now) -> ProgramRefused:
        """Refuse a program, with a reservation if it can end in time on its return."""
        retry_seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        known = self.programs.touch(request.program, request.work, 0.0, now)
        needed = self._needed_seconds(known, capacity)
        left = request.seconds_left
        is_in_time = left is None or left - retry_seconds >= needed
        has_room = self.programs.n_reserved() < MAX_RESERVED_FRACTION * capacity
        if wait <= retry_seconds and is_in_time and has_room:
            self.programs.reserve(request.program, now + retry_seconds)
        return ProgramRefused(retry_seconds)
