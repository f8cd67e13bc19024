"""The models loaded in an engine, and the orders that change them.

Orders carry the fencing number of the lease under which the reconciler sent
them, so that an engine can refuse the orders of an earlier lease holder.
"""

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
_WEIGHTS_RETRY_INTERVAL_S: Final = 0.2
_WEIGHTS_MAX_ATTEMPTS: Final = 25


@final
class LoadedModel(pydantic.BaseModel):
    """A model that is loaded, or that an order wants loaded."""

    model: str
    version: str
    adapters: list[str] = []


@final
class OrderTarget(pydantic.BaseModel):
    """The desired state in an order."""

    role: str = _ANY_ROLE
    models: list[LoadedModel] = []


@final
class OrderBody(pydantic.BaseModel):
    """The request body of an order."""

    fencing: int
    order_id: str
    target: OrderTarget


@final
@dataclass(frozen=True, slots=True)
class OrderOptions:
    """How an engine executes orders."""

    checks_fencing: bool = True
    # Base URL of the weight store; empty to load without fetching weights.
    weights_url: str = ''
    # Seconds to load one model.
    load_s: float = 0.1


class EngineModels:
    """The role and the loaded models of one engine."""

    def __init__(
        self, options: OrderOptions, target: OrderTarget, history: History
    ) -> None:
        """Start with a role and models, before any order."""
        self._options = options
        self._target = target
        self._history = history
        self._fencing = 0
        self._lock = asyncio.Lock()

    def encode(self, incarnation: int) -> dict[str, object]:
        """Return the state in the form of the protocol."""
        return {
            'incarnation': incarnation,
            'role': self._target.role,
            'models': [loaded.model_dump() for loaded in self._target.models],
            'fencing': self._fencing,
        }

    def names(self) -> list[str]:
        """Return the names of the loaded models."""
        return [loaded.model for loaded in self._target.models]

    def roles(self) -> list[str]:
        """Return the kinds of stages that the engine serves."""
        if self._target.role in STAGE_KINDS:
            return [self._target.role]
        return list(STAGE_KINDS)

    async def execute(self, order: OrderBody) -> bool:
        """Execute an order; return False if its fencing number is stale."""
        async with self._lock:
            if self._is_stale(order):
                self._record('order_refused', order)
                return False
            self._fencing = max(self._fencing, order.fencing)
            self._record('order_started', order)
            for target_model in order.target.models:
                await self._load(target_model)
            self._target = order.target
            self._record('order_obeyed', order)
            return True

    def _is_stale(self, order: OrderBody) -> bool:
        return self._options.checks_fencing and order.fencing < self._fencing

    async def _load(self, target_model: LoadedModel) -> None:
        for loaded in self._target.models:
            if (loaded.model, loaded.version) == (
                target_model.model,
                target_model.version,
            ):
                return
        if self._options.weights_url:
            await self._fetch_weights(target_model)
        await asyncio.sleep(self._options.load_s)

    async def _fetch_weights(self, target_model: LoadedModel) -> None:
        client = httpclient.AsyncHTTPClient()
        base = self._options.weights_url
        url = f'{base}/weights/{target_model.model}/{target_model.version}'
        for _ in range(_WEIGHTS_MAX_ATTEMPTS):
            try:
                await client.fetch(url)
            except (httpclient.HTTPClientError, OSError):
                await asyncio.sleep(_WEIGHTS_RETRY_INTERVAL_S)
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
    """Parse MODEL:VERSION[:ADAPTER,...]."""
    model, version, *more = text.split(':')
    adapters = more[0].split(',') if more else []
    return LoadedModel(model=model, version=version, adapters=adapters)
