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
    """A permit as it goes over the wire."""

    number: int
    # Time in which it may be used to send, from before it was asked for.
    valid_ms: int


class PeerService(abc.ABC):
    """What a process answers its peers; no answer waits."""

    @abc.abstractmethod
    def find_configuration(self) -> EncodedConfiguration | None:
        """Return what is in force, or None before the first version."""

    @abc.abstractmethod
    def lend_permit(self, upstream: str) -> LentPermit | Failure:
        """Lend a permit of an upstream, or fail ``LEASE_NOT_HELD``."""

    @abc.abstractmethod
    def accept_returned_permit(self, upstream: str, number: int) -> None:
        """Take back a permit by the number of its loan."""

    @abc.abstractmethod
    def install_configuration(
        self, accepted: EncodedConfiguration, age_s: float
    ) -> Failure | None:
        """Put an accepted version in force, if it is higher and whole."""

    @abc.abstractmethod
    def is_operator_host(self, host: str) -> bool:
        """Return whether operators may hand over versions from here."""


def create_peer_server(
    service: PeerService, name: str, is_peer_host: Callable[[str], bool]
) -> httpserver.HTTPServer:
    """Return the server of the peers' TCP port, not listening yet.

    ``name`` is the instance's. ``is_peer_host`` tells whether an IP number
    may ask for what is open to peers alone.
    """
    app = web.Application(
        [
            (
                protocol.PATH_PEER,
                _PeerHandler,
                {'service': service, 'name': name, 'is_peer': is_peer_host},
            )
        ],
        log_function=_log_nothing,
    )
    return httpserver.HTTPServer(
        app,
        max_body_size=defaults.MAX_PEER_REQUEST_BYTES,
        max_buffer_size=2 * defaults.MAX_PEER_REQUEST_BYTES,
        max_header_size=defaults.MAX_HEADER_BYTES,
        body_timeout=defaults.PEER_CALL_TIMEOUT_S,
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Keep each call out of the log; counters have them."""


@final
class _PeerHandler(web.RequestHandler):
    """Turns a POST into a call of the thrift service."""

    def initialize(
        self, service: PeerService, name: str, is_peer: Callable[[str], bool]
    ) -> None:
        host = self.request.remote_ip or ''
        self._calls = create_call_handler(
            service,
            name,
            is_from_peer=is_peer(host),
            is_from_operator=service.is_operator_host(host),
        )

    def post(self) -> None:
        answer = process_call(self._calls, self.request.body)
        if isinstance(answer, Failure):
            metrics.PEER_CALLS_SERVED.inc({'end': metrics.END_MALFORMED})
            self.set_status(answer.kind.status)
            self.set_header('Content-Type', protocol.MEDIA_JSON)
            self.finish({'code': answer.code.value, 'detail': answer.detail})
            return
        metrics.PEER_CALLS_SERVED.inc({'end': metrics.END_ANSWERED})
        self.set_header('Content-Type', protocol.MEDIA_THRIFT)
        self.finish(answer)


# The generated base class carries no types.
@final
class _Calls(Peer.Iface):  # type: ignore[misc]
    """Answers the calls of one request."""

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
        """Answer that the process lives."""

    def get_in_force(self) -> ttypes.InForce:
        """Return which version is in force."""
        held = self._find_held()
        return ttypes.InForce(self._name, held.version, held.digest)

    def hold_configuration(
        self, accepted: ttypes.ConfigurationBody, age_ms: int
    ) -> None:
        """Put an accepted version in force."""
        if not (self._is_from_peer or self._is_from_operator):
            raise _refuse(Code.PEER_UNKNOWN, 'only peers and operators may')
        held = EncodedConfiguration(
            accepted.version, accepted.digest, accepted.body
        )
        age_s = max(age_ms or 0, 0) / _MS_PER_S
        failure = self._service.install_configuration(held, age_s)
        if failure:
            raise _refuse(failure.code, failure.detail)

    def get_configuration(self, version: int) -> ttypes.ConfigurationBody:
        """Return the object of this version or a higher one."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may ask')
        held = self._find_held()
        if held.version < (version or 0):
            raise _refuse(Code.NOT_READY, 'a lower version is in force')
        return ttypes.ConfigurationBody(held.version, held.digest, held.body)

    def borrow_permit(self, upstream: str) -> ttypes.PermitLoan:
        """Lend one permit of an upstream."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may borrow')
        lent = self._service.lend_permit(upstream)
        if isinstance(lent, Failure):
            raise _refuse(lent.code, lent.detail)
        return ttypes.PermitLoan(lent.number, lent.valid_ms)

    def return_permit(self, upstream: str, number: int) -> None:
        """Take a permit back."""
        if not self._is_from_peer:
            raise _refuse(Code.PEER_UNKNOWN, 'only peers may return')
        self._service.accept_returned_permit(upstream, number)

    def _find_held(self) -> EncodedConfiguration:
        held = self._service.find_configuration()
        if held is None:
            raise _refuse(Code.NOT_READY, 'no configuration is known yet')
        return held


def _refuse(code: Code, detail: str) -> ttypes.Refused:
    return ttypes.Refused(code.value, detail)


def create_call_handler(
    service: PeerService,
    name: str,
    *,
    is_from_peer: bool = True,
    is_from_operator: bool = True,
) -> Peer.Iface:
    """Return the answers to one caller; ``name`` is the instance's."""
    return _Calls(service, name, is_from_peer, is_from_operator)


def process_call(calls: Peer.Iface, body: bytes) -> bytes | Failure:
    """Return the answer's bytes, or ``MESSAGE_MALFORMED``."""
    received = codec.create_protocol(
        TTransport.TMemoryBuffer(body), defaults.MAX_PEER_REQUEST_BYTES
    )
    answer = TTransport.TMemoryBuffer()
    sent = codec.create_protocol(answer, defaults.MAX_PEER_BODY_BYTES)
    try:
        Peer.Processor(calls).process(received, sent)
    except codec.DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, type(error).__name__)
    encoded: bytes = answer.getvalue()
    return encoded
