"""Computes the cost of a run from the stand-ins' history files.

Cost is counted in calls: how many the upstreams started, how many of these
were wasted, and how often a run broke a limit or a guarantee.
"""

from __future__ import annotations

import collections
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator


@final
@dataclass(slots=True)
class StageCost:
    """Counts of the calls of one stage, as the upstreams recorded them."""

    started: int = 0
    ended: int = 0
    cancelled: int = 0
    refused: int = 0
    # Started calls without use for a complete answer within the deadline.
    wasted: int = 0

    def wasted_share(self) -> float:
        """Return the share of started calls that were wasted."""
        return round(self.wasted / self.started, 4) if self.started else 0


@final
@dataclass(slots=True)
class Cost:
    """Calls of a run by stage, and counts of violated limits."""

    stages_by_name: dict[str, StageCost] = field(
        default_factory=lambda: collections.defaultdict(StageCost)
    )
    # Calls that started on a cold upstream above its limit.
    cold_overshoots: int = 0
    # Non-idempotent requests, by key, that ran to the end more than once.
    doubled: int = 0

    def as_json(self) -> dict[str, object]:
        """Return the counts as JSON-serializable data."""
        stages: dict[str, object] = {}
        for name in sorted(self.stages_by_name):
            stage = self.stages_by_name[name]
            stages[name] = {
                'started': stage.started,
                'cancelled': stage.cancelled,
                'refused': stage.refused,
                'wasted_share': stage.wasted_share(),
            }
        return {
            'stages': stages,
            'cold_overshoots': self.cold_overshoots,
            'doubled': self.doubled,
        }


def read_cost(folder: pathlib.Path, whole_answer_ids: frozenset[str]) -> Cost:
    """Return the cost of a run from the history files in a folder.

    ``whole_answer_ids`` are the requests that got a complete answer within
    their deadline.
    """
    cost = Cost()
    useful_stages: set[tuple[str, str]] = set()
    ended_by_key: collections.Counter[str] = collections.Counter()
    for event in _read_events(folder):
        name = str(event.get('event'))
        if _is_overshoot(event):
            cost.cold_overshoots += 1
        if 'request_id' not in event:
            continue
        stage = cost.stages_by_name[str(event.get('stage') or 'service')]
        if name == 'ended' and event.get('key'):
            ended_by_key[str(event['key'])] += 1
        _count_event(stage, name, event, whole_answer_ids, useful_stages)
    for stage in cost.stages_by_name.values():
        # ``wasted`` is minus the number of useful calls so far; each other
        # started call counts as wasted.
        stage.wasted += stage.started
    cost.doubled = sum(1 for count in ended_by_key.values() if count > 1)
    return cost


def _count_event(
    stage: StageCost,
    name: str,
    event: dict[str, object],
    whole_answer_ids: frozenset[str],
    useful_stages: set[tuple[str, str]],
) -> None:
    if name == 'started':
        stage.started += 1
    if name == 'cancelled':
        stage.cancelled += 1
    if name == 'refused':
        stage.refused += 1
    if name != 'ended':
        return
    stage.ended += 1
    request_id = str(event['request_id'])
    stage_key = (request_id, str(event.get('stage')))
    if request_id in whole_answer_ids and stage_key not in useful_stages:
        useful_stages.add(stage_key)
        stage.wasted -= 1


def _is_overshoot(event: dict[str, object]) -> bool:
    if event.get('event') != 'started' or not event.get('is_cold'):
        return False
    return int(str(event['in_flight'])) > int(str(event['limit']))


def _read_events(folder: pathlib.Path) -> Iterator[dict[str, object]]:
    for path in sorted(folder.glob('*.jsonl')):
        with path.open(encoding='utf-8') as lines:
            for line in lines:
                yield json.loads(line)
