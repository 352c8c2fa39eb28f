"""Bytes on a process's TCP connections, as the kernel counts them."""

import re
import subprocess
from collections.abc import Collection

LIST_SOCKETS = ("ss", "--tcp", "--info", "--numeric", "--processes", "--no-header")
_PID = re.compile(r"pid=(\d+)")
_SENT = re.compile(r"\bbytes_sent:(\d+)")
_RECEIVED = re.compile(r"\bbytes_received:(\d+)")


def connection_bytes(pids: Collection[int]) -> int:
    """Return the bytes sent and received on the processes' open connections.

    Parameters
    ----------
    pids : collection of int
        Processes of this machine.

    Notes
    -----
    HTTP bytes without TCP and IP headers. A connection that closes between two
    samples drops out, so compare samples of processes whose connections last.
    """
    listing = subprocess.run(LIST_SOCKETS, capture_output=True, text=True, check=True)
    return parse_bytes(listing.stdout, pids)


def parse_bytes(listing: str, pids: Collection[int]) -> int:
    """Return the bytes of `pids` in a listing: two lines a socket."""
    total = 0
    owned = False
    for line in listing.splitlines():
        if not line[:1].isspace():
            found = _PID.search(line)
            owned = found is not None and int(found.group(1)) in pids
        elif owned:
            total += _sum_of(_SENT, line) + _sum_of(_RECEIVED, line)
    return total


def _sum_of(pattern: re.Pattern[str], line: str) -> int:
    found = pattern.search(line)
    return int(found.group(1)) if found else 0
