"""The calls that run at this host as a holder."""

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
"""How long the events of an ended call wait for an entry host that lost them."""

Runner = Callable[[Call, RunningCall, str], None]


class CallTable:
    """Calls by request id, each on a thread of its own.

    Parameters
    ----------
    runner : callable
        Runs a call and appends its events.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self._calls: dict[str, RunningCall] = {}
        self._lock = threading.Lock()

    def attach(self, call: Call, traceparent: str = "") -> RunningCall:
        """Return the running call, starting it if this host hasn't seen it."""
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
        """Return how many calls haven't ended."""
        with self._lock:
            return sum(1 for call in self._calls.values() if call.ended_at is None)

    def _run(self, call: Call, running: RunningCall, traceparent: str) -> None:
        try:
            self.runner(call, running, traceparent)
        except Exception:
            log.exception("call failed", extra={"request_id": call.request_id})
        finally:
            # Changes nothing when the runner has ended the call.
            running.append(
                Failed(
                    Refusal(
                        Reason.INTERNAL,
                        "an internal error; it is in the log",
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
