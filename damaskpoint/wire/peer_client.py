"""Calls peers: a thrift message in the body of an HTTP POST."""

from __future__ import annotations

import http
import math
from typing import TYPE_CHECKING, Final, TypeVar, final

from thrift.transport import TTransport
from tornado import httpclient, simple_httpclient

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.http_errors import HTTP_CALL_ERRORS
from damaskpoint.wire import codec, metrics
from damaskpoint.wire.generated.peer import Peer, ttypes

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.membership.facts import Address
    from damaskpoint.wire.encoded_configuration import EncodedConfiguration

_Answer = TypeVar('_Answer')
_MS_PER_S: Final = 1_000


def create_peer_client(
    timeout_s: float = defaults.PEER_CALL_TIMEOUT_S,
    own_host: str | None = None,
) -> PeerClient:
    """Return a client with an HTTP client of its own.

    ``timeout_s`` limits each call, from its start to its complete response.
    ``own_host`` is the IP address by which peers identify this process; an
    operator needs none.
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=defaults.MAX_PEER_CALLS,
        max_body_size=defaults.MAX_PEER_BODY_BYTES,
        max_buffer_size=defaults.MAX_PEER_BODY_BYTES,
    )
    return PeerClient(client, timeout_s, own_host)


@final
class PeerClient:
    """Makes the calls of the thrift service ``Peer``.

    Each call returns its result or a failure: ``PEER_UNREACHABLE`` without a
    response in time, ``MESSAGE_MALFORMED`` for a response that cannot be
    decoded, or the failure with which the peer refused the call.
    """

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        timeout_s: float,
        own_host: str | None,
    ) -> None:
        """Call through this HTTP client, from ``own_host`` if given."""
        self._client = client
        self._own_host = own_host
        self._timeout_s = timeout_s

    async def get_in_force(self, address: Address) -> ttypes.InForce | Failure:
        """Return the version that a process has in force."""
        request = _encode_call(lambda stub: stub.send_get_in_force())
        body = await self._post(address, request)
        if isinstance(body, Failure):
            return _count_call('get_in_force', body)
        answer: ttypes.InForce | Failure = _decode_answer(
            body, lambda stub: stub.recv_get_in_force()
        )
        return _count_call('get_in_force', answer)

    async def hold_configuration(
        self, address: Address, accepted: EncodedConfiguration, age_s: float
    ) -> Failure | None:
        """Push an accepted version to a process, which puts it in force.

        ``age_s`` is the time since just before the version was accepted.
        """
        message = ttypes.ConfigurationBody(
            accepted.version, accepted.digest, accepted.body
        )
        age_ms = math.ceil(age_s * _MS_PER_S)
        request = _encode_call(
            lambda stub: stub.send_hold_configuration(message, age_ms)
        )
        body = await self._post(address, request)
        if isinstance(body, Failure):
            return _count_call('hold_configuration', body)
        answer: Failure | None = _decode_answer(
            body, lambda stub: stub.recv_hold_configuration()
        )
        return _count_call('hold_configuration', answer)

    async def get_configuration(
        self, address: Address, version: int
    ) -> ttypes.ConfigurationBody | Failure:
        """Return the object of this version or of a higher one."""
        request = _encode_call(
            lambda stub: stub.send_get_configuration(version)
        )
        body = await self._post(address, request)
        if isinstance(body, Failure):
            return _count_call('get_configuration', body)
        answer: ttypes.ConfigurationBody | Failure = _decode_answer(
            body, lambda stub: stub.recv_get_configuration()
        )
        return _count_call('get_configuration', answer)

    async def borrow_permit(
        self, address: Address, upstream: str
    ) -> ttypes.PermitLoan | Failure:
        """Borrow a permit of an upstream whose lease the peer holds."""
        request = _encode_call(lambda stub: stub.send_borrow_permit(upstream))
        body = await self._post(address, request)
        if isinstance(body, Failure):
            return _count_call('borrow_permit', body)
        answer: ttypes.PermitLoan | Failure = _decode_answer(
            body, lambda stub: stub.recv_borrow_permit()
        )
        return _count_call('borrow_permit', answer)

    async def return_permit(
        self, address: Address, upstream: str, number: int
    ) -> None:
        """Return a borrowed permit; a failure is only counted."""
        request = _encode_call(
            lambda stub: stub.send_return_permit(upstream, number)
        )
        _count_call('return_permit', await self._post(address, request))

    async def _post(self, address: Address, body: bytes) -> bytes | Failure:
        request = httpclient.HTTPRequest(
            f'http://{address.host}:{address.port}{protocol.PATH_PEER}',
            method='POST',
            headers={'Content-Type': protocol.MEDIA_THRIFT},
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            network_interface=self._own_host,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTP_CALL_ERRORS as error:
            return Failure(Code.PEER_UNREACHABLE, f'{address}: {error}')
        if response.code != http.HTTPStatus.OK:
            detail = f'{address}: HTTP {response.code}'
            return Failure(Code.PEER_UNREACHABLE, detail)
        return response.body


def _encode_call(send: Callable[[Peer.Client], None]) -> bytes:
    buffer = TTransport.TMemoryBuffer()
    send(
        Peer.Client(codec.create_protocol(buffer, defaults.MAX_PEER_BODY_BYTES))
    )
    encoded: bytes = buffer.getvalue()
    return encoded


def _decode_answer(
    body: bytes, receive: Callable[[Peer.Client], _Answer]
) -> _Answer | Failure:
    response_protocol = codec.create_protocol(
        TTransport.TMemoryBuffer(body), defaults.MAX_PEER_BODY_BYTES
    )
    try:
        answer = receive(Peer.Client(response_protocol))
    except ttypes.Refused as refused:
        return _decode_refusal(refused)
    except codec.DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, type(error).__name__)
    return answer


def _decode_refusal(refused: ttypes.Refused) -> Failure:
    for code in Code:
        if code.value == refused.code:
            return Failure(code, str(refused.detail))
    return Failure(Code.MESSAGE_MALFORMED, 'unknown code')


def _count_call(method: str, answer: _Answer | Failure) -> _Answer | Failure:
    end = metrics.END_ANSWERED
    if isinstance(answer, Failure):
        end = answer.code.value
    metrics.PEER_CALLS_MADE.inc({'method': method, 'end': end})
    return answer
