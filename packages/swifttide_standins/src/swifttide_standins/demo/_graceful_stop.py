"""Stops a host while long streams run through it."""

import time
from concurrent.futures import ThreadPoolExecutor

from swifttide_standins.launcher import ManagedProcess
from swifttide_standins.loadgen import Attempt, CallSpec, Client, Endpoint

N_STREAMS = 6
WORDS = 180
HEAD_START_SECONDS = 1.0


class GracefulStop:
    """Long streams at one host, which is then told to stop.

    Parameters
    ----------
    client : Client
        Sends the streams.
    endpoint : Endpoint
        The host.

    Attributes
    ----------
    streams : tuple of Attempt
        What their callers got.
    started : float
        Monotonic time of the SIGTERM.
    seconds : float
        From SIGTERM to the end of the process.
    status : int or None
        Its exit status.
    """

    def __init__(self, client: Client, endpoint: Endpoint) -> None:
        self._client = client
        self._endpoint = endpoint
        self.streams: tuple[Attempt, ...] = ()
        self.started = 0.0
        self.seconds = 0.0
        self.status: int | None = None

    def run(self, process: ManagedProcess) -> None:
        """Start the streams, send SIGTERM in their middle and wait for all."""
        with ThreadPoolExecutor(N_STREAMS) as pool:
            futs = [pool.submit(self._stream, i) for i in range(N_STREAMS)]
            time.sleep(HEAD_START_SECONDS)
            self.started = time.monotonic()
            process.terminate()
            self.status = process.wait()
            self.seconds = time.monotonic() - self.started
            self.streams = tuple(fut.result() for fut in futs)

    def _stream(self, number: int) -> Attempt:
        program = f"long-{number}"
        spec = CallSpec.from_turn(program, "", 1, "a long answer", WORDS)
        return self._client.attempt(spec, self._endpoint)
