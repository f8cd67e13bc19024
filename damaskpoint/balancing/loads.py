"""Requests in flight at runners: of this instance and of its peers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class RunnerLoads:
    """Counts the requests in flight by runner."""

    def __init__(self) -> None:
        """Start with no requests in flight."""
        self._own_by_runner: collections.Counter[str] = collections.Counter()
        self._peer_counts_by_runner: Mapping[str, int] = {}

    def begin(self, runner: str) -> None:
        """Count a request that is sent."""
        self._own_by_runner[runner] += 1

    def end(self, runner: str) -> None:
        """Count the end of a request."""
        self._own_by_runner[runner] -= 1
        if not self._own_by_runner[runner]:
            self._own_by_runner.pop(runner)

    def set_peer_counts(self, counts_by_runner: Mapping[str, int]) -> None:
        """Replace the counts of all peers together."""
        self._peer_counts_by_runner = counts_by_runner

    def find(self, runner: str) -> int:
        """Return the number of requests in flight at a runner."""
        return self._own_by_runner[runner] + self._peer_counts_by_runner.get(
            runner, 0
        )

    def find_own(self, runner: str) -> int:
        """Return the number of this instance's requests at a runner."""
        return self._own_by_runner[runner]

    def find_peers(self, runner: str) -> int:
        """Return the number of all peers' requests at a runner."""
        return self._peer_counts_by_runner.get(runner, 0)

    @property
    def own_by_runner(self) -> Mapping[str, int]:
        """Return this instance's requests in flight by runner."""
        return dict(self._own_by_runner)
