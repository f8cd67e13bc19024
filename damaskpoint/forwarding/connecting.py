"""Opens TCP connections to IP addresses."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from typing import TYPE_CHECKING, Final, final

from tornado import iostream

from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.forwarding.exchange import SocketAddress

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Bytes that are read at once; bounds what is read ahead of a slow caller.
_READ_BYTES: Final = 32_768


@final
class ClientStream(iostream.IOStream):
    """A connection that tells whether something has arrived on it."""

    @property
    def is_silent(self) -> bool:
        """Return whether it is open and nothing has arrived unread."""
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            _LOG.debug('connection failed', extra={'error': repr(error)})
        return False


async def open_stream(
    address: SocketAddress,
    timeout_s: float,
    ack_timeout_s: float | None = None,
    source_host: str | None = None,
) -> ClientStream | Failure:
    """Connect within ``timeout_s`` seconds, without a resolver or threads.

    ``ack_timeout_s`` bounds the time in seconds for which sent bytes may stay
    unacknowledged. ``source_host`` is the IP address to connect from.
    Fails with ``UPSTREAM_UNREACHABLE``.
    """
    is_ipv6 = ':' in address[0]
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    if ack_timeout_s is not None:
        limit_unacknowledged_time(sock, ack_timeout_s)
    stream = ClientStream(sock, read_chunk_size=_READ_BYTES)
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout_s, stream.close)
    try:
        await _connect(stream, address, source_host)
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


async def _connect(
    stream: iostream.IOStream, address: SocketAddress, source_host: str | None
) -> None:
    if source_host is not None:
        stream.socket.bind((source_host, 0))
    await stream.connect(address)


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
