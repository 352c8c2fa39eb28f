"""Callers that keep channels open, one request at a time on each."""

import asyncio
import itertools
import socket
from dataclasses import dataclass, field

import h11
from review_support._record import Record

READ_BYTES = 65_536

_numbers = itertools.count(1)


@dataclass
class Answer:
    """What a caller got for one request.

    Attributes
    ----------
    status : int or None
        None if the channel ended before any answer.
    fields : dict of str to str
    body : bytes
    complete : bool
        Whether the answer ended as complete.
    keeps_channel : bool
        Whether the answer lets the caller send on the same channel again.
    ended_at : float
        Seconds since the case began, at the end of the answer or of the channel.
    """

    status: int | None = None
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    keeps_channel: bool = False
    ended_at: float = 0.0

    @property
    def events(self) -> list[dict[str, str]]:
        """Complete events of a stream, by the names of their lines."""
        found = []
        for text in self.body.decode().split("\n\n")[:-1]:
            lines = (line.partition(": ") for line in text.split("\n"))
            found.append({name: value for name, _, value in lines})
        return found


def call_fields(
    host: str, attempt: str, deadline_ms: int, **more: str
) -> dict[str, str]:
    """Return the header fields of a request; ``more`` has underscores for hyphens."""
    fields = {
        "Host": host,
        "Swifttide-Attempt-Id": attempt,
        "Swifttide-Deadline-Ms": str(deadline_ms),
    }
    return fields | {name.replace("_", "-"): value for name, value in more.items()}


class Channel:
    """A caller's channel to a daemon.

    Parameters
    ----------
    record : Record
    ip : str
    port : int
    bytes_per_second : float or None
        Rate at which the caller reads; None for as fast as it can.

    Attributes
    ----------
    n_answered : int
        Requests that were answered whole on this channel; with one or more it is a
        kept channel.
    """

    def __init__(
        self,
        record: Record,
        ip: str,
        port: int,
        bytes_per_second: float | None = None,
    ):
        self.name = f"ch-{next(_numbers)}"
        self.ip = ip
        self.n_answered = 0
        self._record = record
        self._port = port
        self._rate = bytes_per_second
        self._sock: socket.socket | None = None
        self._http: h11.Connection | None = None

    async def open(self) -> None:
        """Open the channel; raises `OSError`."""
        sock = socket.socket()
        if self._rate is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, (self.ip, self._port))
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)

    async def ask(
        self, method: str, path: str, fields: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and read its answer to the end, or to that of the channel."""
        kept = "a kept" if self.n_answered else "a new"
        attempt = fields["Swifttide-Attempt-Id"]
        self._record.add(
            f"caller sends {attempt} {method} {path} to {self.ip} on {kept} channel "
            f"{self.name}"
        )
        answer = Answer()
        try:
            await self._send(method, path, fields, body)
            await self._read(answer)
        except (OSError, h11.RemoteProtocolError) as exc:
            self._record.add(f"channel {self.name} ends: {type(exc).__name__}")
        answer.ended_at = self._record.seconds()
        end = "whole" if answer.complete else "NOT whole"
        status = answer.status or "no answer"
        self._record.add(
            f"caller of {attempt} has {status}, {len(answer.body)} bytes, {end}"
        )
        self.n_answered += answer.complete
        return answer

    async def _send(self, method, path, fields, body):
        headers = list(fields.items())
        if method != "GET" or body:
            headers.append(("Content-Length", str(len(body))))
        data = self._http.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def _read(self, answer):
        while True:
            event = self._http.next_event()
            match event:
                case h11.Response():
                    answer.status = event.status_code
                    answer.fields = {
                        n.decode(): v.decode() for n, v in event.headers.raw_items()
                    }
                    answer.fields = {n.lower(): v for n, v in answer.fields.items()}
                case h11.Data():
                    answer.body += bytes(event.data)
                case h11.EndOfMessage():
                    answer.complete = True
                    answer.keeps_channel = self._http.their_state is h11.DONE
                    if answer.keeps_channel:
                        self._http.start_next_cycle()
                    return
                case h11.ConnectionClosed():
                    return
                case _:
                    self._http.receive_data(await self._receive())

    async def _receive(self):
        loop = asyncio.get_running_loop()
        if self._rate is None:
            return await loop.sock_recv(self._sock, READ_BYTES)
        pause = 0.05
        await asyncio.sleep(pause)
        return await loop.sock_recv(self._sock, int(self._rate * pause))

    def close(self) -> None:
        """Close the channel."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
