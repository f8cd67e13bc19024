"""A non-blocking UDP socket for gossip datagrams."""

from __future__ import annotations

import ipaddress
import socket
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults

if TYPE_CHECKING:
    from damaskpoint.membership.facts import Address

# One byte above the limit, so that oversized datagrams are detected.
_READ_BYTES: Final = defaults.MAX_RECEIVED_DATAGRAM_BYTES + 1


def create_endpoint(address: Address) -> Endpoint:
    """Return an endpoint bound to the address; raises ``OSError``."""
    family = socket.AF_INET
    if isinstance(ipaddress.ip_address(address.host), ipaddress.IPv6Address):
        family = socket.AF_INET6
    bound_socket = socket.socket(family, socket.SOCK_DGRAM)
    bound_socket.setblocking(False)
    bound_socket.bind((address.host, address.port))
    return Endpoint(bound_socket)


@final
class Endpoint:
    """Sends and receives datagrams."""

    def __init__(self, bound_socket: socket.socket) -> None:
        """Take ownership of a bound, non-blocking socket."""
        self._socket = bound_socket

    @property
    def file_descriptor(self) -> int:
        """Return the file descriptor that the event loop watches."""
        return self._socket.fileno()

    def read(self) -> tuple[bytes, str] | None:
        """Return a datagram and its sender's IP address, or None."""
        try:
            datagram, source = self._socket.recvfrom(_READ_BYTES)
        except OSError:
            # No datagram is queued, or an earlier one was sent to a port
            # without a listener.
            return None
        return datagram, source[0]

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; errors are ignored, as if it had been lost."""
        try:
            self._socket.sendto(datagram, (address.host, address.port))
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
