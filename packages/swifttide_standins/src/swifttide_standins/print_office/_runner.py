"""A runner of the print office as a server on loopback."""

import asyncio
import json
from collections.abc import Callable

from swifttide_standins.print_office._cold_start import ColdStart
from swifttide_standins.print_office._http_server import HttpServer, Reply, Request

Script = Callable[[Request], Reply | None]


class Runner:
    """Runs requests by a script and remembers them.

    Parameters
    ----------
    id : str
    service : str
    zone : str
    version : str
        Version of its software.

    Attributes
    ----------
    script : callable
        Takes a request and returns its reply, or None to break off.
    ran : list of Request
        Requests that it began to run.
    cold_start : ColdStart or None
        Makes it crash under more than it bears.
    left : list of str
        Ids of requests whose connection was closed while they ran.
    """

    def __init__(
        self, id: str, service: str, zone: str = "zone-a", version: str = "v1"
    ):
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.script: Script = self.events(3)
        self.run_seconds = 0.0
        self.ran: list[Request] = []
        self.cold_start: ColdStart | None = None
        self.left: list[str] = []
        self.server = HttpServer(self._handle)

    def entry(self, state: str = "ready", **more) -> bytes:
        """Return what it writes to the store."""
        document = {
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone,
            "version": self.version,
            "capacity": 12,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        return json.dumps(document | more).encode()

    def events(
        self, count: int, start: int = 1, stamped: bool = False, **more
    ) -> Script:
        """Return a script that answers with numbered events.

        Stamped events name the version of the software that made them.
        """
        stamp = f" {self.version}" if stamped else ""

        def script(request):
            first = int(request.fields.get("last-event-id", start - 1)) + 1
            numbers = range(first, count + 1)
            pieces = tuple(f"id: {n}\ndata: d{n}{stamp}\n\n".encode() for n in numbers)
            return self.reply(request, pieces, **more)

        return script

    def body(self, text: bytes, status: int = 200, **more) -> Script:
        """Return a script that answers with one body."""

        def script(request):
            return self.reply(request, (text,), status=status, **more)

        return script

    def without_end(
        self, endless: bytes, head: bytes | None = None, gap_seconds: float = 0.0
    ) -> Script:
        """Return a script that sends bytes until its connection is closed.

        Parameters
        ----------
        endless : bytes
            Sent again and again.
        head : bytes or None
            Sent before; ``ATTEMPT`` stands for the id of the request. By default that
            of a chunked answer.
        gap_seconds : float
            Pause between them.
        """
        if head is None:
            head = (
                b"HTTP/1.1 200 OK\r\nSwifttide-Attempt-Id: ATTEMPT\r\n"
                b"Swifttide-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            )

        def script(request):
            attempt = request.fields["swifttide-attempt-id"].encode()
            return Reply(
                raw_before=head.replace(b"ATTEMPT", attempt),
                endless=endless,
                endless_gap_seconds=gap_seconds,
            )

        return script

    def refusal(self, status: int = 503) -> Script:
        """Return a script that refuses without running the request."""

        def script(request):
            return Reply(status, {"Swifttide-Not-Executed": "1"})

        return script

    def reply(self, request: Request, pieces: tuple[bytes, ...], **more) -> Reply:
        """Return an answer with this runner's mark."""
        fields = {
            "Swifttide-Attempt-Id": request.fields["swifttide-attempt-id"],
            "Swifttide-Server-Stamp": f"stamp-{self.id}",
            "Transfer-Encoding": "chunked",
        }
        return Reply(fields=fields, pieces=pieces, **more)

    async def _handle(self, request: Request) -> Reply | None:
        if request.fields.get("swifttide-expect-instance") != self.id:
            return Reply(421, {"Swifttide-Instance-Id": self.id})
        if self.cold_start is not None and self.cold_start.crashes():
            return None
        reply = self.script(request)
        if reply is not None and "Swifttide-Not-Executed" in reply.fields:
            return reply
        self.ran.append(request)
        if self.run_seconds and await self._was_left(request):
            self.left.append(request.fields["swifttide-attempt-id"])
            return None
        return reply

    async def _was_left(self, request) -> bool:
        try:
            async with asyncio.timeout(self.run_seconds):
                await request.closed.wait()
            return True
        except TimeoutError:
            return False
