"""Steps for the decisions on the batching instance of a group."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from damaskpoint.batching import peer_orders
from damaskpoint.batching.assignment import (
    InstanceView,
    Introduction,
    LostInstances,
    compute_direct_delay_s,
    is_introduced,
    list_candidates,
)
from damaskpoint.batching.capacity import RunnerCapacity
from damaskpoint.batching.instance_rates import (
    compute_batch_rate,
    select_largest,
)
from damaskpoint.batching.model import (
    CallHolding,
    OrderAnswer,
    Piece,
    RunnerLoad,
)
from damaskpoint.batching.placement import hand_back
from damaskpoint.errors import Failure
from damaskpoint.membership.facts import Address, Phase
from damaskpoint.platform.stage_calls import decode_load
from features.support.batching_fleet import LIMITS
from features.support.gateway_site import HOST, find_free_port, run

if TYPE_CHECKING:
    from collections.abc import Sequence

_NONE: Final = '-'
_CLOSE_S: Final = 0.15


def _split(text: str) -> frozenset[str]:
    return frozenset() if text == _NONE else frozenset(text.split())


@given(
    'an instance that is {phase}, with the peers {serving} serving, {starting}'
    ' starting and {unheard} unheard'
)
def create_view(
    context: Any, phase: str, serving: str, starting: str, unheard: str
) -> None:
    """Create the view of the instance "own"."""
    context.view = InstanceView(
        'own', Phase[phase], _split(serving), _split(starting), _split(unheard)
    )


@then('its candidates are {names}')
def check_candidates(context: Any, names: str) -> None:
    """Compare the candidates."""
    found = list_candidates(context.view)
    assert found == _split(names), found


@given('instances whose machines batch "{rates}" pieces a second')
def create_rates(context: Any, rates: str) -> None:
    """Keep the rates by name."""
    entries = [entry.partition('=') for entry in rates.split()]
    context.rates_by_name = {name: int(rate) for name, _, rate in entries}


@when('all groups make {load:g} pieces a second')
def select(context: Any, load: float) -> None:
    """Select the instances that batch for this load."""
    rates_by_name = context.rates_by_name
    context.selected = select_largest(
        frozenset(rates_by_name), rates_by_name, load
    )


@then('the instances "{names}" batch')
def check_selected(context: Any, names: str) -> None:
    """Compare the selected instances."""
    assert context.selected == _split(names), context.selected


@then(
    'a link of {link:g} Mbit/s and {cores:g} cores batch {most:g} times what 10'
    ' Mbit/s and 0.5 cores do'
)
def check_rate(context: Any, link: float, cores: float, most: float) -> None:
    """Compare the rates of two machines."""
    found = compute_batch_rate(link, cores) / compute_batch_rate(10, 0.5)
    assert found == most, found


@given(
    'a process that knows {catalog} and has heard of {heard:d} of {listed:d}'
    ' listed for {listed_s} s'
)
def create_introduction(
    context: Any, catalog: str, heard: int, listed: int, listed_s: str
) -> None:
    """Create what the process has learned."""
    listed_for_s = None if listed_s == _NONE else float(listed_s)
    context.introduction = Introduction(
        catalog == 'runners', listed_for_s, listed, heard
    )


@then('its start is {state}')
def check_introduced(context: Any, state: str) -> None:
    """Compare the decision."""
    assert is_introduced(context.introduction) == (state == 'over')


@given(
    'an order to an instance fails at {now:g} and it is last heard of at'
    ' {heard}'
)
def lose(context: Any, now: float, heard: str) -> None:
    """Record a failed order."""
    seen_at = None if heard == _NONE else float(heard)
    context.lost = LostInstances(lambda _: seen_at)
    context.lost.record('a', now)


@then('at {now:g} it is {state}')
def check_state(context: Any, now: float, state: str) -> None:
    """Compare whether it is avoided, or whether the runner is idle."""
    if state in {'busy', 'idle'}:
        assert context.capacity.is_idle(now) == (state == 'idle')
        return
    is_avoided = 'a' in context.lost.select(now)
    assert is_avoided == (state == 'avoided')


@then(
    'the direct calls of {count:d} instances start at {times:d} times at least,'
    ' within {limit_s:g} s'
)
def check_spread(context: Any, count: int, times: int, limit_s: float) -> None:
    """Compare the delays in milliseconds."""
    delays = [
        compute_direct_delay_s(f'i-{number}', 'g') for number in range(count)
    ]
    assert max(delays) < limit_s
    assert len({round(delay_s * 1000) for delay_s in delays}) >= times


@given('a runner with one slot, and {event} at 0')
def apply_event(context: Any, event: str) -> None:
    """Apply what the runner or another instance reports at time 0."""
    capacity = RunnerCapacity(LIMITS)
    context.capacity = capacity
    if event.startswith('a refusal'):
        slowness = 2 if event.endswith('percent') else 1
        capacity.record_full(RunnerLoad(1, 2, 1, slowness), 0)
    if event.endswith('an answer'):
        capacity.record_answer(None, 1, 0.21, 0)
    if event.startswith('an answer with'):
        load = decode_load(event.split()[-1])
        capacity.record_answer(load, 1, 0.21, 0)
    if event.startswith('a held call'):
        capacity.record_holding(CallHolding('r', 'old', 1, 0.5))


@then('the load "{text}" is {load}')
@then('the load "" is {load}')
def check_load(context: Any, load: str, text: str = '') -> None:
    """Compare the decoded header."""
    found = decode_load(text)
    if found is None:
        assert load == 'none'
        return
    fields = (found.running, found.waiting, found.slots, found.slowness)
    assert ' '.join(map(str, fields)) == load, found


class _HandingBack:
    """A pool that hands back all pieces."""

    def __init__(self, runner: str, busy_s: float) -> None:
        self.told: Sequence[CallHolding] = ()
        self._runner = runner
        self._busy_s = busy_s

    async def run_for_peer(
        self,
        group_name: str,
        pieces: Sequence[Piece],
        held: Sequence[CallHolding],
    ) -> OrderAnswer:
        self.told = held
        busy_until = time.monotonic() + self._busy_s
        holding = CallHolding(self._runner, 'server', 1, busy_until)
        return OrderAnswer(hand_back(pieces), (holding,))


@given(
    'an order server whose pool hands back all pieces and holds a call of'
    ' {busy_s:g} s at "{runner}"'
)
def start_server(context: Any, busy_s: float, runner: str) -> None:
    """Listen on a free port."""
    context.pool = _HandingBack(runner, busy_s)
    server = peer_orders.create_order_server(context.pool, lambda _: True)
    context.port = find_free_port()
    server.listen(context.port, HOST)
    context.closers.append(server.stop)


@when(
    'a peer orders {count:d} pieces and holds a call of {busy_s:g} s at "{runner}"'
)
def order(context: Any, count: int, busy_s: float, runner: str) -> None:
    """Order with the product's client."""
    now = time.monotonic()
    ends_at = now + 3
    pieces = [
        Piece(
            'r',
            0,
            index,
            '',
            (),
            'z',
            0,
            0,
            ends_at,
            ends_at,
            0,
            1,
            False,
            False,
        )
        for index in range(count)
    ]
    held = (CallHolding(runner, 'peer', 1, now + busy_s),)
    context.answer = run(
        context,
        peer_orders.PieceOrderClient(HOST).order(
            Address(HOST, context.port), 'stage#0', pieces, held
        ),
    )


@then(
    'both pieces are handed back, with the call at "{runner}" of {busy_s:g} s'
)
def check_answer(context: Any, runner: str, busy_s: float) -> None:
    """Compare the outcomes and the call in the answer."""
    assert not isinstance(context.answer, Failure), context.answer
    assert context.answer.outcomes == hand_back((None, None))  # type: ignore[arg-type]
    _check_held(context.answer.held, runner, 'server', busy_s)


@then('the pool was told of the call at "{runner}" of {busy_s:g} s')
def check_told(context: Any, runner: str, busy_s: float) -> None:
    """Compare the call in the order."""
    _check_held(context.pool.told, runner, 'peer', busy_s)


def _check_held(
    held: Sequence[CallHolding], runner: str, instance: str, busy_s: float
) -> None:
    assert len(held) == 1, held
    holding = held[0]
    found = (holding.runner, holding.instance, holding.calls)
    assert found == (runner, instance, 1), found
    left_s = holding.busy_until - time.monotonic()
    assert busy_s - _CLOSE_S < left_s <= busy_s, left_s
