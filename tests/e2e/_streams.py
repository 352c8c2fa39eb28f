"""Targets of several software versions, and callers who resume broken streams."""

import asyncio
import os
from dataclasses import dataclass, field

import h11

from swifttide_standins.print_office import Runner

ZONES = ("za", "zb", "zc")
N_EVENTS = 10
EVENT_GAP_SECONDS = 0.04
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
"""Time without a disturbance after which a host is expected to serve."""

RENEWAL_SECONDS = 0.3
"""Pause between two renewals of a target's entry."""

MIN_JUDGED_STREAMS = 12
"""Streams taken up from which on the users judge the share that goes on."""


def chosen_seeds():
    first, _, last = os.environ.get("SWIFTTIDE_SOAK_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


def chosen_n_hosts():
    return int(os.environ.get("SWIFTTIDE_SOAK_HOSTS", "6"))


def streaming_route(service, timeout_seconds, name="check"):
    """Return a route whose streams may be resumed, of the operator's document."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "type": "streaming",
        "resumable": True,
        "timeout_ms": int(timeout_seconds * 1000),
        "latency_target_ms": 200,
        "gap_target_ms": 200,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
    }


def service_entry(name):
    """Return a service of the operator's document."""
    return {"name": name, "runtime": {"chunk_tokens": 10, "capacity": 12}}


class Targets:
    """Targets that register, crash, drain and come back at another version.

    Parameters
    ----------
    store : RowServer
    rng : random.Random
    service : str

    Attributes
    ----------
    serving : dict of str to Runner
    """

    def __init__(self, store, rng, service="engines"):
        self._store = store
        self._rng = rng
        self._service = service
        self._number = 0
        self._born = {}
        self.serving = {}

    async def start(self, version, id=None, port=0, **script):
        """Start a target and register it; return its id.

        Parameters
        ----------
        version : str
        id : str or None
            Id of a target that has ended; None for a new one.
        port : int
            Port of a target that has ended; 0 for a new one.
        **script
            Fields of its answers, see `Reply`.
        """
        self._number += 1
        prefix = "t" if self._service == "engines" else f"{self._service}-"
        id = id or f"{prefix}{self._number}"
        runner = Runner(id, self._service, self._rng.choice(ZONES), version)
        script = {"gap_seconds": EVENT_GAP_SECONDS} | script
        runner.script = runner.events(N_EVENTS, stamped=True, **script)
        await runner.server.start(port)
        self.serving[id] = runner
        self._born[id] = self._number
        self.write(id, born=self._number)
        return id

    def write(self, id, **changes):
        self._store.rows.put("servers", id, self.serving[id].entry(**changes))

    async def renew_entries(self):
        """Renew the entries of all targets in service until cancelled."""
        sequence = 1
        while True:
            sequence += 1
            for id in self.serving:
                self.write(id, born=self._born[id], sequence=sequence)
            await asyncio.sleep(RENEWAL_SECONDS)

    def n_serving(self, version):
        return sum(runner.version == version for runner in self.serving.values())

    async def crash(self, id):
        """End a target without a word; its entry stays for a while."""
        runner = self.serving.pop(id)
        await runner.server.stop()
        return runner

    async def drain(self, id):
        """Announce a target's end and end it once its streams have."""
        self.write(id, state="draining")
        runner = self.serving.pop(id)
        await asyncio.sleep(DRAIN_SECONDS)
        self.remove_entry(id)
        await runner.server.stop()

    def remove_entry(self, id):
        self._store.rows.remove("servers", id)

    async def stop(self):
        for id in list(self.serving):
            await self.crash(id)


@dataclass
class Stream:
    """What a caller got of one stream.

    Parameters
    ----------
    name : str
    began_at : float
        Time at which its first request was sent, by the event loop's clock.
    first_attempt : str
        Attempt that got the first event.
    parts : list of (str, str, list of (int, str))
        For each attempt that got any event its id, its host, and id and version of
        each event.
    """

    name: str
    began_at: float = 0.0
    first_attempt: str = ""
    parts: list = field(default_factory=list)
    is_whole: bool = False

    @property
    def events(self):
        return [event for _, _, events in self.parts for event in events]

    @property
    def version(self):
        return self.events[0][1]

    def add(self, attempt, host, events, is_whole):
        """Add what an attempt got."""
        if events:
            self.first_attempt = self.first_attempt or attempt
            self.parts.append((attempt, host, events))
        self.is_whole = is_whole

    def check(self):
        """Assert that it is of one version, without gaps, and whole if it ended so."""
        assert len({version for _, version in self.events}) == 1, self
        numbers = [number for number, _ in self.events]
        assert numbers == list(range(1, len(numbers) + 1)), self
        if self.is_whole:
            assert len(numbers) == N_EVENTS, self


@dataclass
class Tally:
    """Streams that were asked of hosts in touch, and those that got an event."""

    new: int = 0
    begun: int = 0
    taken_up: int = 0
    gone_on: int = 0

    def __add__(self, other):
        return Tally(
            self.new + other.new,
            self.begun + other.begun,
            self.taken_up + other.taken_up,
            self.gone_on + other.gone_on,
        )

    def count(self, is_new, has_event):
        if is_new:
            self.new += 1
            self.begun += has_event
        else:
            self.taken_up += 1
            self.gone_on += has_event

    def check(self):
        """Assert that streams are taken up, if the users would judge them."""
        if self.taken_up >= MIN_JUDGED_STREAMS:
            share_begun = self.begun / self.new
            assert self.gone_on / self.taken_up >= 0.5 * share_begun, self


def request_fields(stream, attempt, deadline_seconds, names_attempt=True):
    """Return the fields of a request for a stream or its rest."""
    fields = [
        ("Host", "shop.example"),
        ("Swifttide-Attempt-Id", attempt),
        ("Swifttide-Deadline-Ms", str(int(deadline_seconds * 1000))),
        ("Swifttide-Affinity-Key", stream.name),
        ("Content-Length", str(len(stream.name.encode()))),
    ]
    if stream.parts:
        if names_attempt:
            fields.append(("Resumes", stream.first_attempt))
        fields.append(("Last-Event-Id", str(stream.events[-1][0])))
    return fields


class CallerConnection:
    """Connection of a caller to a host.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter

    Attributes
    ----------
    status : int or None
        Status of the last answer.
    body : bytearray
        What came of the last answer.
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.status = None
        self.body = bytearray()

    @property
    def may_be_kept(self):
        """Whether another request may be sent."""
        states = (h11.DONE, h11.DONE)
        return (self._http.our_state, self._http.their_state) == states

    async def stream(self, path, fields, body, leave_after=None):
        """Send a request for a stream; return whether its answer came to its end.

        Parameters
        ----------
        path : str
        fields : list of (str, str)
        body : bytes
        leave_after : int or None
            Number of events after which the caller stops reading.
        """
        self.status, self.body = None, bytearray()
        http = self._http
        if self.may_be_kept:
            http.start_next_cycle()
        request = h11.Request(method="POST", target=path, headers=fields)
        self._writer.write(http.send(request) + http.send(h11.Data(data=body)))
        self._writer.write(http.send(h11.EndOfMessage()))
        while True:
            match http.next_event():
                case h11.Response(status_code=status):
                    self.status = status
                case h11.Data(data=data):
                    self.body += data
                    if self.status == 200 and self.body.count(b"\n\n") == leave_after:
                        return False
                case h11.EndOfMessage():
                    return self.status == 200
                case h11.ConnectionClosed():
                    return False
                case _:
                    http.receive_data(await self._reader.read(65_536))

    def events(self):
        """Return id and version of each complete event of the last answer."""
        return parse_events(bytes(self.body)) if self.status == 200 else []

    def close(self):
        self._writer.close()


def parse_events(body):
    """Return id and version of each complete event."""
    found = []
    for event in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
        found.append((int(fields["id"]), fields["data"].split()[1]))
    return found
