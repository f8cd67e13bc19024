"""Requests in flight at runners: the own ones, and those peers tell of."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class RunnerLoads:
    """Counts by runner."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._own_by_runner: collections.Counter[str] = collections.Counter()
        self._peers_by_runner: Mapping[str, int] = {}

    def begin(self, runner: str) -> None:
        """Count a request that was sent."""
        self._own_by_runner[runner] += 1

    def end(self, runner: str) -> None:
        """Count a request as ended."""
        self._own_by_runner[runner] -= 1
        if not self._own_by_runner[runner]:
            self._own_by_runner.pop(runner)

    def set_peer_counts(self, counts_by_runner: Mapping[str, int]) -> None:
        """Take what all peers together have in flight."""
        self._peers_by_runner = counts_by_runner

    def find(self, runner: str) -> int:
        """Return the requests in flight at a runner."""
        return self._own_by_runner[runner] + self._peers_by_runner.get(
            runner, 0
        )

    @property
    def own_by_runner(self) -> Mapping[str, int]:
        """Return the own requests in flight."""
        return dict(self._own_by_runner)
