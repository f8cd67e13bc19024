"""Steps for answers that are reset while the request is being written."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.connecting import ClientStream
from damaskpoint.forwarding.exchange import (
    BrokenAnswerError,
    Exchange,
    RunnerRequest,
)

_PART: Final = b'a part'
_ANSWER: Final = b'HTTP/1.1 200 OK\r\n\r\n' + _PART
_UPLOAD_BYTES: Final = 6_000_000
_MAX_TURNS: Final = 10
_MOMENTS: Final = (
    'before the head is read',
    'after the head is read',
    'after the part is read',
)


# The class is final for the product; a fault of the system call can only be
# forced below its buffers.
class _FailingStream(ClientStream):  # type: ignore[misc]
    """A connection whose next write or read fails as after a reset."""

    fails_write = False
    fails_read = False

    def write_to_fd(self, data: memoryview) -> int:
        if self.fails_write:
            raise _reset()
        return super().write_to_fd(data)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        if self.fails_read:
            raise _reset()
        return super().read_from_fd(buf)


def _reset() -> OSError:
    return ConnectionResetError(errno.ECONNRESET, 'reset by peer')


@given('an upload that the runner answers early with a part, without a length')
def create_upload(context: Any) -> None:
    """Keep the request; it is longer than the buffers of a connection."""
    context.upload = RunnerRequest('POST', '/one', (), b'x' * _UPLOAD_BYTES)


@when('the {side} {event} {moment}, and then the connection ends')
def fail(context: Any, side: str, event: str, moment: str) -> None:
    """Send the request and read its answer.

    Where a side fails, the other one reports a plain end; a write that
    ``waits`` has not failed by then.
    """
    context.error = asyncio.run(
        _send(context.upload, side if event == 'fails' else '', moment)
    )


@then('the answer is broken')
def check_broken_off(context: Any) -> None:
    """Check that the answer does not look complete."""
    assert context.error is not None


async def _send(
    upload: RunnerRequest, side: str, moment: str
) -> BrokenAnswerError | None:
    own, peer = socket.socketpair()
    own.setblocking(False)
    stream = _FailingStream(own)
    exchange = Exchange(stream)
    exchange.send(upload)
    peer.sendall(_ANSWER)
    try:
        for now in _MOMENTS:
            if now == moment:
                await _fail_side(stream, peer, side)
            if now == _MOMENTS[0]:
                await exchange.read_head()
            elif now == _MOMENTS[1]:
                await exchange.read_chunk()
        await exchange.read_body()
    except BrokenAnswerError as error:
        return error
    finally:
        exchange.close()
        peer.close()
    return None


async def _fail_side(
    stream: _FailingStream, peer: socket.socket, side: str
) -> None:
    """Let one side fail; the other one then reports a plain end."""
    stream.fails_write = side == 'write'
    stream.fails_read = side == 'read'
    if side == 'write':
        # Makes the connection writable, so that the upload goes on.
        peer.recv(_UPLOAD_BYTES)
        for _ in range(_MAX_TURNS):
            await asyncio.sleep(0)
        assert stream.closed()
    peer.shutdown(socket.SHUT_WR)
