"""The state dump of rollouts."""

from __future__ import annotations

import math
from dataclasses import astuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.rollout.book import RolloutBook, ServiceRollout


def dump_book(book: RolloutBook, now: float) -> dict[str, object]:
    """Return orders, phases, and this instance's counts by route and zone."""
    age_s = book.confirmed_age_s(now)
    return {
        'confirmed_age_s': round(age_s, 3) if math.isfinite(age_s) else None,
        'established': dict(book.versions.versions_by_service),
        'rollouts': {
            service: _dump_rollout(rollout)
            for service, rollout in book.rollouts_by_service.items()
        },
    }


def _dump_rollout(rollout: ServiceRollout) -> dict[str, object]:
    order, state = rollout.order, rollout.state
    return {
        'order': order.number if order else None,
        'to': order.to_version if order else None,
        'phase': state.phase.value if state else None,
        'reason': state.reason if state else '',
        'blocked': rollout.blocked_reason,
        # Old, bad old, new, bad new and broken new ones.
        'counts': {
            ' in '.join(key.splitlines()): astuple(counts)
            for key, counts in rollout.counts_by_key.items()
        },
    }
