"""Connections to the store that notice a silent peer by themselves.

A watch may wait long for a change. A connection that stops responding without
being closed must be detected earlier, so the kernel probes it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from tornado.tcpclient import TCPClient

from damaskpoint.forwarding.connecting import limit_unacknowledged_time

if TYPE_CHECKING:
    from tornado.iostream import IOStream

# Time for which sent bytes or a probe may stay unacknowledged (seconds). An
# idle connection is probed after the same time, so that a silent one is
# detected in twice that time.
ACK_TIMEOUT_S: Final = 1.0


@final
class LiveConnections(TCPClient):
    """Opens connections that the kernel closes when their peer is silent."""

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Connect; see ``TCPClient`` for the arguments and errors."""
        stream = await super().connect(*args, **kwargs)
        limit_unacknowledged_time(stream.socket, ACK_TIMEOUT_S)
        return stream
