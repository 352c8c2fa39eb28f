"""Connection pool for outgoing HTTP requests."""

import socket

import urllib3

from swifttide_daemon.transport._bounded_head import BoundedHTTPPool, BoundedHTTPSPool

KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MILLISECONDS = 10_000

# A device on the network path may lose the state of an open connection. Packets are
# then dropped without a reset, and a request would wait for its whole timeout.
# Keepalive detects such a connection while it is idle, and TCP_USER_TIMEOUT while sent
# data is not acknowledged.
TCP_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
)


def make_connection_pool(
    n_pools: int = 64, connections_per_peer: int = 32
) -> urllib3.PoolManager:
    """Return a connection pool that neither retries nor follows redirects.

    urllib3 must not retry, because it can't know which calls may run twice. The head of
    an answer has to be complete within the read time-out.
    """
    pools = urllib3.PoolManager(
        num_pools=n_pools,
        maxsize=connections_per_peer,
        retries=False,
        socket_options=list(TCP_SOCKET_OPTIONS),
    )
    pools.pool_classes_by_scheme = {"http": BoundedHTTPPool, "https": BoundedHTTPSPool}
    return pools
