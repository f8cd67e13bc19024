"""Reads engines' states and sends them orders."""

from __future__ import annotations

import abc
import http
import json
from asyncio import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, final

import pydantic
from tornado.httpclient import HTTPClientError, HTTPRequest

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure, FailureError, Ran
from damaskpoint.reconcile.planner import EngineModel, EngineState

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import AsyncHTTPClient, HTTPResponse

    from damaskpoint.platform.base import ListedInstance

_MAX_DETAIL_CHARACTERS: Final = 200


@final
@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself."""

    incarnation: int
    state: EngineState


@final
@dataclass(frozen=True, slots=True)
class Order:
    """What an engine must become; a repeat of it changes nothing."""

    order_id: str
    fencing: int
    target: EngineState


class EngineClient(abc.ABC):
    """Speaks with engines."""

    @abc.abstractmethod
    async def read_state(
        self, engine: ListedInstance
    ) -> EngineReport | Failure:
        """Return an engine's state; ``UPSTREAM_UNREACHABLE`` if silent."""

    @abc.abstractmethod
    async def send(
        self, engine: ListedInstance, order: Order, guard: Callable[[], bool]
    ) -> Failure | None:
        """Send an order and wait until it is done.

        ``guard`` is asked in the same turn of the loop as the order's body
        is written; if it says no, nothing can be obeyed: ``LEASE_NOT_HELD``.
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
    """A request's body that is written only if a guard agrees then."""

    def __init__(
        self, body: bytes, guard: Callable[[], bool], order_id: str
    ) -> None:
        self._body = body
        self._guard = guard
        self._order_id = order_id

    def produce(self, write: Callable[[bytes], object]) -> Future[None]:
        """Write the body in this turn of the loop: the connection stands."""
        if not self._guard():
            raise FailureError(Failure(Code.LEASE_NOT_HELD, self._order_id))
        write(self._body)
        written: Future[None] = Future()
        written.set_result(None)
        return written


@final
class HttpEngineClient(EngineClient):
    """Speaks the engines' protocol over HTTP."""

    def __init__(
        self, client: AsyncHTTPClient, timeout_s: float, order_s: float
    ) -> None:
        """Keep the client and the bounds of a read and of an order."""
        self._client = client
        self._timeout_s = timeout_s
        self._order_s = order_s

    async def read_state(
        self, engine: ListedInstance
    ) -> EngineReport | Failure:
        """Return an engine's state; ``UPSTREAM_UNREACHABLE`` if silent."""
        answer = await self._fetch(
            HTTPRequest(
                _locate(engine, 'state'),
                connect_timeout=self._timeout_s,
                request_timeout=self._timeout_s,
            )
        )
        if isinstance(answer, Failure):
            return answer
        try:
            body = _StateBody.model_validate_json(answer.body)
        except pydantic.ValidationError as error:
            return Failure(Code.MESSAGE_MALFORMED, f'{engine.name}: {error}')
        return EngineReport(body.incarnation, _decode_state(body))

    async def send(
        self, engine: ListedInstance, order: Order, guard: Callable[[], bool]
    ) -> Failure | None:
        """Send an order and wait until it is done."""
        body = _encode_order(order)

        guarded = _GuardedBody(body, guard, order.order_id)
        answer = await self._fetch(
            HTTPRequest(
                _locate(engine, 'orders'),
                method='POST',
                headers={
                    'Content-Type': protocol.MEDIA_JSON,
                    'Content-Length': str(len(body)),
                },
                body_producer=guarded.produce,
                connect_timeout=self._timeout_s,
                request_timeout=self._order_s,
            )
        )
        return answer if isinstance(answer, Failure) else None

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | Failure:
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except FailureError as error:
            return error.failure
        except (HTTPClientError, OSError) as error:
            return Failure(Code.UPSTREAM_UNREACHABLE, str(error), Ran.UNKNOWN)
        if answer.code == http.HTTPStatus.OK:
            return answer
        return _describe_refusal(answer)


def create_engine_client(
    client: AsyncHTTPClient, timeout_s: float, order_s: float
) -> EngineClient:
    """Return a client with the bounds of a read and of an order (seconds)."""
    return HttpEngineClient(client, timeout_s, order_s)


def _locate(engine: ListedInstance, name: str) -> str:
    return f'http://{engine.host}:{engine.port}/v1/{name}'


def _decode_state(body: _StateBody) -> EngineState:
    models = []
    for held in body.models:
        models.append(
            EngineModel(held.model, held.version, frozenset(held.adapters))
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


def _describe_refusal(answer: HTTPResponse) -> Failure:
    text = answer.body[:_MAX_DETAIL_CHARACTERS].decode('utf-8', 'replace')
    detail = f'HTTP {answer.code} {text}'
    if answer.code == http.HTTPStatus.CONFLICT:
        return Failure(Code.LEASE_NOT_HELD, detail)
    retry_after_s = None
    header = answer.headers.get(protocol.HEADER_RETRY_AFTER, '')
    if header.isdigit():
        retry_after_s = float(header)
    return Failure(Code.UPSTREAM_REFUSED, detail, Ran.UNKNOWN, retry_after_s)
