"""Finds limits that contradict each other.

Figures that the configuration does not hold are given by the operator; rules
that need a missing one are not applied.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config_check.findings import Finding, FindingKind
from damaskpoint.gateway.intake import create_limits
from damaskpoint.platform import configuration_fields as fields

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from damaskpoint.catalog.model import Runner, Service
    from damaskpoint.config_check.document import Document, PlacedRoute

_MS_PER_S: Final = 1000
# An attempt is out of reach if fewer requests than this share get to it while
# the runs that fail are as many as the retry ratio allows to repeat.
_MIN_ATTEMPT_SHARE: Final = 0.01
# The budget of bytes does not depend on the descriptors.
_ANY_FDS: Final = 0


@final
@dataclass(frozen=True, slots=True)
class Figures:
    """Figures that the configuration does not hold; None if not known."""

    memory_mb: int | None = None
    # Retries allowed, as a share of a service's requests.
    retry_ratio: float | None = None
    # Deadlines that callers send (milliseconds).
    deadline_ms_by_route: Mapping[str, float] = field(default_factory=dict)


def find_contradictions(
    document: Document, figures: Figures, runners: Iterable[Runner]
) -> Iterator[Finding]:
    """Yield the limits that contradict each other."""
    for placed in document.routes:
        yield from _check_times(placed)
        yield from _check_attempts(placed, figures.retry_ratio)
        yield from _check_deadline(placed, figures.deadline_ms_by_route)
    yield from _check_deadline_names(document, figures)
    last_place_by_name = {
        service.name: service.place for service in document.services
    }
    for name, place in last_place_by_name.items():
        service = document.configuration.services_by_name[name]
        yield from _check_cold(service, place, runners)
    yield from _check_body(document, figures.memory_mb)


def _check_times(placed: PlacedRoute) -> Iterator[Finding]:
    route = placed.route
    if route.objective_s > route.timeout_s:
        objective = _format_ms(route.objective_s)
        timeout = _format_ms(route.timeout_s)
        yield _limit(
            'objective-over-timeout',
            f'{placed.place}.{fields.OBJECTIVE_MS}',
            f'{objective} is over the timeout, {timeout}',
        )


def _check_attempts(
    placed: PlacedRoute, retry_ratio: float | None
) -> Iterator[Finding]:
    route = placed.route
    if retry_ratio is None or retry_ratio >= 1 or not route.is_repeatable:
        return
    reachable = 1
    if retry_ratio:
        reachable += int(math.log(_MIN_ATTEMPT_SHARE) / math.log(retry_ratio))
    if route.max_attempts > reachable:
        yield _limit(
            'attempts-over-retry-ratio',
            f'{placed.place}.{fields.MAX_ATTEMPTS}',
            f'a retry ratio of {retry_ratio:g} allows about {reachable}',
        )


def _check_deadline(
    placed: PlacedRoute, deadline_ms_by_route: Mapping[str, float]
) -> Iterator[Finding]:
    deadline_ms = deadline_ms_by_route.get(placed.route.name)
    if deadline_ms is None:
        return
    if placed.route.timeout_s * _MS_PER_S > deadline_ms:
        timeout = _format_ms(placed.route.timeout_s)
        yield _limit(
            'timeout-over-deadline',
            f'{placed.place}.{fields.TIMEOUT_MS}',
            f'{timeout} is over the deadline of callers, {deadline_ms:g} ms',
        )


def _check_deadline_names(
    document: Document, figures: Figures
) -> Iterator[Finding]:
    """Yield deadlines of routes that do not exist, probably misspelt."""
    names = {placed.route.name for placed in document.routes}
    for name in figures.deadline_ms_by_route:
        if name not in names:
            yield _limit(
                'deadline-of-unknown-route',
                '--caller-deadline',
                f'no route {name!r}',
            )


def _check_cold(
    service: Service, place: str, runners: Iterable[Runner]
) -> Iterator[Finding]:
    place = f'{place}.{fields.COLD_PER_S}'
    rate = service.cold_per_s
    if service.cold_s and not rate:
        text = 'cold runners are not limited, despite ColdS'
        yield _limit('cold-without-rate', place, text)
    slots_by_owner = {
        runner.name: runner.slots
        for runner in runners
        if runner.service == service.name and runner.slots
    }
    if service.engine is not None:
        slots_by_owner = {'Engine': service.engine.slots}
    # A call of a stage carries several pieces, and its slots are not requests.
    if service.batches is not None:
        return
    for owner, slots in slots_by_owner.items():
        if rate > slots:
            text = f'{rate:g}/s is over the {slots} slots of {owner}'
            yield _limit('cold-rate-over-slots', place, text)


def _check_body(document: Document, memory_mb: int | None) -> Iterator[Finding]:
    if memory_mb is None:
        return
    budget = create_limits(memory_mb, _ANY_FDS).request_bytes
    limits = document.configuration.limits
    if limits.max_header_bytes + limits.max_body_bytes > budget:
        yield _limit(
            'body-over-memory',
            f'{fields.LIMITS}.{fields.MAX_BODY_BYTES}',
            f'one request exceeds the budget for requests, {budget} bytes',
        )


def _format_ms(time_s: float) -> str:
    return f'{time_s * _MS_PER_S:g} ms'


def _limit(code: str, place: str, text: str) -> Finding:
    return Finding(FindingKind.LIMIT, code, place, text)
