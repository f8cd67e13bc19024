"""Serves calls of peers: a thrift message in the body of an HTTP POST."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from thrift.transport import TTransport
from tornado import httpserver, web

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.wire import codec, metrics
from damaskpoint.wire.generated.peer import Peer, ttypes
from damaskpoint.wire.encoded_configuration import EncodedConfiguration

if TYPE_CHECKING:
    from collections.abc import Callable

_MS_PER_S: Final = 1_000


@final
@dataclass(frozen=True, slots=True)
class LentPermit:
    """A permit that is lent to a peer."""

    number: int
    # Time during which calls may be sent with it, counted from just before the
    # borrower requested it.
    valid_ms: int


class PeerService(abc.ABC):
    """Implements the calls that a process serves to peers; none may block."""

    @abc.abstractmethod
    def find_configuration(self) -> EncodedConfiguration | None:
        """Return the version in force, or None before the first one."""

    @abc.abstractmethod
    def lend_permit(self, upstream: str) -> LentPermit | Failure:
        """Lend a permit of an upstream, or fail with ``LEASE_NOT_HELD``."""

    @abc.abstractmethod
    def accept_returned_permit(self, upstream: str, number: int) -> None:
        """Accept a returned permit, by the number of its loan."""

    @abc.abstractmethod
    def install_configuration(
        self, accepted: EncodedConfiguration, age_s: float
    ) -> Failure | None:
        """Put an accepted version in force, if it is higher and intact."""

    @abc.abstractmethod
    def is_operator_host(self, host: str) -> bool:
        """Return whether operators may push versions from this host."""


def create_peer_server(
    service: PeerService, name: str, is_peer_host: Callable[[str], bool]
) -> httpserver.HTTPServer:
    """Return the server of the peer port, which does not listen yet.

    ``name`` is the name of the instance. ``is_peer_host`` returns whether an
    IP address may make the calls that are restricted to peers.
    """
    app = web.Application(
        [
            (
                protocol.PATH_PEER,
                _PeerHttpHandler,
                {'service': service, 'name': name, 'is_peer': is_peer_host},
            )
        ],
        log_function=_skip_access_log,
    )
    return httpserver.HTTPServer(
        app,
        max_body_size=defaults.MAX_PEER_REQUEST_BYTES,
        max_buffer_size=2 * defaults.MAX_PEER_REQUEST_BYTES,
        max_header_size=defaults.MAX_HEADER_BYTES,
        body_timeout=defaults.PEER_CALL_TIMEOUT_S,
    )


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Keep calls out of the log; they are counted in the metrics."""


@final
class _PeerHttpHandler(web.RequestHandler):
    """Dispatches the body of a POST to the thrift service."""

    def initialize(
        self, service: PeerService, name: str, is_peer: Callable[[str], bool]
    ) -> None:
        host = self.request.remote_ip or ''
        self._call_handler = create_call_handler(
            service,
            name,
            is_from_peer=is_peer(host),
            is_from_operator=service.is_operator_host(host),
        )

    def post(self) -> None:
        answer = process_call(self._call_handler, self.request.body)
        if isinstance(answer, Failure):
            metrics.PEER_CALLS_SERVED.inc({'end': metrics.END_MALFORMED})
            self.set_status(answer.kind.status)
            self.set_header('Content-Type', protocol.MEDIA_JSON)
            self.finish({'code': answer.code.value, 'detail': answer.detail})
            return
        metrics.PEER_CALLS_SERVED.inc({'end': metrics.END_ANSWERED})
        self.set_header('Content-Type', protocol.MEDIA_THRIFT)
        self.finish(answer)


# The generated base class has no type annotations.
@final
class _CallHandler(Peer.Iface):  # type: ignore[misc]
    """Handles the call of one request, with the permissions of its sender."""

    def __init__(
        self,
        service: PeerService,
        name: str,
        is_from_peer: bool,
        is_from_operator: bool,
    ) -> None:
        self._service = service
        self._name = name
        self._is_from_peer = is_from_peer
        self._is_from_operator = is_from_operator

    def ping(self) -> None:
        """Respond, which shows that the process is alive."""

    def get_in_force(self) -> ttypes.InForce:
        """Return the version in force."""
        configuration = self._require_configuration()
        return ttypes.InForce(
            self._name, configuration.version, configuration.digest
        )

    def hold_configuration(
        self, accepted: ttypes.ConfigurationBody, age_ms: int
    ) -> None:
        """Put an accepted version in force."""
        if not (self._is_from_peer or self._is_from_operator):
            raise _refuse(Code.PEER_UNKNOWN, 'only peers and operators may')
        configuration = EncodedConfiguration(
            accepted.version, accepted.digest, accepted.body
        )
        age_s = max(age_ms or 0, 0) / _MS_PER_S
        failure = self._service.install_configuration(configuration, age_s)
        if failure:
            raise _refuse(failure.code, failure.detail)

    def get_configuration(self, version: int) -> ttypes.ConfigurationBody:
        """Return the object of this version or of a higher one."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may ask')
        configuration = self._require_configuration()
        if configuration.version < (version or 0):
            raise _refuse(Code.NOT_READY, 'a lower version is in force')
        return ttypes.ConfigurationBody(
            configuration.version, configuration.digest, configuration.body
        )

    def borrow_permit(self, upstream: str) -> ttypes.PermitLoan:
        """Lend one permit of an upstream."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may borrow')
        permit = self._service.lend_permit(upstream)
        if isinstance(permit, Failure):
            raise _refuse(permit.code, permit.detail)
        return ttypes.PermitLoan(permit.number, permit.valid_ms)

    def return_permit(self, upstream: str, number: int) -> None:
        """Accept a permit that the peer returns."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may return')
        self._service.accept_returned_permit(upstream, number)

    def _require_configuration(self) -> EncodedConfiguration:
        configuration = self._service.find_configuration()
        if configuration is None:
            raise _refuse(Code.NOT_READY, 'no configuration is known yet')
        return configuration


def _refuse(code: Code, detail: str) -> ttypes.Refused:
    return ttypes.Refused(code.value, detail)


def create_call_handler(
    service: PeerService,
    name: str,
    *,
    is_from_peer: bool = True,
    is_from_operator: bool = True,
) -> Peer.Iface:
    """Return the handler of one sender's calls; ``name`` is the instance's."""
    return _CallHandler(service, name, is_from_peer, is_from_operator)


def process_call(handler: Peer.Iface, body: bytes) -> bytes | Failure:
    """Return the encoded response, or a ``MESSAGE_MALFORMED`` failure."""
    request_protocol = codec.create_protocol(
        TTransport.TMemoryBuffer(body), defaults.MAX_PEER_REQUEST_BYTES
    )
    answer = TTransport.TMemoryBuffer()
    response_protocol = codec.create_protocol(
        answer, defaults.MAX_PEER_BODY_BYTES
    )
    try:
        Peer.Processor(handler).process(request_protocol, response_protocol)
    except codec.DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, type(error).__name__)
    encoded: bytes = answer.getvalue()
    return encoded
