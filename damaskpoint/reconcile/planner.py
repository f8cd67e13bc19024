"""Decides which engines of a pool receive an order next.

Orders go only to engines whose state differs from the target, a limited
number at a time, and never to so many serving engines that the pool stops
serving.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.config.model import ModelTarget

# One concurrent order is allowed for this many serving engines.
_SERVING_ENGINES_PER_ORDER: Final = 4
_INITIAL_BACKOFF_S: Final = 1.0
_MAX_BACKOFF_S: Final = 30.0
_MAX_DOUBLINGS: Final = 5


@final
@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that an engine has loaded or must load."""

    model: str
    version: str
    adapters: frozenset[str]


@final
@dataclass(frozen=True, slots=True)
class EngineState:
    """The complete state of an engine, as reported or as ordered."""

    role: str
    models: frozenset[EngineModel]


@final
@dataclass(frozen=True, slots=True)
class EngineView:
    """The last known state of one live engine of a pool."""

    name: str
    incarnation: int
    # The last reported state; None while it does not respond.
    state: EngineState | None
    # Whether its availability zone is out, so that it serves no requests.
    is_zone_out: bool = False


@final
@dataclass(frozen=True, slots=True)
class PacingOptions:
    """Limits on concurrent orders."""

    max_orders: int


def create_target(targets: Iterable[ModelTarget]) -> EngineState | None:
    """Return the target state of a pool's engines, None without targets."""
    role = ''
    models = []
    for target in targets:
        role = target.role
        models.append(
            EngineModel(
                target.model, target.version, frozenset(target.adapters)
            )
        )
    return EngineState(role, frozenset(models)) if models else None


@final
class OrderPlanner:
    """Chooses the engines of one pool that receive an order now."""

    def __init__(self, options: PacingOptions) -> None:
        """Start without an order in flight."""
        self._options = options
        self._running: set[str] = set()
        self._failures_by_name: dict[str, int] = {}
        self._backoff_until_by_name: dict[str, float] = {}
        self._pool_backoff_until: float = 0

    @property
    def running(self) -> frozenset[str]:
        """Return the names of the engines with an order in flight."""
        return frozenset(self._running)

    def choose(
        self,
        target: EngineState,
        engines_by_name: Mapping[str, EngineView],
        now: float,
    ) -> tuple[str, ...]:
        """Return the engines that should receive an order now.

        Engines that are not serving go first, as they cost no capacity. The
        caller records each order that it sends with ``start``.
        """
        if now < self._pool_backoff_until:
            return ()
        free_slots = self._options.max_orders - len(self._running)
        serving_slots = self._count_serving_slots(target, engines_by_name)
        idle = []
        serving = []
        for name in sorted(engines_by_name):
            engine = engines_by_name[name]
            if not self._may_order(engine, target, now):
                continue
            if _serves(engine, target):
                serving.append(name)
            else:
                idle.append(name)
        chosen = idle + serving[: max(serving_slots, 0)]
        return tuple(chosen[: max(free_slots, 0)])

    def start(self, name: str) -> None:
        """Record that an order to an engine is in flight."""
        self._running.add(name)

    def finish(self, name: str) -> None:
        """Record that an engine has carried out its order."""
        self._running.discard(name)
        self._failures_by_name.pop(name, None)
        self._backoff_until_by_name.pop(name, None)

    def fail(self, name: str, now: float, retry_after_s: float | None) -> None:
        """Record a failed order; ``retry_after_s`` pauses all orders."""
        self._running.discard(name)
        failures = self._failures_by_name.get(name, 0)
        self._failures_by_name[name] = failures + 1
        backoff_s = _INITIAL_BACKOFF_S * 2 ** min(failures, _MAX_DOUBLINGS)
        self._backoff_until_by_name[name] = now + min(backoff_s, _MAX_BACKOFF_S)
        if retry_after_s:
            self._pool_backoff_until = now + retry_after_s

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop the failures of all engines but the named ones."""
        live_names = set(names)
        for name in set(self._failures_by_name) - live_names:
            self._failures_by_name.pop(name)
            self._backoff_until_by_name.pop(name, None)

    def _may_order(
        self, engine: EngineView, target: EngineState, now: float
    ) -> bool:
        if engine.state is None or engine.state == target:
            return False
        if engine.name in self._running:
            return False
        return now >= self._backoff_until_by_name.get(engine.name, now)

    def _count_serving_slots(
        self,
        target: EngineState,
        engines_by_name: Mapping[str, EngineView],
    ) -> int:
        """Return how many more serving engines may receive an order."""
        serving = 0
        in_flight = 0
        for name, engine in engines_by_name.items():
            if name in self._running:
                in_flight += 1
                continue
            serving += _serves(engine, target)
        # Engines with an order in flight are counted as serving before it.
        total = serving + in_flight
        if total == 1 and len(engines_by_name) > 1:
            # The only serving engine waits until another one serves.
            return 0
        return max(total // _SERVING_ENGINES_PER_ORDER, 1) - in_flight


def _serves(engine: EngineView, target: EngineState) -> bool:
    """Return whether an engine may be serving a model of the target."""
    if engine.state is None or engine.is_zone_out:
        return False
    required = {model.model for model in target.models}
    loaded = {model.model for model in engine.state.models}
    return bool(required & loaded)
