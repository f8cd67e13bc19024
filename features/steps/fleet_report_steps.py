"""Steps for the reports that an instance has of its peers."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support.reporting_fleet import GROUP, PACE, ReportingFleet

_SEED = 28


@given('{count:d} peers that pledge {pieces:d} pieces each to the same group')
def keep_count(context: Any, count: int, pieces: int) -> None:
    """Keep the size of the fleet."""
    context.count = count
    context.pieces = pieces


@when('gossip runs for {seconds:g} s, of which {percent:g} percent is lost')
def run_gossip(context: Any, seconds: float, percent: float) -> None:
    """Record after each round what the instance knows."""
    fleet = ReportingFleet(context.count, _SEED, percent / 100)
    fleet.pledge(context.pieces)
    context.fleet = fleet
    context.known = [
        (
            now,
            fleet.observed.count_ahead(GROUP, is_deferred=False),
            fleet.paces.find(GROUP),
        )
        for now in fleet.run(seconds)
    ]


@then(
    'from {known_s:g} s on the instance counts at least {percent:g} percent of'
    ' the pieces'
)
def check_counted(context: Any, known_s: float, percent: float) -> None:
    """Show the rounds in which too little is counted."""
    least = context.count * context.pieces * percent / 100
    wrong = [
        (now, counted)
        for now, counted, _ in context.known
        if now > known_s and counted < least
    ]
    assert not wrong, (len(wrong), wrong[:3], least)


@when('the peers withdraw their pledges')
def withdraw(context: Any) -> None:
    """Withdraw the pieces of each peer."""
    context.fleet.pledge(-context.pieces)


@then(
    'after {gone_s:g} s the instance counts no more than {percent:g} percent of'
    ' the pieces'
)
def check_gone(context: Any, gone_s: float, percent: float) -> None:
    """Run on, and count what is left."""
    context.rounds = tuple(context.fleet.run(gone_s))
    counted = context.fleet.observed.count_ahead(GROUP, is_deferred=False)
    assert counted <= context.count * context.pieces * percent / 100, counted


@then('from {known_s:g} s on the instance knows the pace of the group')
def check_pace(context: Any, known_s: float) -> None:
    """Show the rounds in which the pace is not known."""
    wrong = [
        (now, pace)
        for now, _, pace in context.known
        if now > known_s and pace != PACE
    ]
    assert not wrong, (len(wrong), wrong[:3])
