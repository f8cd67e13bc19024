"""Decides which engine of a pool gets an order next.

Orders go only to engines whose state differs from the target, a few at a
time, and never to so many serving engines that the pool stops serving.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.config.model import ModelTarget

# One serving engine in so many may be ordered at once.
_SERVING_SHARE: Final = 4
_FIRST_PAUSE_S: Final = 1.0
_LONGEST_PAUSE_S: Final = 30.0
_MAX_DOUBLINGS: Final = 5


@final
@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that an engine has, or must have, loaded."""

    model: str
    version: str
    adapters: frozenset[str]


@final
@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an order names, whole: a repeat changes nothing."""

    role: str
    models: frozenset[EngineModel]


@final
@dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of one live engine of a pool."""

    name: str
    incarnation: int
    # The state that it reported last; None while it does not answer.
    state: EngineState | None
    # Whether its availability zone is out, so that it serves nothing.
    is_zone_out: bool = False


@final
@dataclass(frozen=True, slots=True)
class PacingOptions:
    """Bounds on orders at once."""

    max_orders: int


def create_target(targets: Iterable[ModelTarget]) -> EngineState | None:
    """Return what every engine of a pool must have; None for no target."""
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
    """Chooses the engines of one pool that get an order now."""

    def __init__(self, options: PacingOptions) -> None:
        """Start with no order under way."""
        self._options = options
        self._running: set[str] = set()
        self._failures_by_name: dict[str, int] = {}
        self._paused_until_by_name: dict[str, float] = {}
        self._all_paused_until: float = 0

    @property
    def running(self) -> frozenset[str]:
        """Return the names of the engines with an order under way."""
        return frozenset(self._running)

    def choose(
        self,
        target: EngineState,
        engines_by_name: Mapping[str, EngineView],
        now: float,
    ) -> tuple[str, ...]:
        """Return the engines to order now, without starting anything.

        Engines that serve nothing go first: they take nothing away.
        """
        if now < self._all_paused_until:
            return ()
        room = self._options.max_orders - len(self._running)
        serving_room = self._count_serving_room(target, engines_by_name)
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
        chosen = idle + serving[: max(serving_room, 0)]
        return tuple(chosen[: max(room, 0)])

    def start(self, name: str) -> None:
        """Note that an order to an engine is under way."""
        self._running.add(name)

    def finish(self, name: str) -> None:
        """Note that an engine has obeyed its order."""
        self._running.discard(name)
        self._failures_by_name.pop(name, None)
        self._paused_until_by_name.pop(name, None)

    def fail(self, name: str, now: float, retry_after_s: float | None) -> None:
        """Note that an order failed; a time to come back holds for all."""
        self._running.discard(name)
        failures = self._failures_by_name.get(name, 0)
        self._failures_by_name[name] = failures + 1
        pause_s = _FIRST_PAUSE_S * 2 ** min(failures, _MAX_DOUBLINGS)
        self._paused_until_by_name[name] = now + min(pause_s, _LONGEST_PAUSE_S)
        if retry_after_s:
            self._all_paused_until = now + retry_after_s

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget the failures of engines that have left."""
        kept = set(names)
        for name in set(self._failures_by_name) - kept:
            self._failures_by_name.pop(name)
            self._paused_until_by_name.pop(name, None)

    def _may_order(
        self, engine: EngineView, target: EngineState, now: float
    ) -> bool:
        if engine.state is None or engine.state == target:
            return False
        if engine.name in self._running:
            return False
        return now >= self._paused_until_by_name.get(engine.name, now)

    def _count_serving_room(
        self,
        target: EngineState,
        engines_by_name: Mapping[str, EngineView],
    ) -> int:
        """Return how many more serving engines may be ordered now."""
        serving = 0
        ordered = 0
        for name, engine in engines_by_name.items():
            if name in self._running:
                ordered += 1
                continue
            serving += _serves(engine, target)
        # The engines in work count as if they served before.
        total = serving + ordered
        if total == 1 and len(engines_by_name) > 1:
            # The only one that serves waits until another does.
            return 0
        return max(total // _SERVING_SHARE, 1) - ordered


def _serves(engine: EngineView, target: EngineState) -> bool:
    """Return whether an engine may be doing useful work now."""
    if engine.state is None or engine.is_zone_out:
        return False
    wanted = {model.model for model in target.models}
    held = {model.model for model in engine.state.models}
    return bool(wanted & held)
