"""Metrics of rollouts."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

PHASE: Final = Gauge(
    'damaskpoint_rollout_phase',
    'Phase of the rollout of a service: 0 waiting, 1 canary, 2 switching, '
    '3 completed, 4 rolled back.',
)
SCORE: Final = Gauge(
    'damaskpoint_rollout_score',
    'Score of the test on the new version of a service; bad from 14.',
)
WRITES: Final = Counter(
    'damaskpoint_rollout_writes_total',
    'Writes of the state of a rollout, by outcome.',
)
