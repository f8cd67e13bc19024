"""Orders runners by learned cost, for services whose runners differ.

All instances may see the same outdated figure, so no order puts the one best
runner first for every request: requests are spread by rendezvous hashing over
all runners that are good enough.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.model import Runner

    # Sort key of a runner, lower is better: avoided, fit, cost, position.
    _Rank = tuple[bool, '_Fit', float, int]
    # The same for a request without affinity: avoided, negative score.
    _WeightedRank = tuple[bool, float]

# Exponent of the cost in a runner's weight: one that is twice as expensive
# gets an eighth of the requests.
_COST_EXPONENT: Final = 3
# One-way and return network path to a runner of another zone (seconds).
ZONE_PATH_S: Final = 0.003
# Speed at which a runner reads a prompt that it does not have (tokens per
# second). It is low for a model runner, so that prompts rarely move.
_READ_TOKENS_PER_S: Final = 60_000
# A runner is good enough for a moved prompt up to this multiple of the mean
# cost.
_GOOD_FACTOR: Final = 1.1
# A prompt moves once the gain exceeds its price times a factor between these
# bounds, drawn by request: a part of the requests moves first.
_MIN_PRICE_FACTOR: Final = 0.5
_PRICE_FACTOR_RANGE: Final = 1.0
# Load bound of prompt affinity: a multiple of the service's mean utilization
# plus a share of the slots. Less busy runners keep their prompts.
_LOAD_FACTOR: Final = 1.25
_LOAD_SLACK: Final = 0.12
_MIN_LOAD_BOUND: Final = 0.6
_DIGEST_BITS: Final = 32
_DIGEST_SCALE: Final = float(1 << _DIGEST_BITS)


@final
class _Fit(enum.IntEnum):
    """How well a runner suits a prompt, best first."""

    # The runner that probably has the prompt in its cache.
    HOME = 0
    ZONE = 1
    OTHER_ZONE = 2
    # More expensive than what can be expected elsewhere.
    NONE = 3


@final
@dataclass(frozen=True, slots=True)
class CostedRunners:
    """The runners to choose from, with what a request at each costs."""

    runners: Sequence[Runner]
    cost_s_by_name: Mapping[str, float]
    # Requests at a runner per slot that it sustains.
    load_by_name: Mapping[str, float]
    mean_cost_s: float
    mean_load: float
    # Names of runners that failed recently; chosen only if there is no other.
    avoided: frozenset[str]


@final
@dataclass(frozen=True, slots=True)
class PromptPlace:
    """Where a prompt is, and what it takes to move it."""

    # Home zone of the prompt; None if no zone has a healthy runner.
    zone: str | None
    key: str
    # Tokens that the runner of the prompt probably has in its cache.
    shared_tokens: int
    request_id: str


def order_by_cost(
    costed: CostedRunners, zone: str, request_id: str
) -> list[Runner]:
    """Return the runners for a request without affinity.

    The first one is drawn by the request's id, weighted by cost.
    """
    ranked: list[tuple[_WeightedRank, Runner]] = []
    for runner in costed.runners:
        cost_s = costed.cost_s_by_name[runner.name]
        if runner.zone != zone:
            cost_s += ZONE_PATH_S
        weight = (costed.mean_cost_s / cost_s) ** _COST_EXPONENT
        score = rendezvous.score(runner.name, request_id, weight)
        ranked.append(((runner.name in costed.avoided, -score), runner))
    ranked.sort(key=_by_score)
    return [item for _, item in ranked]


def order_by_place(costed: CostedRunners, place: PromptPlace) -> list[Runner]:
    """Return the runners for a prompt, the preferred one first.

    The prompt stays at the first runner of its home zone by rendezvous
    hashing while that costs less than moving it. Otherwise it moves to the
    next runner that is not busier than the mean, in the zone if possible.
    """
    by_name = {runner.name: runner for runner in costed.runners}
    names = rendezvous.order(by_name, place.key)
    home = _find_first(names, by_name, place.zone)
    ranked: list[tuple[_Rank, Runner]] = []
    for position, name in enumerate(names):
        rank = _rank(costed, place, by_name[name], is_home=name == home)
        ranked.append(((*rank, position), by_name[name]))
    ranked.sort(key=_by_rank)
    return [runner for _, runner in ranked]


def _find_first(
    names: Sequence[str], by_name: Mapping[str, Runner], zone: str | None
) -> str:
    """Return the first name of a runner in a zone, or an empty string."""
    for name in names:
        if by_name[name].zone == zone:
            return name
    return ''


def _rank(
    costed: CostedRunners, place: PromptPlace, runner: Runner, *, is_home: bool
) -> tuple[bool, _Fit, float]:
    is_avoided = runner.name in costed.avoided
    cost_s = costed.cost_s_by_name[runner.name]
    if is_home:
        if _is_worth_staying(costed, place, runner):
            return (is_avoided, _Fit.HOME, 0)
        return (is_avoided, _Fit.NONE, cost_s)
    in_zone = runner.zone == place.zone
    if _is_good_enough(costed, runner):
        return (is_avoided, _Fit.ZONE if in_zone else _Fit.OTHER_ZONE, 0)
    cost_s += place.shared_tokens / _READ_TOKENS_PER_S
    if not in_zone:
        cost_s += ZONE_PATH_S
    return (is_avoided, _Fit.NONE, cost_s)


def _is_worth_staying(
    costed: CostedRunners, place: PromptPlace, home: Runner
) -> bool:
    """Return whether a prompt stays where it probably is in the cache."""
    digest = xxhash.xxh32_intdigest(f'move\n{place.request_id}'.encode())
    factor = _MIN_PRICE_FACTOR + _PRICE_FACTOR_RANGE * digest / _DIGEST_SCALE
    price_s = place.shared_tokens / _READ_TOKENS_PER_S + ZONE_PATH_S
    excess_s = costed.cost_s_by_name[home.name] - costed.mean_cost_s
    if excess_s > price_s * factor:
        return False
    load_bound = max(
        _MIN_LOAD_BOUND, costed.mean_load * _LOAD_FACTOR + _LOAD_SLACK * factor
    )
    return costed.load_by_name[home.name] <= load_bound


def _is_good_enough(costed: CostedRunners, runner: Runner) -> bool:
    cost_s = costed.cost_s_by_name[runner.name]
    load = costed.load_by_name[runner.name]
    return (
        cost_s <= costed.mean_cost_s * _GOOD_FACTOR
        and load <= costed.mean_load * _GOOD_FACTOR
    )


def _by_rank(ranked: tuple[_Rank, Runner]) -> _Rank:
    return ranked[0]


def _by_score(ranked: tuple[_WeightedRank, Runner]) -> _WeightedRank:
    return ranked[0]
