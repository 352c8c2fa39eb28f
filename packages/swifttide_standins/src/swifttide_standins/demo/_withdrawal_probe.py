"""Calls with the key that gets withdrawn, at every host."""

import threading
from collections.abc import Iterable

from swifttide_standins.loadgen import (
    Answered,
    Attempt,
    CallSpec,
    Client,
    Endpoint,
    Refused,
)

PROBE_SECONDS = 0.05
REFUSED_STATUSES = (401, 403)


class WithdrawalProbe:
    """One thread a host that keeps calling with the same key.

    Parameters
    ----------
    client : Client
        Holds the key.
    endpoints : iterable of Endpoint
        Hosts to call.
    """

    def __init__(self, client: Client, endpoints: Iterable[Endpoint]) -> None:
        self._client = client
        self._stop = threading.Event()
        self._attempts: dict[str, list[Attempt]] = {e.host: [] for e in endpoints}
        self._threads = [
            threading.Thread(target=self._run, args=(e,)) for e in endpoints
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop calling."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def seconds_to_refusal(self, since: float) -> dict[str, float]:
        """Return the seconds from `since` to the first refusal, by host."""
        return {
            host: _first_refusal(attempts) - since
            for host, attempts in self._attempts.items()
        }

    def fewest_answered_before(self) -> int:
        """Return the fewest calls that a host answered before it refused one."""
        return min(_n_before_refusal(a) for a in self._attempts.values())

    def n_answered_after_refusal(self) -> int:
        """Return how many calls a host answered after it had refused one."""
        return sum(
            isinstance(a.outcome, Answered) and a.started > _first_refusal(attempts)
            for attempts in self._attempts.values()
            for a in attempts
        )

    def _run(self, endpoint: Endpoint) -> None:
        turn = 0
        while not self._stop.wait(PROBE_SECONDS):
            turn += 1
            program = f"probe-{endpoint.host}-{turn}"
            spec = CallSpec.from_turn(program, "", 1, "probe", 1)
            attempt = self._client.attempt(spec, endpoint)
            self._attempts[endpoint.host].append(attempt)


def _first_refusal(attempts: list[Attempt]) -> float:
    refusals = (a.ended for a in attempts if _is_refusal(a))
    return next(refusals, float("inf"))


def _n_before_refusal(attempts: list[Attempt]) -> int:
    refused_at = _first_refusal(attempts)
    return sum(
        isinstance(a.outcome, Answered) and a.ended < refused_at for a in attempts
    )


def _is_refusal(attempt: Attempt) -> bool:
    match attempt.outcome:
        case Refused(status=status):
            return status in REFUSED_STATUSES
        case _:
            return False
