"""Counts this instance's requests at runners of the old version."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final, final

# Number of recent requests whose longest time counts.
_MAX_TIMES: Final = 200


@final
@dataclass(slots=True)
class _Work:
    """Requests at runners of one service."""

    # In flight, by version, and those that must not be repeated.
    counts_by_version: dict[str, int] = field(default_factory=dict)
    unrepeatable_by_version: dict[str, int] = field(default_factory=dict)
    # When the last one of a version ended.
    ended_at_by_version: dict[str, float] = field(default_factory=dict)
    times_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_TIMES)
    )


@final
@dataclass(frozen=True, slots=True)
class OwnOldWork:
    """What this instance has at runners of other versions than one."""

    requests: int
    unrepeatable: int
    ended_at: float


@final
class ServiceWork:
    """Requests in flight by service and version; times are seconds."""

    def __init__(self) -> None:
        """Start without requests."""
        self._work_by_service: dict[str, _Work] = {}

    def begin(self, service: str, version: str, *, is_repeatable: bool) -> None:
        """Record a send to a runner."""
        work = self._work_by_service.setdefault(service, _Work())
        _add(work.counts_by_version, version, 1)
        _add(work.unrepeatable_by_version, version, int(not is_repeatable))

    def end(
        self,
        service: str,
        version: str,
        took_s: float,
        now: float,
        *,
        is_repeatable: bool,
    ) -> None:
        """Record the end of a send that was begun with the same arguments."""
        work = self._work_by_service[service]
        _add(work.counts_by_version, version, -1)
        _add(work.unrepeatable_by_version, version, -int(not is_repeatable))
        work.ended_at_by_version[version] = now
        work.times_s.append(took_s)

    def find_old(self, service: str, tested: str) -> OwnOldWork:
        """Return the requests at runners of other versions."""
        work = self._work_by_service.get(service, _Work())
        ended_at = float('-inf')
        for version, at in work.ended_at_by_version.items():
            if version != tested:
                ended_at = max(ended_at, at)
        return OwnOldWork(
            _sum_others(work.counts_by_version, tested),
            _sum_others(work.unrepeatable_by_version, tested),
            ended_at,
        )

    def longest_s(self, service: str) -> float:
        """Return the longest time of the recent requests."""
        work = self._work_by_service.get(service)
        return max(work.times_s, default=float(0)) if work else float(0)

    def dump(self, service: str) -> dict[str, object]:
        """Return the requests in flight by version."""
        work = self._work_by_service.get(service, _Work())
        return {
            'requests': dict(work.counts_by_version),
            'unrepeatable': dict(work.unrepeatable_by_version),
        }


def _add(counts: dict[str, int], version: str, number: int) -> None:
    counts[version] = counts.get(version, 0) + number


def _sum_others(counts: dict[str, int], tested: str) -> int:
    total = 0
    for version, count in counts.items():
        if version != tested:
            total += count
    return total
