"""A simulated runner that answers with given bytes and then breaks off."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from dataclasses import dataclass, field
from typing import Final

_HEAD_END: Final = b'\r\n\r\n'
_ID_PREFIX: Final = 'damaskpoint-request-id:'
_LENGTH_PREFIX: Final = 'content-length:'
# Delay of a reset, so that the bytes before it arrive (seconds).
_RESET_DELAY_S: Final = 0.05
_LINGER_RESETS: Final = struct.pack('ii', 1, 0)


@enum.unique
class RawEnd(enum.Enum):
    """What a raw runner does after the bytes of its answer."""

    CLOSE = 'close'
    RESET = 'reset'


@dataclass(slots=True)
class RawRunner:
    """The bytes of a runner's answers, and a record of its requests.

    The head is completed by the headers that make it the runner's own.
    """

    # Status line and headers, each line with its end.
    head: bytes
    body: bytes
    end: RawEnd
    # Headers of the requests, as received.
    request_heads: list[str] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one request of a connection."""
        request = (await reader.readuntil(_HEAD_END)).decode('latin-1')
        self.request_heads.append(request)
        await reader.readexactly(int(_find(request, _LENGTH_PREFIX) or 0))
        request_id = _find(request, _ID_PREFIX)
        own_headers = (
            f'Damaskpoint-Request-Id: {request_id}\r\n'
            'Damaskpoint-Response-Seal: seal-of-raw\r\n\r\n'
        )
        writer.write(self.head + own_headers.encode() + self.body)
        await writer.drain()
        if self.end is RawEnd.RESET:
            await asyncio.sleep(_RESET_DELAY_S)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)
        writer.close()


def _find(request: str, prefix: str) -> str | None:
    for line in request.splitlines():
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip()
    return None
