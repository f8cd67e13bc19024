"""Reads the states of engines and sends orders to them."""

from __future__ import annotations

import abc
import http
import json
from asyncio import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, final

import pydantic
from tornado.httpclient import HTTPRequest

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure, FailureError, Ran
from damaskpoint.http_errors import HTTP_CALL_ERRORS
from damaskpoint.http_statuses import check_status_line
from damaskpoint.reconcile.planner import EngineModel, EngineState

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import AsyncHTTPClient, HTTPResponse

    from damaskpoint.platform.base import ListedInstance

_MAX_DETAIL_CHARACTERS: Final = 200


@final
@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports."""

    incarnation: int
    state: EngineState


@final
@dataclass(frozen=True, slots=True)
class Order:
    """The complete state that an engine must reach; orders are idempotent."""

    order_id: str
    fencing: int
    target: EngineState


class EngineClient(abc.ABC):
    """Client of the engines' control interface."""

    @abc.abstractmethod
    async def read_state(
        self, engine: ListedInstance
    ) -> EngineReport | Failure:
        """Read an engine's state; ``UPSTREAM_UNREACHABLE`` if unresponsive."""

    @abc.abstractmethod
    async def send(
        self, engine: ListedInstance, order: Order, guard: Callable[[], bool]
    ) -> Failure | None:
        """Send an order and wait until it is done.

        ``guard`` is called right before the order's body is written, in the
        same iteration of the event loop. If it returns False, the body is not
        sent, so the engine cannot carry out the order: ``LEASE_NOT_HELD``.
        """


class _ModelBody(pydantic.BaseModel):
    model: str
    version: str
    adapters: list[str] = []


class _StateBody(pydantic.BaseModel):
    incarnation: int
    role: str
    models: list[_ModelBody]


@final
class _GuardedBody:
    """A request body that is written only if a guard allows it."""

    def __init__(
        self, body: bytes, guard: Callable[[], bool], order_id: str
    ) -> None:
        self._body = body
        self._guard = guard
        self._order_id = order_id

    def produce(self, write: Callable[[bytes], object]) -> Future[None]:
        """Write the body at once; Tornado calls this once it is connected."""
        if not self._guard():
            raise FailureError(Failure(Code.LEASE_NOT_HELD, self._order_id))
        write(self._body)
        written: Future[None] = Future()
        written.set_result(None)
        return written


@final
class HttpEngineClient(EngineClient):
    """Implements the engines' control interface over HTTP."""

    def __init__(
        self, client: AsyncHTTPClient, timeout_s: float, order_timeout_s: float
    ) -> None:
        """Use these timeouts for reads and for orders, in seconds."""
        self._client = client
        self._timeout_s = timeout_s
        self._order_timeout_s = order_timeout_s

    async def read_state(
        self, engine: ListedInstance
    ) -> EngineReport | Failure:
        """Read an engine's state; ``UPSTREAM_UNREACHABLE`` if unresponsive."""
        response = await self._fetch(
            HTTPRequest(
                _build_url(engine, 'state'),
                connect_timeout=self._timeout_s,
                request_timeout=self._timeout_s,
                header_callback=check_status_line,
            )
        )
        if isinstance(response, Failure):
            return response
        try:
            body = _StateBody.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            return Failure(Code.MESSAGE_MALFORMED, f'{engine.name}: {error}')
        return EngineReport(body.incarnation, _decode_state(body))

    async def send(
        self, engine: ListedInstance, order: Order, guard: Callable[[], bool]
    ) -> Failure | None:
        """Send an order and wait until it is done."""
        body = _encode_order(order)

        guarded_body = _GuardedBody(body, guard, order.order_id)
        response = await self._fetch(
            HTTPRequest(
                _build_url(engine, 'orders'),
                method='POST',
                headers={
                    'Content-Type': protocol.MEDIA_JSON,
                    'Content-Length': str(len(body)),
                },
                body_producer=guarded_body.produce,
                connect_timeout=self._timeout_s,
                request_timeout=self._order_timeout_s,
                header_callback=check_status_line,
            )
        )
        return response if isinstance(response, Failure) else None

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | Failure:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except FailureError as error:
            return error.failure
        except HTTP_CALL_ERRORS as error:
            return Failure(Code.UPSTREAM_UNREACHABLE, str(error), Ran.UNKNOWN)
        if response.code == http.HTTPStatus.OK:
            return response
        return _create_refusal(response)


def create_engine_client(
    client: AsyncHTTPClient, timeout_s: float, order_timeout_s: float
) -> EngineClient:
    """Return a client with timeouts for reads and for orders, in seconds."""
    return HttpEngineClient(client, timeout_s, order_timeout_s)


def _build_url(engine: ListedInstance, name: str) -> str:
    return f'http://{engine.host}:{engine.port}/v1/{name}'


def _decode_state(body: _StateBody) -> EngineState:
    models = []
    for loaded_model in body.models:
        models.append(
            EngineModel(
                loaded_model.model,
                loaded_model.version,
                frozenset(loaded_model.adapters),
            )
        )
    return EngineState(body.role, frozenset(models))


def _encode_order(order: Order) -> bytes:
    models: list[dict[str, Any]] = []
    for model in order.target.models:
        models.append(
            {
                'model': model.model,
                'version': model.version,
                'adapters': sorted(model.adapters),
            }
        )
    models.sort(key=_model_name)
    return json.dumps(
        {
            'fencing': order.fencing,
            'order_id': order.order_id,
            'target': {'role': order.target.role, 'models': models},
        }
    ).encode()


def _model_name(model: dict[str, Any]) -> str:
    return str(model['model'])


def _create_refusal(response: HTTPResponse) -> Failure:
    text = response.body[:_MAX_DETAIL_CHARACTERS].decode('utf-8', 'replace')
    detail = f'HTTP {response.code} {text}'
    if response.code == http.HTTPStatus.CONFLICT:
        return Failure(Code.LEASE_NOT_HELD, detail)
    retry_after_s = None
    header = response.headers.get(protocol.HEADER_RETRY_AFTER, '')
    if header.isdigit():
        retry_after_s = float(header)
    return Failure(Code.UPSTREAM_REFUSED, detail, Ran.UNKNOWN, retry_after_s)
