"""Orders runners by learned cost, for services whose runners differ.

All instances may see the same outdated figure, so no order puts the one best
runner first for every request: requests are spread by rendezvous hashing over
all runners that are good enough.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.model import Runner

    # Sort key of a runner, lower is better: avoided, negative score.
    _WeightedRank = tuple[bool, float]

# Exponent of the cost in a runner's weight: one that is twice as expensive
# is drawn a quarter as often.
_COST_EXPONENT: Final = 2
# Two runners are drawn, and the second is preferred if its cost is below this
# share of the first one's.
_SECOND_SHARE: Final = 0.65
# The same for a prompt that moves, whose requests all go to one runner.
_MOVE_EXPONENT: Final = 4
# One-way and return network path to a runner of another zone (seconds).
ZONE_PATH_S: Final = 0.003
# What it costs to move stage results to another zone (seconds per byte), and
# at most (seconds): as much as pieces wait for a runner of their zone.
_INPUT_S_PER_BYTE: Final = 1e-6
_MAX_INPUT_S: Final = 0.4
# Speed at which a runner reads a prompt that it does not have (tokens per
# second). It is that of slow runners, as the requests that already run there
# are delayed as well.
_READ_TOKENS_PER_S: Final = 50_000
# A prompt moves once the gain exceeds its price times a factor between these
# bounds, drawn by request: a part of the requests moves first.
_MIN_PRICE_FACTOR: Final = 0.5
_PRICE_FACTOR_RANGE: Final = 1.0
# Load bound of prompt affinity: a multiple of the service's mean utilization
# plus a share of the slots. Less busy runners keep their prompts.
_LOAD_FACTOR: Final = 1.25
_LOAD_SLACK: Final = 0.12
_MIN_LOAD_BOUND: Final = 0.6
# Cached scores of runners for prompts, about 4 MB.
_CACHED_SCORES: Final = 16_384
_DIGEST_BITS: Final = 32
_DIGEST_SCALE: Final = float(1 << _DIGEST_BITS)


@final
@dataclass(frozen=True, slots=True)
class CostedRunners:
    """The runners to choose from, with what a request at each costs."""

    runners: Sequence[Runner]
    cost_s_by_name: Mapping[str, float]
    # Requests at a runner per slot that it sustains.
    load_by_name: Mapping[str, float]
    mean_cost_s: float
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
    # Size of the stage results in the home zone that the request takes.
    input_bytes: int = 0


def order_by_cost(
    costed: CostedRunners, zone: str, request_id: str
) -> list[Runner]:
    """Return the runners for a request without affinity.

    Two are drawn by the request's id, weighted by cost; the first of them is
    preferred unless it is much more expensive.
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
    ordered = [item for _, item in ranked]
    if len(ordered) > 1 and _is_much_cheaper(costed, *ordered[:2]):
        ordered.insert(0, ordered.pop(1))
    return ordered


def _is_much_cheaper(
    costed: CostedRunners, first: Runner, second: Runner
) -> bool:
    if second.name in costed.avoided:
        return False
    bound_s = costed.cost_s_by_name[first.name] * _SECOND_SHARE
    return costed.cost_s_by_name[second.name] < bound_s


def order_by_place(costed: CostedRunners, place: PromptPlace) -> list[Runner]:
    """Return the runners for a prompt, the preferred one first.

    The prompt stays at the first runner of its home zone by rendezvous
    hashing while that costs less than moving it. Otherwise it moves to a
    runner that is drawn by the prompt's key, weighted by cost, so that all of
    its requests move to the same one.
    """
    home = _find_home(costed, place)
    others = _order_others(costed, place, home)
    if home is None:
        return others
    if home.name in costed.avoided:
        return [*others, home]
    if not others or _is_worth_staying(costed, place, home, others[0]):
        return [home, *others]
    return [others[0], home, *others[1:]]


def _find_home(costed: CostedRunners, place: PromptPlace) -> Runner | None:
    """Return the runner that probably has the prompt in its cache."""
    home = None
    highest = float(0)
    for runner in costed.runners:
        if runner.zone != place.zone:
            continue
        score = _score_prompt(runner.name, place.key)
        if home is None or score > highest:
            home = runner
            highest = score
    return home


def _order_others(
    costed: CostedRunners, place: PromptPlace, home: Runner | None
) -> list[Runner]:
    ranked: list[tuple[_WeightedRank, Runner]] = []
    for runner in costed.runners:
        if runner is home:
            continue
        cost_s = costed.cost_s_by_name[runner.name]
        cost_s += _price_s(place, runner)
        weight = (costed.mean_cost_s / cost_s) ** _MOVE_EXPONENT
        score = weight * _score_prompt(runner.name, place.key)
        ranked.append(((runner.name in costed.avoided, -score), runner))
    ranked.sort(key=_by_score)
    return [item for _, item in ranked]


@lru_cache(_CACHED_SCORES)
def _score_prompt(runner: str, key: str) -> float:
    """Return the unweighted score; few prompts have most of the requests."""
    return rendezvous.score(runner, key)


def _price_s(place: PromptPlace, runner: Runner) -> float:
    """Return what it takes to move a prompt to a runner (seconds)."""
    read_s = place.shared_tokens / _READ_TOKENS_PER_S
    if runner.zone == place.zone:
        return read_s
    moved_s = min(_MAX_INPUT_S, place.input_bytes * _INPUT_S_PER_BYTE)
    return read_s + moved_s + ZONE_PATH_S


def _is_worth_staying(
    costed: CostedRunners, place: PromptPlace, home: Runner, other: Runner
) -> bool:
    """Return whether a prompt stays where it probably is in the cache."""
    if other.name in costed.avoided:
        return True
    digest = xxhash.xxh32_intdigest(f'move\n{place.request_id}'.encode())
    factor = _MIN_PRICE_FACTOR + _PRICE_FACTOR_RANGE * digest / _DIGEST_SCALE
    price_s = _price_s(place, other) * factor
    gain_s = (
        costed.cost_s_by_name[home.name] - costed.cost_s_by_name[other.name]
    )
    if gain_s > price_s:
        return False
    load_bound = max(
        _MIN_LOAD_BOUND,
        costed.load_by_name[other.name] * _LOAD_FACTOR + _LOAD_SLACK * factor,
    )
    return costed.load_by_name[home.name] <= load_bound


def _by_score(ranked: tuple[_WeightedRank, Runner]) -> _WeightedRank:
    return ranked[0]
