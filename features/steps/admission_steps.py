"""Steps on admission: fairness, limits, deadlines and shares."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.admission.backoff import CapacityBackoff
from damaskpoint.admission.base import AdmissionPass, AdmissionRequest
from damaskpoint.admission.controller import create_admission
from damaskpoint.admission.shares import PartKeeper, compute_part
from damaskpoint.errors import Code, Failure
from damaskpoint.routing.base import CallEnd
from damaskpoint.settings import AdmissionOptions
from features.steps import admission_bench as bench

_HYPOTHESIS = settings(max_examples=100, database=None, deadline=None)


@given('an entry that bears {rate:d} requests a second of {service:f} s each')
def create_entry(context: Any, rate: int, service: float) -> None:
    """Remember the entry; accounts are made with the load."""
    context.rate = rate
    context.service_s = service
    context.weights = {}
    context.queue_limit = 256


@given(
    'account "{one}" has weight {low:d} and account "{three}" has weight {high:d}'
)
def set_weights(
    context: Any, one: str, low: int, three: str, high: int
) -> None:
    """Remember the weights."""
    context.weights = {one: low, three: high}


@given('a queue limit of {limit:d}')
def set_queue_limit(context: Any, limit: int) -> None:
    """Remember the limit."""
    context.queue_limit = limit


@given('its service time has been measured')
def measure_service(context: Any) -> None:
    """Serve a few requests one by one."""
    entry = _build(context, ['any'])
    for _ in range(20):
        entry.offer('any', 1000)
        entry.run(entry.now + 1.35 * context.service_s)
    entry.seen['any'] = bench.Seen()


@given('requests with deadlines of {low:d} to {high:d} s wait')
def fill_queue(context: Any, low: int, high: int) -> None:
    """Fill the slots, and let three requests wait for each deadline."""
    entry = context.entry
    slots = int(context.rate * context.service_s)
    for _ in range(slots):
        entry.offer('any', 1000)
    for number in range(3 * (high - low + 1)):
        entry.offer('any', low + number / 3)
    assert len(entry.core.queue) >= 3


@when(
    'account "{large}" offers {many:d} and "{small}" offers {few:d} a second for {seconds:d} s'
)
def offer_two(
    context: Any, large: str, many: int, small: str, few: int, seconds: int
) -> None:
    """Offer Poisson arrivals of both accounts, all to be done in 3 s."""
    entry = _build(context, [large, small])
    entry.offer_steadily(large, many, seconds, 3.0)
    entry.offer_steadily(small, few, seconds, 3.0)
    entry.run(entry.now + seconds + 5)
    context.seconds = seconds


@when('both offer {rate:d} requests a second for {seconds:d} s')
def offer_both(context: Any, rate: int, seconds: int) -> None:
    """Offer the same to both accounts."""
    entry = _build(context, list(context.weights))
    for name in context.weights:
        entry.offer_steadily(name, rate, seconds, 3.0)
    entry.run(entry.now + seconds + 5)


@when('a request comes with a deadline of {deadline:f} s')
def offer_one(context: Any, deadline: float) -> None:
    """Offer a single request."""
    context.entry.offer('any', deadline)


@when('the requests that run never end')
def hang(context: Any) -> None:
    """Run on with all ends of service taken away."""
    entry = context.entry
    entry.stop_service()
    entry.run(entry.now + 10)


@when('account "{name}" offers {count:d} requests at once')
def offer_burst(context: Any, name: str, count: int) -> None:
    """Offer requests in the same instant."""
    _build(context, ['large', 'small'])
    for _ in range(count):
        context.entry.offer(name, 30.0)


@when('account "{name}" offers 1 request')
def offer_single(context: Any, name: str) -> None:
    """Offer one request more."""
    context.entry.offer(name, 30.0)


@given(
    'an entry alone with an account of {rate:d} requests a second and a burst of {burst:d}'
)
def create_limited(context: Any, rate: int, burst: int) -> None:
    """Make an entry with a tight rate."""
    account = bench.create_account('any', rate_per_s=rate, burst=burst)
    context.entry = bench.Bench([account], slots=1000, service_s=0.1)


@when('the account offers {count:d} requests at once')
def offer_account(context: Any, count: int) -> None:
    """Offer requests in the same instant."""
    for _ in range(count):
        context.entry.offer('any', 3.0)


@then('every request of "{name}" is served in time')
def check_all_served(context: Any, name: str) -> None:
    """Compare served with offered."""
    seen = context.entry.seen[name]
    assert seen.offered > 20
    assert seen.served_in_time == seen.offered, seen.refusals


@then('99 in 100 requests of "{name}" wait at most {bound:f} s')
def check_wait(context: Any, name: str, bound: float) -> None:
    """Look at the waits' percentile."""
    waits = sorted(context.entry.seen[name].waits_s)
    assert waits[int(len(waits) * 0.99)] <= bound, waits[-5:]


@then(
    'requests served in time are at least {part:d} in 100 of what the entry bears'
)
def check_throughput(context: Any, part: int) -> None:
    """Compare what was served with the capacity over the time."""
    served = sum(seen.served_in_time for seen in context.entry.seen.values())
    assert served >= context.rate * context.seconds * part / 100, served


@then('late answers are at most {part:d} in 100 of the offered requests')
def check_late(context: Any, part: int) -> None:
    """Count the work that was done in vain."""
    late = sum(seen.served_late for seen in context.entry.seen.values())
    offered = sum(seen.offered for seen in context.entry.seen.values())
    assert late <= offered * part / 100, late


@then(
    '"{three}" is served {times:d} times as often as "{one}", within {part:d} in 100'
)
def check_weights(
    context: Any, three: str, times: int, one: str, part: int
) -> None:
    """Compare what both accounts got."""
    high = context.entry.seen[three].served_in_time
    low = context.entry.seen[one].served_in_time
    assert abs(high / low - times) <= times * part / 100, (high, low)


@then('it is refused at once with "{code}" and a time to come back')
def check_refused(context: Any, code: str) -> None:
    """Expect one refusal without any wait."""
    seen = context.entry.seen['any']
    assert seen.refusals == {Code(code): 1}, seen
    assert seen.refusal_delays_s == [0], seen


@then(
    'each waiting request is ended before its last possible start has passed by {slack:f} s'
)
def check_ended(context: Any, slack: float) -> None:
    """Compare each end with deadline and measured service time."""
    entry = context.entry
    assert not len(entry.core.queue)
    estimate = entry.core.times.estimate(bench.TARGET, entry.now - 10)
    assert entry.ends, 'nothing waited'
    for ended_at, deadline in entry.ends:
        assert ended_at <= deadline - estimate.mean_s + slack


@then('none of them is ended later than its deadline')
def check_not_late(context: Any) -> None:
    """Compare each end with its deadline."""
    for ended_at, deadline in context.entry.ends:
        assert ended_at < deadline


@then('the request of "{name}" waits or runs')
def check_waits(context: Any, name: str) -> None:
    """Expect no refusal."""
    assert not context.entry.seen[name].refusals


@then('"{name}" has had a request refused with "{code}"')
def check_refusal(context: Any, name: str, code: str) -> None:
    """Expect that refusal and no other."""
    assert set(context.entry.seen[name].refusals) == {Code(code)}


@then('{admitted:d} are let in and {refused:d} are refused with "{code}"')
def check_burst(context: Any, admitted: int, refused: int, code: str) -> None:
    """Compare with what was seen."""
    seen = context.entry.seen['any']
    assert len(seen.waits_s) == admitted
    assert seen.refusals == {Code(code): refused}


@then('a request that comes back after the time told is let in')
def check_comes_back(context: Any) -> None:
    """Wait as told and try again."""
    entry = context.entry
    entry.run(entry.now + entry.last_retry_after_s)
    before = len(entry.seen['any'].waits_s)
    entry.offer('any', 3.0)
    assert len(entry.seen['any'].waits_s) == before + 1


@then('a request with a deadline of {deadline:f} s is let in {later:d} s later')
def check_tried_again(context: Any, deadline: float, later: int) -> None:
    """Expect the estimate to lose its weight."""
    entry = context.entry
    entry.run(entry.now + later)
    before = len(entry.seen['any'].waits_s)
    entry.offer('any', deadline)
    assert len(entry.seen['any'].waits_s) == before + 1


@then('for any demand the parts of all entries add up to the limit')
def check_parts(context: Any) -> None:
    """Draw limits and demands; every entry knows the same."""

    @seed(3)
    @_HYPOTHESIS
    @for_all(
        st.lists(st.floats(0, 1e6), min_size=1, max_size=40),
        st.integers(0, 5000),
        st.text(max_size=5),
    )
    def check(demands: list[float], limit: int, account: str) -> None:
        names = [f'entry-{index:02d}' for index in range(len(demands))]
        by_name = dict(zip(names, demands, strict=True))
        count = 0
        rate: float = 0
        for name in names:
            peers = {peer: by_name[peer] for peer in names if peer != name}
            part = compute_part(name, by_name[name], names, peers, account)
            assert part.share > 0
            assert part.of_count(limit) > 0 or limit < len(names)
            count += part.of_count(limit)
            rate += part.of_rate(limit)
        assert count == limit
        assert abs(rate - limit) <= 1e-6 * max(1, limit)

    check()


@given("{count:d} entries that hear of each other's demand {delay:f} s late")
def create_entries(context: Any, count: int, delay: float) -> None:
    """Name the entries."""
    context.names = [f'entry-{index}' for index in range(count)]
    context.delay_s = delay


@when('the whole demand of an account moves from one entry to another')
def move_demand(context: Any) -> None:
    """Compute every entry's part each 0.05 s, as the demand moves."""
    keepers = {name: PartKeeper() for name in context.names}
    history: list[dict[str, float]] = []
    context.sums = []
    lag = round(context.delay_s / 0.05)
    for step in range(300):
        first, second = context.names[:2]
        # Meters smooth the demand, as the limits' meters do.
        moved = 0 if step < 100 else 1 - 0.975 ** (step - 100)
        history.append(
            dict.fromkeys(context.names, float(0))
            | {first: 50 * (1 - moved), second: 50 * moved}
        )
        context.parts = {}
        for name in context.names:
            told = history[max(0, step - lag)]
            peers = {peer: told[peer] for peer in context.names if peer != name}
            part = compute_part(
                name, history[step][name], context.names, peers, 'a'
            )
            kept = keepers[name].keep(part, step * 0.05)
            context.parts[name] = kept.share
        context.sums.append(sum(context.parts.values()))
        if step == 260:
            context.parts_after_8_s = dict(context.parts)


@then('the parts together stay within {part:d} in 100 of the limit')
def check_sums(context: Any, part: int) -> None:
    """Look at the largest sum."""
    assert max(context.sums) <= part / 100, max(context.sums)


@then('within 8 s the entry with the demand has at least {part:d} in 100 of it')
def check_moved(context: Any, part: int) -> None:
    """Look at the new entry's part."""
    share = context.parts_after_8_s[context.names[1]]
    assert share >= part / 100, context.parts_after_8_s


@then('for any history of requests each gets one outcome and limits hold')
def check_histories(context: Any) -> None:
    """Draw arrivals with limits that bind."""

    @seed(5)
    @_HYPOTHESIS
    @for_all(
        st.lists(
            st.tuples(
                st.sampled_from(['a', 'b', 'c']),
                st.floats(0, 0.5),
                st.floats(0.05, 3),
            ),
            max_size=60,
        ),
        st.integers(1, 6),
        st.integers(0, 8),
    )
    def check(
        arrivals: list[tuple[str, float, float]], slots: int, limit: int
    ) -> None:
        accounts = [
            bench.create_account(name, max_in_flight=2, burst=8, rate_per_s=5)
            for name in 'abc'
        ]
        entry = bench.Bench(
            accounts, slots=slots, service_s=0.4, queue_limit=limit
        )
        for name, gap_s, deadline_s in arrivals:
            entry.run(entry.now + gap_s)
            entry.offer(name, deadline_s)
            for limits in entry.core.accounts.list_known():
                assert 0 <= limits.in_flight <= 2
            assert len(entry.core.queue) <= limit
        entry.run(entry.now + 60)
        left = (
            len(entry.requests),
            len(entry.core.queue),
            entry.core.running_count,
            *[known.in_flight for known in entry.core.accounts.list_known()],
        )
        assert not any(left), left
        ended = 0
        for seen in entry.seen.values():
            ended += seen.served_in_time + seen.served_late
            ended += sum(seen.refusals.values())
        assert ended == len(arrivals)

    check()


@then('a request of "{name}" for an idle service is let in at once')
def check_idle_service(context: Any, name: str) -> None:
    """Offer a request for the other pool while the first has a queue."""
    entry = context.entry
    assert len(entry.core.queue) > 10
    before = len(entry.seen[name].waits_s)
    entry.offer(name, 1.0, bench.SERVICE)
    assert entry.seen[name].waits_s[before:] == [0]


@given('a pool of which all capacity is counted on')
def create_backoff(context: Any) -> None:
    """Start a backoff."""
    context.backoff = CapacityBackoff()
    context.now = 0
    assert context.backoff.find_factor(bench.POOL) == 1


@when(
    '{bad:d} in {every:d} of {calls:d} calls in {seconds:d} s are refused for overload'
)
def end_calls(
    context: Any, bad: int, every: int, calls: int, seconds: int
) -> None:
    """End calls at equal distances."""
    for number in range(calls):
        context.now += seconds / calls
        is_bad = number % every < bad
        end = CallEnd.OVERLOADED if is_bad else CallEnd.SUCCEEDED
        context.backoff.note_end(bench.POOL, end, context.now)


@then('at most {part:d} in 100 of the capacity is counted on')
def check_lowered(context: Any, part: int) -> None:
    """Ask the backoff."""
    assert context.backoff.find_factor(bench.POOL) <= part / 100


@then('at least {part:d} in 100 of the capacity is counted on')
def check_grown(context: Any, part: int) -> None:
    """Ask the backoff."""
    assert context.backoff.find_factor(bench.POOL) >= part / 100


@given('an admission in the loop with room for 1 request')
def create_in_loop(context: Any) -> None:
    """Make the asynchronous side."""
    account = bench.create_account('any', max_in_flight=1)
    context.admission = create_admission(AdmissionOptions(), time.monotonic)
    context.admission.apply_configuration(bench.create_configuration([account]))


@when('3 requests ask to be let in')
def ask_three(context: Any) -> None:
    """Ask and let the loop turn."""

    async def ask() -> AdmissionPass | Failure:
        now = time.monotonic()
        request = AdmissionRequest('r', 'any', bench.TARGET, now, now + 60)
        result: AdmissionPass | Failure = await context.admission.admit(request)
        return result

    context.tasks = [context.loop.create_task(ask()) for _ in range(3)]
    context.loop.run_until_complete(asyncio.sleep(0.01))
    assert [task.done() for task in context.tasks] == [True, False, False]


@when('the second caller leaves')
def leave(context: Any) -> None:
    """Cancel the second task."""
    context.tasks[1].cancel()
    context.loop.run_until_complete(asyncio.sleep(0.01))


@when('the first request ends')
def end_first(context: Any) -> None:
    """Give the first pass back."""
    context.admission.release(context.tasks[0].result(), is_complete=True)


@then('the third request is let in')
def check_third(context: Any) -> None:
    """Wait for the third pass."""
    waiting = asyncio.wait_for(context.tasks[2], 5)
    admitted = context.loop.run_until_complete(waiting)
    assert isinstance(admitted, AdmissionPass), admitted
    context.last_pass = admitted


@then('nothing runs or waits once it has ended')
def check_empty(context: Any) -> None:
    """End the third request and look at the dump."""
    context.admission.release(context.last_pass, is_complete=True)
    dumped = context.admission.dump_state(time.monotonic())
    assert dumped['running'] == 0, dumped
    assert dumped['waiting'] == 0, dumped


def _build(context: Any, names: list[str]) -> bench.Bench:
    accounts = [
        bench.create_account(name, weight=context.weights.get(name, 1))
        for name in names
    ]
    # The gate lets a quarter more run than the pool bears.
    slots = context.rate * context.service_s / 1.25
    entry = bench.Bench(
        accounts,
        slots=slots,
        service_s=context.service_s,
        queue_limit=context.queue_limit,
    )
    context.entry = entry
    return entry
