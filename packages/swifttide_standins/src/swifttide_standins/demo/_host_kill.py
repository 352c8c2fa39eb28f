"""Kills a host in the middle of non-repeatable calls."""

import logging
import time
from concurrent.futures import Future, ThreadPoolExecutor

from swifttide_standins.launcher import Fleet
from swifttide_standins.loadgen import CallRecord, CallSpec, Client, Endpoint

logger = logging.getLogger(__name__)

N_CALLS = 12
MARK = "at-kill"
"""Part of the calls' keys, by which the service knows which ones to hold back."""

HELD_SECONDS = 1.5
HEAD_START_SECONDS = 0.7


class HostKill:
    """Calls at one host, which dies before their answers come.

    Parameters
    ----------
    client : Client
        Sends the calls, and sends the same again to learn what became of them.
    endpoint : Endpoint
        The host.
    """

    def __init__(self, client: Client, endpoint: Endpoint) -> None:
        self._client = client
        self._endpoint = endpoint
        self._pool = ThreadPoolExecutor(N_CALLS)
        self._futs: list[Future[CallRecord]] = []

    def run(self, fleet: Fleet) -> None:
        """Start the calls and kill the host while the service holds them back."""
        service = fleet.services["billing"]
        fleet.fault(service, mode="slow", seconds=HELD_SECONDS, text=MARK)
        self._futs = [self._pool.submit(self._call, n) for n in range(N_CALLS)]
        time.sleep(HEAD_START_SECONDS)
        logger.info("killing %s", self._endpoint.host)
        fleet.hosts[self._endpoint.host].process.kill()
        fleet.report_host(self._endpoint.host, "gone")

    def records(self) -> tuple[CallRecord, ...]:
        """Return what the callers got, once each of them knows."""
        self._pool.shutdown()
        return tuple(fut.result() for fut in self._futs)

    def _call(self, number: int) -> CallRecord:
        key = f"{MARK}-{number}"
        spec = CallSpec.from_service(f"program-{key}", "billing", "charge", key)
        return self._client.call(spec, self._endpoint)
