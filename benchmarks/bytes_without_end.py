"""Sound requests beside connections on which bytes come without end.

Load pattern: four connections to a target, or of callers, carry pieces that cost far
more to parse than they carry, at full speed, while eight ordinary callers ask a sound
target for short answers. All run on one event loop, with the stand-ins.

Run with ``python -m benchmarks.bytes_without_end``. It prints, for each kind, how many
of the ordinary requests were answered in four seconds, and the slowest of them.
"""

import asyncio
import time

from swifttide_daemon.platform.tests.conftest import HOST, Site, wire_name

N_BROKEN = 4
N_CALLERS = 8
SECONDS = 4.0
CHUNKED_ANSWER = None
"""Stands for the usual head of a chunked answer."""

KINDS = {
    "none": None,
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks of one byte": (CHUNKED_ANSWER, b"1\r\nx\r\n"),
    "tiny events in large chunks": (
        CHUNKED_ANSWER,
        b"1000\r\n" + b"\n\n" * 2048 + b"\r\n",
    ),
    "small events": (CHUNKED_ANSWER, b"9\r\ndata: x\n\n\r\n"),
    "callers' chunks of one byte": None,
}


async def ask_broken_target(site: Site) -> None:
    """Ask again and again, and read what comes."""
    while True:
        await site.send("/check/1", deadline_ms="1500")


async def send_tiny_chunks(site: Site) -> None:
    """Send a body in chunks of one byte, and begin again where it is refused."""
    head = (
        f"POST /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\n{wire_name('attempt_id')}: a1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    while True:
        reader, writer = await asyncio.open_connection(*site.ports[0][:2])
        writer.write(head)
        try:
            while not reader._buffer:
                writer.write(b"1\r\nx\r\n" * 10_000)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def ask_sound_target(site: Site, seconds: list[float]) -> None:
    """Ask again and again; append the time of each request that was answered."""
    while True:
        began = time.perf_counter()
        answer = await site.send("/lookup/1")
        if answer.status == 200:
            seconds.append(time.perf_counter() - began)


async def measure(kind: str) -> None:
    """Play one kind and print its line."""
    site = Site()
    await site.start()
    broken = await site.add_runner("i-1", "engines")
    sound = await site.add_runner("i-2", "app")
    sound.script = sound.body(b"found")
    sound.run_seconds = 0.02
    if KINDS[kind]:
        head, endless = KINDS[kind]
        broken.script = broken.without_end(endless, head)
        disturb = ask_broken_target
    else:
        disturb = send_tiny_chunks
    n_disturbing = 0 if kind == "none" else N_BROKEN
    await asyncio.sleep(1.5)
    seconds: list[float] = []
    tasks = [asyncio.create_task(disturb(site)) for _ in range(n_disturbing)]
    tasks += [
        asyncio.create_task(ask_sound_target(site, seconds)) for _ in range(N_CALLERS)
    ]
    await asyncio.sleep(SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(f"{kind}: {len(seconds)} answered, slowest {max(seconds, default=0.0):.2f} s")
    await site.close()


def main() -> None:
    """Measure all kinds, one after the other."""
    for kind in KINDS:
        asyncio.run(measure(kind))


if __name__ == "__main__":
    main()
