"""Bounds on reading from other processes, whatever they send and for how long.

All readers of HTTP use these bounds: callers' requests, answers of targets, of the
store and of other hosts, and their calls. Bytes may come without end, in a head or in a
body. Three things are bounded:

- the time for which one connection holds the event loop, by `EventPace`;
- the pieces of a message by the bytes that they carry, by `PieceBudget`;
- the duration of a message, by the deadline of the request or by `TransferDeadline`.
  An answer that grows is no progress by itself.
"""

import asyncio

EVENTS_PER_TURN = 8
"""Parsed events after which other tasks run. One takes 20 to 60 microseconds, and a
single read of 64 KB may hold ten thousand."""

MIN_REQUEST_PIECE_BYTES = 256
"""Smallest mean size of the pieces of a request's body. A body of 4 MB has 16,000 such
pieces, which take half a second to parse."""

MIN_ANSWER_PIECE_BYTES = 8
"""Smallest mean size of the pieces and of the events of an answer. A stream may send
each token as an event, the shortest of which (``data: x``) has 9 bytes."""

MAX_INFORMATIONAL_HEADS = 16
"""Heads with a status of 1xx before the one of the answer. Servers send one or two."""

MIN_TRANSFER_BYTES_PER_SECOND = 65_536.0
"""Rate below which a large answer of the store or of another host is given up. The
narrowest link of a host, 15 Mbit/s, carries thirty times as much."""


class EventPace:
    """Lets other tasks run while one connection has many events to parse."""

    def __init__(self):
        self._n_events = 0

    async def step(self) -> None:
        """Count an event, and yield to the event loop after `EVENTS_PER_TURN`.

        Without it, a task whose next bytes have already arrived never yields: neither
        other requests nor time-outs get their turn, nor do beacons to other hosts.
        """
        self._n_events += 1
        if self._n_events >= EVENTS_PER_TURN:
            self._n_events = 0
            await asyncio.sleep(0)
