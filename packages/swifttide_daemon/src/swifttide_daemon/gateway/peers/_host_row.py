"""Encoding of the rows in which hosts register, and the checks of what they state."""

from typing import Annotated

import msgspec

from swifttide_core.checks import InvalidFields, JsonDecoder, check_host_address
from swifttide_daemon.gateway.peers._peer import Peer

Text = Annotated[str, msgspec.Meta(max_length=200)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Cores = Annotated[float, msgspec.Meta(gt=0.0, le=4096.0)]


class _HostRow(msgspec.Struct):
    ip: Text
    port: Port
    zone: Text
    boot: Text
    cores: Cores = 1.0


_rows = JsonDecoder(_HostRow)


def encode_host(peer: Peer) -> bytes:
    """Return the value of the row of a host."""
    return msgspec.json.encode(
        _HostRow(peer.ip, peer.port, peer.zone, peer.boot, peer.cores)
    )


def decode_host(value: bytes) -> Peer:
    """Return the host that a row describes.

    Raises
    ------
    ValueError
        The row can't be read, or messages can't be sent to its address.
    """
    row = _rows.decode(value)
    InvalidFields.raise_for(check_host_address("ip", row.ip))
    return Peer(row.ip, row.port, row.zone, row.boot, row.cores)
