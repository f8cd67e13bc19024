"""The models that an engine holds, and the orders that change them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import pydantic
from tornado import httpclient

if TYPE_CHECKING:
    from standins.history import History

STAGE_KINDS: Final = ('encode', 'retrieve', 'rerank', 'generate')
_ANY_ROLE: Final = 'any'
_WEIGHTS_PAUSE_S: Final = 0.2
_WEIGHTS_TRIES: Final = 25


@final
class LoadedModel(pydantic.BaseModel):
    """A model that an engine holds."""

    model: str
    version: str
    adapters: list[str] = []


@final
class OrderTarget(pydantic.BaseModel):
    """The state that an order asks for."""

    role: str = _ANY_ROLE
    models: list[LoadedModel] = []


@final
class OrderBody(pydantic.BaseModel):
    """An order to an engine."""

    fencing: int
    order_id: str
    target: OrderTarget


@final
@dataclass(frozen=True, slots=True)
class OrderOptions:
    """How an engine takes orders."""

    checks_fencing: bool = True
    # Base URL of the weight store; empty loads without it.
    weights_url: str = ''
    # Seconds that one model takes to load.
    load_s: float = 0.1


class EngineModels:
    """The role and the models of one engine."""

    def __init__(
        self, options: OrderOptions, target: OrderTarget, history: History
    ) -> None:
        """Start with a role and models, under no order."""
        self._options = options
        self._target = target
        self._history = history
        self._fencing = 0
        self._lock = asyncio.Lock()

    def encode(self, incarnation: int) -> dict[str, object]:
        """Return the state as the protocol writes it."""
        return {
            'incarnation': incarnation,
            'role': self._target.role,
            'models': [item.model_dump() for item in self._target.models],
            'fencing': self._fencing,
        }

    def names(self) -> list[str]:
        """Return the names of the models that are loaded."""
        return [item.model for item in self._target.models]

    def roles(self) -> list[str]:
        """Return the kinds of stages that the engine serves."""
        if self._target.role in STAGE_KINDS:
            return [self._target.role]
        return list(STAGE_KINDS)

    async def obey(self, order: OrderBody) -> bool:
        """Carry an order out; False if its fencing number is old."""
        async with self._lock:
            if self._is_old(order):
                self._record('order_refused', order)
                return False
            self._fencing = max(self._fencing, order.fencing)
            self._record('order_started', order)
            for wanted in order.target.models:
                await self._load(wanted)
            self._target = order.target
            self._record('order_obeyed', order)
            return True

    def _is_old(self, order: OrderBody) -> bool:
        return self._options.checks_fencing and order.fencing < self._fencing

    async def _load(self, wanted: LoadedModel) -> None:
        for held in self._target.models:
            if (held.model, held.version) == (wanted.model, wanted.version):
                return
        if self._options.weights_url:
            await self._fetch_weights(wanted)
        await asyncio.sleep(self._options.load_s)

    async def _fetch_weights(self, wanted: LoadedModel) -> None:
        client = httpclient.AsyncHTTPClient()
        base = self._options.weights_url
        url = f'{base}/weights/{wanted.model}/{wanted.version}'
        for _ in range(_WEIGHTS_TRIES):
            try:
                await client.fetch(url)
            except (httpclient.HTTPClientError, OSError):
                await asyncio.sleep(_WEIGHTS_PAUSE_S)
                continue
            return

    def _record(self, event: str, order: OrderBody) -> None:
        self._history.record(
            event,
            fencing=order.fencing,
            order_id=order.order_id,
            target=order.target.model_dump(),
            checks_fencing=self._options.checks_fencing,
        )


def parse_model(text: str) -> LoadedModel:
    """Return the model that MODEL:VERSION[:ADAPTER,...] names."""
    model, version, *more = text.split(':')
    adapters = more[0].split(',') if more else []
    return LoadedModel(model=model, version=version, adapters=adapters)
