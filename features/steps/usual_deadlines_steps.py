"""Steps for the estimated age of requests."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from damaskpoint.forwarding.metadata import RequestMetadata
from damaskpoint.forwarding.usual_deadlines import UsualDeadlines

_ROUTE = 'route'
_MS_PER_S = 1000
# Callers' deadlines differ, so the age is only approximate.
_CLOSE_MS = 200


def _create_metadata(left_ms: int) -> RequestMetadata:
    return RequestMetadata('request', left_ms / _MS_PER_S, None)


@given(
    '{usual:d} requests with {least:d} to {most:d} ms left, and {others:d} with less'
)
def record_requests(
    context: Any, usual: int, least: int, most: int, others: int
) -> None:
    """Record requests of one route, spread evenly between the bounds."""
    context.deadlines = UsualDeadlines()
    for number in range(usual):
        left_ms = least + (most - least) * number // max(1, usual - 1)
        context.deadlines.record(_ROUTE, _create_metadata(left_ms))
    for number in range(others):
        context.deadlines.record(_ROUTE, _create_metadata(1000 + number))


@when('a request with {left:d} ms left arrives')
def arrive(context: Any, left: int) -> None:
    """Record the request and estimate its age."""
    metadata = _create_metadata(left)
    context.deadlines.record(_ROUTE, metadata)
    context.age_ms = round(
        context.deadlines.estimate_age_s(_ROUTE, metadata) * _MS_PER_S
    )


@then('its estimated age is {age:g} s')
def check_age(context: Any, age: float) -> None:
    """Compare the estimate."""
    error_ms = abs(context.age_ms - round(age * _MS_PER_S))
    assert error_ms <= _CLOSE_MS, context.age_ms
