"""A caller's client."""

import threading
import time

import msgspec
import urllib3

from swifttide_standins.loadgen._balancer import Balancer, Endpoint
from swifttide_standins.loadgen._call_record import Attempt, CallRecord
from swifttide_standins.loadgen._call_spec import CallKind, CallSpec
from swifttide_standins.loadgen._outcome import (
    Answered,
    Broken,
    NotConnected,
    Outcome,
    Refused,
)
from swifttide_standins.loadgen._sse import SseError, iter_events

VERDICT = "Swifttide-Verdict"
GIVE_UP_SECONDS = 30.0
READ_SECONDS = 15.0
CONNECT_SECONDS = 1.0
RECONNECT_SECONDS = 0.2
MAX_IDLE = 64


class Client:
    """Sends calls as the callers' page asks for.

    Parameters
    ----------
    balancer : Balancer
        Picks the host of each attempt.
    key, profile : str
        Sent with each call.
    zone : str
        Where the caller is.

    Notes
    -----
    A refusal is sent again only when it says when to come back, as docs/callers.md
    asks; a turn that may have run is answered from the history then, or run. A
    connection that broke gives no verdict: the SAME call, with its turn number or
    its Idempotency-Key, is sent again to learn what became of it.
    """

    def __init__(
        self, balancer: Balancer, key: str, profile: str, zone: str = ""
    ) -> None:
        self._balancer = balancer
        self._key = key
        self._profile = profile
        self._zone = zone
        self._pool = urllib3.PoolManager(retries=False, maxsize=MAX_IDLE)
        self._stopped = threading.Event()

    def call(self, spec: CallSpec, first: Endpoint | None = None) -> CallRecord:
        """Send a call until it is settled or the caller gives up.

        Parameters
        ----------
        spec : CallSpec
            What to send.
        first : Endpoint or None
            Host of the first attempt; the balancer picks the others.
        """
        give_up = time.monotonic() + GIVE_UP_SECONDS
        attempts = [self.attempt(spec, first)]
        while True:
            pause = _pause(spec, attempts[-1].outcome)
            if pause is None or time.monotonic() + pause > give_up:
                return CallRecord(spec, tuple(attempts))
            if self._stopped.wait(pause):
                return CallRecord(spec, tuple(attempts))
            attempts.append(self.attempt(spec))

    def attempt(self, spec: CallSpec, endpoint: Endpoint | None = None) -> Attempt:
        """Send a call once, to the given host or to one that the balancer picks."""
        started = time.monotonic()
        endpoint = endpoint or self._balancer.pick(self._zone)
        if endpoint is None:
            time.sleep(RECONNECT_SECONDS)
            outcome = NotConnected("no host is ready")
            return Attempt("", started, 0.0, time.monotonic(), outcome)
        first_token, outcome = self._send(spec, endpoint)
        return Attempt(endpoint.host, started, first_token, time.monotonic(), outcome)

    def stop(self) -> None:
        """Send nothing again from now on."""
        self._stopped.set()

    def _send(self, spec: CallSpec, endpoint: Endpoint) -> tuple[float, Outcome]:
        try:
            answer = self._pool.request(
                "POST",
                endpoint.url + spec.path,
                body=spec.body,
                headers=spec.headers(self._key, self._profile),
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS),
                preload_content=False,
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as exc:
            return 0.0, NotConnected(str(exc))
        except urllib3.exceptions.HTTPError as exc:
            return 0.0, Broken(str(exc), begun=False)
        try:
            return _read(spec, answer)
        except (urllib3.exceptions.HTTPError, SseError) as exc:
            answer.close()
            return 0.0, Broken(str(exc), begun=True)
        finally:
            answer.release_conn()


def _read(spec: CallSpec, answer: urllib3.BaseHTTPResponse) -> tuple[float, Outcome]:
    if answer.status >= 300:
        return 0.0, _refused(answer.status, answer.headers, answer.read())
    verdict = answer.headers.get(VERDICT, "")
    if spec.kind is CallKind.SERVICE:
        return 0.0, Answered(answer.read().decode(), verdict)
    return _read_stream(answer, verdict)


def _read_stream(
    answer: urllib3.BaseHTTPResponse, verdict: str
) -> tuple[float, Outcome]:
    first_token = 0.0
    words = []
    for event in iter_events(answer.stream()):
        if "verdict" in event:
            return first_token, _refused_in_stream(event)
        for choice in event.get("choices", ()):
            first_token = first_token or time.monotonic()
            words.append(choice["delta"].get("content", ""))
    # The answer's last chunk is still unread; left there, the connection couldn't
    # carry another request.
    answer.drain_conn()
    return first_token, Answered("".join(words), verdict, len(words))


def _refused(status: int, headers: dict, body: bytes) -> Refused:
    try:
        problem = msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError:
        problem = {}
    after = headers.get("Retry-After")
    return Refused(
        status=status,
        reason=str(problem.get("reason", "")),
        verdict=headers.get(VERDICT, str(problem.get("verdict", ""))),
        detail=str(problem.get("detail", "")),
        retry_after_seconds=None if after is None else float(after),
    )


def _refused_in_stream(event: dict) -> Refused:
    return Refused(
        status=int(event.get("status", 200)),
        reason=str(event.get("reason", "")),
        verdict=str(event["verdict"]),
        detail=str(event.get("detail", "")),
        retry_after_seconds=event.get("retry_after_seconds"),
    )


def _pause(spec: CallSpec, outcome: Outcome) -> float | None:
    """Return after how many seconds to send again, None for not at all."""
    match outcome:
        case Answered():
            return None
        case Refused(verdict="not_run", retry_after_seconds=float() as pause):
            return pause
        case Refused(retry_after_seconds=float() as pause) if spec.turn:
            # The SAME turn: it is answered from the history, or run.
            return pause
        case Refused():
            return None
        case Broken() | NotConnected():
            return RECONNECT_SECONDS
