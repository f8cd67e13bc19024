"""Chooses the parts that explain why runs break.

A part that all crashing requests share fails as often as the one that crashes
runners, until a run tells them apart. What is refused until then is a prompt
with all of these parts: sound requests that have only some of them still run,
and each such run tells the parts apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint import defaults

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Consecutive failures after which parts are put in quarantine.
MIN_FAILURES: Final = 4
# A part is not the cause if another one has failed so many times more: a single
# failure may be due to a network fault.
_DECISIVE_LEAD: Final = 2
# Separates parts in a key; the header of a prompt separates them by it too.
_SEPARATOR: Final = ','


def choose_causes(failures_by_part: Mapping[str, int]) -> tuple[str, ...]:
    """Return the parts that are not told apart and explain the failures.

    Takes the parts of one broken run. Returns none if they failed too seldom.
    """
    most = max(failures_by_part.values(), default=0)
    if most < MIN_FAILURES:
        return ()
    return tuple(
        part_id
        for part_id, failures in failures_by_part.items()
        if most - failures < _DECISIVE_LEAD
    )


def create_key(part_ids: Iterable[str]) -> str:
    """Return the key of a set of parts; of one part it is its id.

    Leaves out parts of a set whose key would be too long for a message.
    """
    key = ''
    for part_id in sorted(part_ids):
        longer = f'{key}{_SEPARATOR}{part_id}' if key else part_id
        if len(longer) <= defaults.MAX_NAME_CHARACTERS:
            key = longer
    return key


def split_key(key: str) -> frozenset[str]:
    """Return the parts of a key."""
    return frozenset(key.split(_SEPARATOR))
