"""Steps on how old requests are."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from damaskpoint.forwarding.terms import RequestTerms
from damaskpoint.forwarding.usual_deadlines import UsualDeadlines

_ROUTE = 'route'
_MS = 1000


def _create_terms(left_ms: int) -> RequestTerms:
    return RequestTerms('request', left_ms / _MS, None)


@given(
    '{usual:d} requests with {left:d} ms left, and {others:d} with other times'
)
def note_requests(context: Any, usual: int, left: int, others: int) -> None:
    """Note the requests of one route."""
    context.deadlines = UsualDeadlines()
    for _ in range(usual):
        context.deadlines.note(_ROUTE, _create_terms(left))
    for number in range(others):
        context.deadlines.note(_ROUTE, _create_terms(1000 + number))


@when('a request with {left:d} ms left comes')
def come(context: Any, left: int) -> None:
    """Ask for its age."""
    terms = _create_terms(left)
    context.deadlines.note(_ROUTE, terms)
    context.age_ms = round(context.deadlines.find_age_s(_ROUTE, terms) * _MS)


@then('its caller first asked {age:g} s ago')
def check_age(context: Any, age: float) -> None:
    """Compare the age."""
    assert context.age_ms == round(age * _MS), context.age_ms
