"""Chooses the runner that a request is sent to next."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.balancing.runner_choice import (
    Candidates,
    order_by_load,
    order_by_prompt,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.metadata import RequestMetadata


@final
class RunnerChooser:
    """Chooses among the runners of one service for one request."""

    def __init__(
        self,
        parts: ForwardingContext,
        service: str,
        metadata: RequestMetadata,
        zone: str | None,
    ) -> None:
        """Prefer runners of a zone, if one is given."""
        self._parts = parts
        self._service = service
        self._terms = metadata
        self._zone = zone

    def choose(self, excluded: Container[str], now: float) -> Runner | None:
        """Return a runner that may be sent to now, or None.

        A cold runner that is returned counts as sent to.
        """
        for runner in self._order(excluded, now):
            if self._may_send(runner, now):
                return runner
        return None

    def has_other(self, excluded: Container[str], now: float) -> bool:
        """Return whether there is a sound runner besides these."""
        for runner in self._parts.catalog.runners.usable(self._service):
            if runner.name in excluded:
                continue
            if not self._parts.health.is_avoided(runner.name, now):
                return True
        return False

    def _may_send(self, runner: Runner, now: float) -> bool:
        parts = self._parts
        if not parts.catalog.runners.is_cold(runner.name, now):
            return True
        service = parts.catalog.find_service(self._service)
        if service is None or not service.cold_per_s:
            return True
        names = parts.peers.batching_names(now) | {parts.options.own_name}
        if not parts.cold.may_send(runner.name, service.cold_per_s, names, now):
            return False
        parts.cold.note_sent(runner.name, now)
        return True

    def _order(self, excluded: Container[str], now: float) -> list[Runner]:
        parts = self._parts
        usable = [
            runner
            for runner in parts.catalog.runners.usable(self._service)
            if runner.name not in excluded
        ]
        candidates = Candidates(
            usable,
            {runner.name: parts.loads.find(runner.name) for runner in usable},
            frozenset(
                runner.name
                for runner in usable
                if parts.health.is_avoided(runner.name, now)
            ),
        )
        key = self._terms.affinity_key
        if self._terms.prompt:
            return order_by_prompt(candidates, self._zone, key)
        return order_by_load(candidates, parts.options.zone, key)
