"""One UDP socket that never blocks."""

from __future__ import annotations

import ipaddress
import socket
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults

if TYPE_CHECKING:
    from damaskpoint.membership.facts import Address

# One byte more than is allowed, so that longer datagrams show.
_READ_BYTES: Final = defaults.MAX_RECEIVED_DATAGRAM_BYTES + 1


def create_endpoint(address: Address) -> Endpoint:
    """Return a socket bound to the address; raises ``OSError``."""
    family = socket.AF_INET
    if isinstance(ipaddress.ip_address(address.host), ipaddress.IPv6Address):
        family = socket.AF_INET6
    opened = socket.socket(family, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((address.host, address.port))
    return Endpoint(opened)


@final
class Endpoint:
    """Sends and receives datagrams."""

    def __init__(self, opened: socket.socket) -> None:
        """Take over a bound socket."""
        self._socket = opened

    @property
    def file_number(self) -> int:
        """Return the number under which the loop watches the socket."""
        return self._socket.fileno()

    def read(self) -> tuple[bytes, str] | None:
        """Return a datagram and its sender's IP number, or None."""
        try:
            datagram, source = self._socket.recvfrom(_READ_BYTES)
        except OSError:
            # Nothing waits, or an earlier datagram found no listener.
            return None
        return datagram, source[0]

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that the system refuses counts as lost."""
        try:
            self._socket.sendto(datagram, (address.host, address.port))
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
