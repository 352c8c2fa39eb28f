"""HTTP client for calls to other hosts."""

import asyncio

import h11

from swifttide_daemon.gateway.http._connection_pool import ConnectionPool
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import (
    PeerAnswer,
    PeerRequest,
    decode_answer,
    encode,
)
from swifttide_daemon.gateway.peers._peer_server import MAX_BODY_BYTES, PEER_CALL_PATH


class PeerClient:
    """Sends calls to other hosts over pooled HTTP connections.

    Parameters
    ----------
    pool : ConnectionPool
    """

    def __init__(self, pool: ConnectionPool):
        self._pool = pool

    async def call(
        self, peer: Peer, request: PeerRequest, seconds: float
    ) -> PeerAnswer | None:
        """Send a call and return the answer.

        None if no valid answer arrived in time. The other host may or may not have
        carried out the call in that case.

        Parameters
        ----------
        peer : Peer
        request : PeerRequest
        seconds : float
            Timeout of the whole call.
        """
        body = encode(request)
        fields = [
            (b"Host", f"{peer.ip}:{peer.port}".encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
        ]
        conn = None
        try:
            async with asyncio.timeout(seconds) as limit:
                conn, _ = await self._pool.take(peer.ip, peer.port)
                conn.send("POST", PEER_CALL_PATH, fields, body)
                await conn.read_head()
                raw = await conn.read_body(MAX_BODY_BYTES, limit)
                answer = decode_answer(raw)
        except (OSError, EOFError, h11.RemoteProtocolError, ValueError):
            if conn is not None:
                conn.close()
            return None
        except BaseException:
            if conn is not None:
                conn.close()
            raise
        self._pool.give_back(peer.ip, peer.port, conn, None)
        return answer
