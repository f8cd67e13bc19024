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

from damaskpoint.quarantine.causes import split_key
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
    parser.add_argument(
        '--companion-share',
        type=float,
        help='share of sound requests with a document of all crashing ones',
    )
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    broken = 0
    for seed in range(options.first, options.first + options.count):
        for has_cause in (True, False):
            report = _play(seed, has_cause, options.companion_share)
            if report:
                sys.stdout.write(f'seed {seed}, cause {has_cause}: {report}\n')
                broken += 1
    sys.stdout.write(f'{2 * options.count} fleets, {broken} broken\n')
    return int(broken > 0)


def _play(seed: int, has_cause: bool, companion_share: float | None) -> str:
    """Return what is wrong with one fleet, or an empty text."""
    drawn = create_options(
        seed, has_cause=has_cause, companion_share=companion_share
    )
    fleet = CrashingFleet(drawn, seed)
    result = fleet.run(_SECONDS)
    keys = {key for guard in fleet.guards for key in guard.quarantines_by_key}
    # No sound request has all parts of a key with the crashing one.
    without_cause = sorted(
        key
        for key in keys
        if not has_cause or CRASHING_PART not in split_key(key)
    )
    wrong = []
    if result.count_late() > _MOST_LATE:
        wrong.append(f'{result.count_late()} late sends')
    if result.refused_at:
        wrong.append(f'{len(result.refused_at)} sound requests refused')
    if without_cause:
        wrong.append(f'quarantined without a cause: {without_cause}')
    return ', '.join(wrong)


if __name__ == '__main__':
    sys.exit(main())
