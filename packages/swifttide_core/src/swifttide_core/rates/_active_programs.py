"""Admission of new programs to a customer's rate.

Decides whether the rate of a customer suffices for one more program, from the tokens in
the pool, the refill rate, the requests made so far by active programs, and the usual
size of programs of the same kind. It matters when a customer starts more programs than
its rate can complete, where each program makes some twenty requests, several of them
concurrently.

Without it, new programs would consume the tokens of active ones. All programs would
wait for each other, and most would end late, or fail at a request that is refused after
all the work that was spent on them.

The usual size is estimated from completed programs. A program that has reached the
usual number of requests is expected to make a further fraction of that number, because
a program that has exceeded the usual number mostly makes still more requests.
"""

from dataclasses import dataclass

from swifttide_core.rates._program_size_estimates import ProgramSizeEstimates

PROGRAM_IDLE_SECONDS = 1.2
"""Time without a request after which a program counts as ended. A turn takes some
0.4 s and the pause after it at most 0.25 s."""

ADMISSION_HORIZON_FACTOR = 1.3
"""Multiple of the usual duration within which the rate must supply the tokens of all
active programs. Callers tolerate 1.5 times the usual duration."""

MIN_REMAINING_FRACTION = 0.25
"""Smallest number of further requests expected of any active program, as a fraction of
the usual number of requests."""

MAX_RETRY_SECONDS = 1.0
"""Upper bound of the retry delay given to a new program. Most programs end within this
time."""


@dataclass(slots=True)
class _ActiveProgram:
    kind: str
    calls: int
    began_at: float
    seen_at: float
    has_waited: bool = False


class ActivePrograms:
    """Active programs of one customer.

    Parameters
    ----------
    sizes : ProgramSizeEstimates
        Estimates by kind of program, shared by all customers of a host.
    """

    def __init__(self, sizes: ProgramSizeEstimates):
        self._sizes = sizes
        self._programs: dict[str, _ActiveProgram] = {}

    def is_active(self, program: str) -> bool:
        """Return whether a program is active, as of the last removal of idle ones."""
        return program in self._programs

    def record_request(
        self, program: str, has_waited: bool, now: float, kind: str = ""
    ) -> None:
        """Record a request of a program.

        Parameters
        ----------
        program : str
            Key of the program.
        has_waited : bool
            Whether the request could not get a token immediately.
        now : float
            Monotonic time, in seconds.
        kind : str
            Kind of the program; used only with its first request.
        """
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = _ActiveProgram(kind, 0, now, now)
        known.calls += 1
        known.seen_at = now
        known.has_waited |= has_waited

    def seconds_until_admission(
        self,
        level: float,
        rate: float,
        now: float,
        kind: str = "",
    ) -> float:
        """Return the delay after which a new program may be admitted.

        Parameters
        ----------
        level : float
            Tokens in the customer's pool.
        rate : float
            Refill rate of the customer, in tokens per second.
        now : float
            Monotonic time, in seconds.
        kind : str
            Kind of the new program.

        Returns
        -------
        float
            Seconds, at most ``MAX_RETRY_SECONDS``; 0 if it may be admitted now.
        """
        self._remove_ended(now)
        if not self._programs or rate <= 0.0:
            return 0.0
        usual = self._sizes.get(kind)
        needed = usual.calls + sum(
            self._remaining_requests(p) for p in self._programs.values()
        )
        carried = level + rate * usual.seconds * ADMISSION_HORIZON_FACTOR
        return min(MAX_RETRY_SECONDS, max(0.0, needed - carried) / rate)

    def _remaining_requests(self, program) -> float:
        """Return the expected number of further requests of an active program."""
        usual = self._sizes.get(program.kind).calls
        return max(usual * MIN_REMAINING_FRACTION, usual - program.calls)

    def _remove_ended(self, now):
        """Remove ended programs and update the size estimates from them."""
        for name, program in list(self._programs.items()):
            if now - program.seen_at >= PROGRAM_IDLE_SECONDS:
                del self._programs[name]
                # The duration of a program that waited for tokens is not used: it
                # would raise the estimated duration, and with it the number of
                # programs that seem to fit into the rate.
                length = program.seen_at - program.began_at
                size = self._sizes.get(program.kind)
                size.update(program.calls, None if program.has_waited else length)
