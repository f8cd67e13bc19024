"""Asks an entry which version of the configuration it has in force."""

from __future__ import annotations

import abc
import http
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer
from tornado.httpclient import HTTPClientError

from damaskpoint.errors import Code, Failure
from damaskpoint.wire.generated.peer import Peer

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

    from damaskpoint.platform.base import ListedInstance

_PATH: Final = '/peer'


@final
@dataclass(frozen=True, slots=True)
class EntryVersion:
    """What an entry says of its configuration."""

    version: int
    digest: str


class EntryProbe(abc.ABC):
    """Asks entries."""

    @abc.abstractmethod
    async def ask(self, entry: ListedInstance) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` if silent."""


@final
class ThriftEntryProbe(EntryProbe):
    """Calls the entry's peer port."""

    def __init__(self, client: AsyncHTTPClient, timeout_s: float) -> None:
        """Keep the client and the bound of a call, in seconds."""
        self._client = client
        self._timeout_s = timeout_s

    async def ask(self, entry: ListedInstance) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` if silent."""
        sent = TMemoryBuffer()
        Peer.Client(TCompactProtocol(sent)).send_get_in_force()
        try:
            answer = await self._client.fetch(
                f'http://{entry.host}:{entry.peer_port}{_PATH}',
                method='POST',
                body=sent.getvalue(),
                connect_timeout=self._timeout_s,
                request_timeout=self._timeout_s,
            )
        except (HTTPClientError, OSError) as error:
            return Failure(Code.PEER_UNREACHABLE, f'{entry.name}: {error}')
        if answer.code != http.HTTPStatus.OK:
            return Failure(Code.PEER_UNREACHABLE, f'HTTP {answer.code}')
        return _decode(answer.body)


def create_entry_probe(client: AsyncHTTPClient, timeout_s: float) -> EntryProbe:
    """Return a probe that calls entries over HTTP."""
    return ThriftEntryProbe(client, timeout_s)


def _decode(body: bytes) -> EntryVersion | Failure:
    received = Peer.Client(TCompactProtocol(TMemoryBuffer(body)))
    try:
        answer = received.recv_get_in_force()
    except (TException, EOFError, ValueError) as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    return EntryVersion(answer.version, answer.digest)
