"""Chooses the runner for the next send of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.balancing.capacity_choice import (
    PromptPlace,
    order_by_cost,
    order_by_place,
)
from damaskpoint.balancing.runner_choice import (
    Candidates,
    order_by_load,
    order_by_prompt,
)
from damaskpoint.forwarding import metrics

if TYPE_CHECKING:
    from collections.abc import Container

    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.metadata import RequestMetadata


@final
class RunnerChooser:
    """Chooses among the runners of a service for one request."""

    def __init__(
        self,
        context: ForwardingContext,
        service: str,
        metadata: RequestMetadata,
        zone: str | None,
        route: str = '',
        input_bytes: int = 0,
    ) -> None:
        """Prefer runners of ``zone``, if it is given.

        ``input_bytes`` is the size of the request's stage results there.
        """
        self._route = route
        self._context = context
        self._service = service
        self._metadata = metadata
        self._zone = zone
        self._input_bytes = input_bytes

    def choose(self, excluded: Container[str], now: float) -> Runner | None:
        """Return a runner that can take the request now, or None.

        A send to a returned cold runner counts against its rate limit.
        """
        for runner in self._order(excluded, now, is_retry=bool(excluded)):
            if self._may_send(runner, now):
                self._count(runner)
                return runner
        if excluded:
            return None
        # The runners of a canary may be cold; the others are as good.
        for other in self._order(excluded, now, is_retry=True):
            if self._may_send(other, now):
                return other
        return None

    def has_other(self, excluded: Container[str], now: float) -> bool:
        """Return whether there is a healthy runner besides ``excluded``."""
        for runner in self._context.catalog.runners.usable(self._service):
            if runner.name in excluded:
                continue
            if not self._context.health.is_avoided(runner.name, now):
                return True
        return False

    def _count(self, runner: Runner) -> None:
        if self._metadata.prompt:
            zone = 'home' if runner.zone == self._zone else 'other'
            metrics.PROMPT_CHOICES.inc({'service': self._service, 'zone': zone})

    def _may_send(self, runner: Runner, now: float) -> bool:
        context = self._context
        if not context.catalog.runners.is_cold(runner.name, now):
            return True
        service = context.catalog.find_service(self._service)
        if service is None or not service.cold_per_s:
            return True
        names = context.peers.batching_names(now) | {context.options.own_name}
        if not context.cold.may_send(
            runner.name, service.cold_per_s, names, now
        ):
            return False
        context.cold.record_sent(runner.name, now)
        return True

    def _order(
        self, excluded: Container[str], now: float, *, is_retry: bool
    ) -> list[Runner]:
        context = self._context
        key = self._metadata.affinity_key
        available = [
            runner
            for runner in context.catalog.runners.usable(self._service)
            if runner.name not in excluded
            and not context.health.is_paused(runner.name, now)
        ]
        usable = context.versions.select(
            self._service, self._route, available, now, is_retry=is_retry
        )
        avoided = frozenset(
            runner.name
            for runner in usable
            if context.health.is_avoided(runner.name, now)
        )
        if context.capacities.is_informed(self._service, now):
            costed = context.capacities.cost_runners(usable, avoided, now)
            if self._metadata.prompt:
                return order_by_place(costed, self._find_place())
            return order_by_cost(costed, context.options.zone, key)
        candidates = Candidates(
            usable,
            {runner.name: context.loads.find(runner.name) for runner in usable},
            avoided,
        )
        if self._metadata.prompt:
            return order_by_prompt(candidates, self._zone, key)
        return order_by_load(candidates, context.options.zone, key)

    def _find_place(self) -> PromptPlace:
        prompt = self._metadata.prompt
        return PromptPlace(
            zone=self._zone,
            key=self._metadata.affinity_key,
            shared_tokens=sum(part.tokens for part in prompt[:-1]),
            request_id=self._metadata.request_id,
            input_bytes=self._input_bytes,
        )
