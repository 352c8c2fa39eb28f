"""Calls with the key that gets withdrawn, at every host."""

import threading
import time
from collections.abc import Iterable

import urllib3

from swifttide_standins.loadgen import (
    Answered,
    Attempt,
    CallSpec,
    Client,
    Endpoint,
    Refused,
)

PROBE_SECONDS = 0.05
CALL_SECONDS = 5.0
REFUSED_STATUSES = (401, 403)
NEVER = float("inf")


class WithdrawalProbe:
    """One thread a host that keeps calling with the same key.

    Parameters
    ----------
    client : Client
        Holds the key.
    key : str
        The key.
    endpoints : iterable of Endpoint
        Hosts to call.

    Notes
    -----
    A host passes on what the holder of a program says, who may know of the withdrawal
    earlier. What the host itself knows is asked apart, by a call that it answers
    alone; from its own first refusal on, it must answer nothing with the key.
    """

    def __init__(self, client: Client, key: str, endpoints: Iterable[Endpoint]) -> None:
        self._client = client
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(retries=False, maxsize=8)
        self._stop = threading.Event()
        endpoints = tuple(endpoints)
        self._attempts: dict[str, list[Attempt]] = {e.host: [] for e in endpoints}
        self._own_refusal = {e.host: NEVER for e in endpoints}
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
        """Return the seconds from `since` to where only refusals follow, by host."""
        return {
            host: settled_refusal(attempts) - since
            for host, attempts in self._attempts.items()
        }

    def fewest_answered_before(self) -> int:
        """Return the fewest calls that a host answered."""
        return min(
            sum(isinstance(a.outcome, Answered) for a in attempts)
            for attempts in self._attempts.values()
        )

    def n_answered_after_refusal(self) -> int:
        """Return how many calls a host answered after it had refused the key itself."""
        return sum(
            isinstance(a.outcome, Answered) and a.started > self._own_refusal[host]
            for host, attempts in self._attempts.items()
            for a in attempts
        )

    def _run(self, endpoint: Endpoint) -> None:
        turn = 0
        while not self._stop.wait(PROBE_SECONDS):
            turn += 1
            if self._own_refusal[endpoint.host] == NEVER:
                self._ask_host(endpoint)
            program = f"probe-{endpoint.host}-{turn}"
            spec = CallSpec.from_turn(program, "", 1, "probe", 1)
            attempt = self._client.attempt(spec, endpoint)
            self._attempts[endpoint.host].append(attempt)

    def _ask_host(self, endpoint: Endpoint) -> None:
        url = f"{endpoint.url}/v1/programs/none"
        answer = self._pool.request(
            "GET", url, headers=self._headers, timeout=CALL_SECONDS
        )
        if answer.status in REFUSED_STATUSES:
            self._own_refusal[endpoint.host] = time.monotonic()


def settled_refusal(attempts: list[Attempt]) -> float:
    """Return when the first refusal ended that no answer followed, else infinity."""
    settled = NEVER
    for attempt in attempts:
        match attempt.outcome:
            case Answered():
                settled = NEVER
            case Refused(status=status) if status in REFUSED_STATUSES:
                settled = min(settled, attempt.ended)
    return settled
