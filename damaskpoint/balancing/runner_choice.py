"""Orders the runners of a service by preference for one request."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.model import Runner

    # Sort key of a runner, lower is better; the first item is true for avoided
    # runners.
    _Rank = tuple[bool, float, float, int]

# Requests that share a prompt stay at their runner while its load is at most
# the mean load of the zone times this factor, plus this number of requests:
# processing a prompt again costs about as much as a few requests in the same
# batch.
_LOAD_FACTOR: Final = 1.25
_LOAD_SLACK: Final = 3


@final
@dataclass(frozen=True, slots=True)
class Candidates:
    """The runners to choose from, with their load and health."""

    runners: Sequence[Runner]
    # Requests in flight, by runner.
    loads_by_name: Mapping[str, int]
    # Names of runners that failed recently; chosen only if there is no other.
    avoided: frozenset[str]

    def load(self, runner: Runner) -> int:
        """Return the number of requests in flight at a runner."""
        return self.loads_by_name.get(runner.name, 0)

    def order_by_hash(self, key: str) -> list[Runner]:
        """Return the runners in rendezvous order for the key."""
        by_name = {runner.name: runner for runner in self.runners}
        return [by_name[name] for name in rendezvous.order(by_name, key)]


def order_by_prompt(
    candidates: Candidates, zone: str | None, prompt_key: str
) -> list[Runner]:
    """Return the runners for a prompt, the preferred one first.

    Requests with the same key go to the same runner of a zone, unless its
    load exceeds the bound.
    """
    in_zone = [runner for runner in candidates.runners if runner.zone == zone]
    load_bound = _compute_load_bound(candidates, in_zone or candidates.runners)
    ranked: list[tuple[_Rank, Runner]] = []
    for position, runner in enumerate(candidates.order_by_hash(prompt_key)):
        load = candidates.load(runner)
        overload = load if load > load_bound else 0
        is_avoided = runner.name in candidates.avoided
        ranked.append(
            ((is_avoided, runner.zone != zone, overload, position), runner)
        )
    return _sort(ranked)


def order_by_load(
    candidates: Candidates, zone: str, request_id: str
) -> list[Runner]:
    """Return the runners for a request without affinity, least busy first."""
    ranked: list[tuple[_Rank, Runner]] = []
    for position, runner in enumerate(candidates.order_by_hash(request_id)):
        utilization = candidates.load(runner) / max(1, runner.slots)
        is_avoided = runner.name in candidates.avoided
        ranked.append(
            ((is_avoided, utilization, runner.zone != zone, position), runner)
        )
    return _sort(ranked)


def _compute_load_bound(
    candidates: Candidates, runners: Sequence[Runner]
) -> int:
    """Return the highest load at which requests stay at their runner."""
    total = sum(candidates.load(runner) for runner in runners)
    mean = total / max(1, len(runners))
    return math.ceil(mean * _LOAD_FACTOR) + _LOAD_SLACK


def _sort(ranked: list[tuple[_Rank, Runner]]) -> list[Runner]:
    return [runner for _, runner in sorted(ranked, key=_by_rank)]


def _by_rank(ranked: tuple[_Rank, Runner]) -> _Rank:
    return ranked[0]
