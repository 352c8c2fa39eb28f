"""Table of the calls that this host runs as a holder.

A call is started once per request id. A repeated request, after the connection to the
entry host broke, is attached to the running or recently ended call. Without this, the
call would run twice.
"""

import logging
import threading
import time
from collections.abc import Callable

from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls._call import Call
from swifttide_daemon.calls._events import Failed
from swifttide_daemon.calls._running_call import RunningCall

log = logging.getLogger(__name__)

ENDED_CALL_RETENTION_SECONDS = 30.0
"""Time for which the events of an ended call are kept, for an entry host that lost its
connection and reads them again."""

Runner = Callable[[Call, RunningCall, str], None]


class CallTable:
    """Running and recently ended calls by request id, each run by its own thread.

    Parameters
    ----------
    runner : callable
        Runs a call and appends its events to the `RunningCall`. The third argument
        is the trace context of the entry host.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self._calls: dict[str, RunningCall] = {}
        self._lock = threading.Lock()

    def attach(self, call: Call, traceparent: str = "") -> RunningCall:
        """Return the call with the same request id, or start it if there is none."""
        with self._lock:
            self._evict_ended()
            running = self._calls.get(call.request_id)
            if running is not None:
                return running
            running = self._calls[call.request_id] = RunningCall()
        args = (call, running, traceparent)
        threading.Thread(target=self._run, args=args, daemon=True).start()
        return running

    def n_running(self) -> int:
        """Return the number of calls that have not ended."""
        with self._lock:
            return sum(1 for call in self._calls.values() if call.ended_at is None)

    def _run(self, call: Call, running: RunningCall, traceparent: str) -> None:
        try:
            self.runner(call, running, traceparent)
        except Exception:
            log.exception(
                "call failed with an unhandled exception",
                extra={"request_id": call.request_id},
            )
        finally:
            # Ignored if the runner has already appended a final event.
            running.append(
                Failed(
                    Refusal(
                        Reason.INTERNAL,
                        "internal error; see the log of the host",
                        verdict=Verdict.MAY_HAVE_RUN,
                    )
                )
            )

    def _evict_ended(self) -> None:
        limit = time.monotonic() - ENDED_CALL_RETENTION_SECONDS
        self._calls = {
            request_id: call
            for request_id, call in self._calls.items()
            if call.ended_at is None or call.ended_at > limit
        }
