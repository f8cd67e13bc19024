"""Steps on how old requests are."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from damaskpoint.forwarding.metadata import RequestMetadata
from damaskpoint.forwarding.usual_deadlines import UsualDeadlines

_ROUTE = 'route'
_MS = 1000
# The age is known up to the difference between callers' deadlines.
_CLOSE_MS = 200


def _create_terms(left_ms: int) -> RequestMetadata:
    return RequestMetadata('request', left_ms / _MS, None)


@given(
    '{usual:d} requests with {least:d} to {most:d} ms left, and {others:d} with less'
)
def note_requests(
    context: Any, usual: int, least: int, most: int, others: int
) -> None:
    """Note the requests of one route, evenly between the bounds."""
    context.deadlines = UsualDeadlines()
    for number in range(usual):
        left_ms = least + (most - least) * number // max(1, usual - 1)
        context.deadlines.record(_ROUTE, _create_terms(left_ms))
    for number in range(others):
        context.deadlines.record(_ROUTE, _create_terms(1000 + number))


@when('a request with {left:d} ms left comes')
def come(context: Any, left: int) -> None:
    """Ask for its age."""
    terms = _create_terms(left)
    context.deadlines.record(_ROUTE, terms)
    context.age_ms = round(
        context.deadlines.estimate_age_s(_ROUTE, terms) * _MS
    )


@then('its caller first asked {age:g} s ago')
def check_age(context: Any, age: float) -> None:
    """Compare the age."""
    off_ms = abs(context.age_ms - round(age * _MS))
    assert off_ms <= _CLOSE_MS, context.age_ms
