"""Requesters: one attempt on a new channel, as the platform's pages say."""

import asyncio
import secrets
import time
from dataclasses import dataclass, field

import h11


@dataclass
class Outcome:
    """What a requester got for one attempt.

    Attributes
    ----------
    status : int
        0 without an answer.
    is_whole : bool
        Whether the answer came to its end.
    """

    attempt: str
    host: str
    sent_at: float
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def retry_after(self):
        """Seconds after which the requester may come back; 0 if not stated."""
        return float(self.fields.get("retry-after", 0))


async def send(hosts, ip, record, path, fields, body, seconds, label="", method="POST"):
    """Send one attempt to a host and return its outcome."""
    attempt = secrets.token_hex(8)
    outcome = Outcome(attempt, ip, time.monotonic())
    record.write("sent", label=label, attempt=attempt, host=ip, path=path)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await hosts.connect(ip)
            head = {
                "Host": "app.example",
                "Swifttide-Attempt-Id": attempt,
                "Swifttide-Deadline-Ms": str(int(seconds * 1000)),
            } | fields
            if body or method == "POST":
                head["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in head.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read(reader, outcome)
    except (OSError, EOFError, h11.RemoteProtocolError, TimeoutError) as exc:
        record.write("broke", attempt=attempt, reason=type(exc).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()
    record.write(
        "answered",
        label=label,
        attempt=attempt,
        host=ip,
        status=outcome.status,
        whole=outcome.is_whole,
        text=outcome.body[:60].decode("latin-1") if outcome.status != 200 else "",
        retry_after=outcome.fields.get("retry-after", ""),
    )
    return outcome


async def _read(reader, outcome):
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
    http.send(h11.EndOfMessage())
    while True:
        match http.next_event():
            case h11.Response() as head:
                outcome.status = head.status_code
                outcome.fields = {n.decode(): v.decode() for n, v in head.headers}
            case h11.Data(data=data):
                outcome.body += data
            case h11.EndOfMessage():
                outcome.is_whole = True
                return
            case h11.ConnectionClosed():
                raise EOFError
            case _:
                http.receive_data(await reader.read(65_536))
