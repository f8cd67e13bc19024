"""Listens for callers within the resources of the process."""

from __future__ import annotations

import resource
import socket
from typing import TYPE_CHECKING, Final

from tornado import netutil

if TYPE_CHECKING:
    from tornado.tcpserver import TCPServer

# Buffers of the kernel for one caller, each way (bytes; the kernel doubles
# them). With automatic sizes one connection may hold megabytes.
_SOCKET_BUFFER_BYTES: Final = 65_536


def listen_bounded(server: TCPServer, port: int, host: str) -> None:
    """Listen with bounded buffers, which the connections inherit."""
    sockets = netutil.bind_sockets(port, host)
    for sock in sockets:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
    server.add_sockets(sockets)


def find_max_fds(configured: int) -> int:
    """Return how many descriptors may be open; at most ``configured``.

    A process that reaches its own limit can no longer accept connections nor
    reach runners and the store.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft)
