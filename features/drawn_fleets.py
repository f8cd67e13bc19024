"""Plays drawn fleets whose runners crash on prompts, by hand.

Run it with ``python -m features.drawn_fleets --first 1000 --count 400``. Each
seed is played with a part that crashes runners, and without one. Prints what
breaks a bound; the exit status is 1 then.
"""

from __future__ import annotations

import argparse
import logging
import sys
from typing import Final

from features.support.crashing_fleet import (
    CRASHING_PART,
    CrashingFleet,
    create_options,
)

_MOST_LATE: Final = 3
_SECONDS: Final = 30.0


def main() -> int:
    """Play the fleets and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=50)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    broken = 0
    for seed in range(options.first, options.first + options.count):
        for has_cause in (True, False):
            report = _play(seed, has_cause)
            if report:
                sys.stdout.write(f'seed {seed}, cause {has_cause}: {report}\n')
                broken += 1
    sys.stdout.write(f'{2 * options.count} fleets, {broken} broken\n')
    return int(broken > 0)


def _play(seed: int, has_cause: bool) -> str:
    """Return what is wrong with one fleet, or an empty text."""
    fleet = CrashingFleet(create_options(seed, has_cause=has_cause), seed)
    result = fleet.run(_SECONDS)
    parts = {
        part_id
        for guard in fleet.guards
        for part_id in guard.quarantines_by_part
    }
    allowed = {CRASHING_PART} if has_cause else set()
    wrong = []
    if result.count_late() > _MOST_LATE:
        wrong.append(f'{result.count_late()} late sends')
    if result.refused_at:
        wrong.append(f'{len(result.refused_at)} sound requests refused')
    if parts - allowed:
        wrong.append(f'quarantined without a cause: {sorted(parts - allowed)}')
    return ', '.join(wrong)


if __name__ == '__main__':
    sys.exit(main())
