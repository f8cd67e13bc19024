"""Seeded rollouts of good versions, under trouble of other kinds."""

from __future__ import annotations

import logging
import random
from functools import partial

from features.support.rollout_fleet import RolloutWorld


def play_good(seed: int) -> tuple[int, str, int]:
    """Play a good rollout; return its seed, its end and cut requests."""
    logging.disable(logging.CRITICAL)
    rng = random.Random(seed)
    burst_at = rng.uniform(0, 14)
    slow_zone = rng.choice(('', 'zone-1', 'zone-2'))
    slow_from = rng.uniform(2, 12)
    world = RolloutWorld(
        seed,
        count=rng.choice((2, 4, 8)),
        per_s=rng.choice((20, 60, 100)),
        duration_s=rng.choice((12, 15)),
        rate_factor=lambda now: 4 if 0 <= now - burst_at < 2 else 1,
        zone_factor=lambda zone, now: (
            4 if zone == slow_zone and 0 < now - slow_from < 4 else 1
        ),
    )
    for _ in range(rng.choice((0, 1, 2, 3))):
        position = rng.randrange(len(world.runners))
        world.at(rng.uniform(1, 15), partial(world.crash, position))
    world.run()
    return seed, world.state, world.cut_unsafe
