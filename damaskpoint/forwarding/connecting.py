"""Opens TCP connections to IP addresses."""

from __future__ import annotations

import asyncio
import math
import socket
from typing import TYPE_CHECKING, Final

from tornado import iostream

from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.forwarding.exchange import SocketAddress

_MS: Final = 1000
# Bytes that are read at once; bounds what is read ahead of a slow caller.
_READ_BYTES: Final = 32_768


async def open_stream(
    address: SocketAddress, timeout_s: float, ack_timeout_s: float | None = None
) -> iostream.IOStream | Failure:
    """Connect within ``timeout_s`` seconds, without a resolver or threads.

    ``ack_timeout_s`` bounds the time in seconds for which sent bytes may stay
    unacknowledged.
    Fails with ``UPSTREAM_UNREACHABLE``.
    """
    is_ipv6 = ':' in address[0]
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    if ack_timeout_s is not None:
        limit_unacknowledged_time(sock, ack_timeout_s)
    stream = iostream.IOStream(sock, read_chunk_size=_READ_BYTES)
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout_s, stream.close)
    try:
        await stream.connect(address)
    except (OSError, iostream.StreamClosedError) as error:
        stream.close()
        return Failure(Code.UPSTREAM_UNREACHABLE, f'connect: {error}')
    except asyncio.CancelledError:
        stream.close()
        raise
    finally:
        timer.cancel()
    stream.set_nodelay(True)
    return stream


def limit_unacknowledged_time(
    sock: socket.socket, ack_timeout_s: float
) -> None:
    """Let the kernel close a connection whose peer does not acknowledge."""
    seconds = max(1, math.ceil(ack_timeout_s))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(ack_timeout_s * _MS)
    )
