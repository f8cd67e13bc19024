"""Steps for admission control: fairness, limits, deadlines and shares."""

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
from damaskpoint.admission.shares import ShareStabilizer, compute_share
from damaskpoint.errors import Code, Failure
from damaskpoint.routing.base import CallEnd
from damaskpoint.settings import AdmissionOptions
from features.steps import admission_bench as bench

_HYPOTHESIS = settings(max_examples=100, database=None, deadline=None)


@given(
    'an entry with capacity for {rate:d} requests per second of {service:f} s each'
)
def create_entry(context: Any, rate: int, service: float) -> None:
    """Store the parameters; the entry is created with its accounts."""
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
    """Store the weights for the accounts."""
    context.weights = {one: low, three: high}


@given('a queue limit of {limit:d}')
def set_queue_limit(context: Any, limit: int) -> None:
    """Store the limit of the queue."""
    context.queue_limit = limit


@given('its service time has been measured')
def measure_service(context: Any) -> None:
    """Serve a few requests one by one."""
    entry = _build(context, ['any'])
    for _ in range(20):
        entry.offer('any', 1000)
        entry.run(entry.now + 1.35 * context.service_s)
    entry.stats_by_account['any'] = bench.AccountStats()


@given('requests with deadlines of {low:d} to {high:d} s wait')
def fill_queue(context: Any, low: int, high: int) -> None:
    """Fill the slots, then queue three requests per second of deadlines."""
    entry = context.entry
    slots = int(context.rate * context.service_s)
    for _ in range(slots):
        entry.offer('any', 1000)
    for number in range(3 * (high - low + 1)):
        entry.offer('any', low + number / 3)
    assert len(entry.core.queue) >= 3


@when(
    'account "{large}" offers {many:d} and "{small}" offers {few:d} per second for {seconds:d} s'
)
def offer_two(
    context: Any, large: str, many: int, small: str, few: int, seconds: int
) -> None:
    """Offer Poisson arrivals of both accounts with deadlines of 3 s."""
    entry = _build(context, [large, small])
    entry.offer_steadily(large, many, seconds, 3.0)
    entry.offer_steadily(small, few, seconds, 3.0)
    entry.run(entry.now + seconds + 5)
    context.seconds = seconds


@when('both offer {rate:d} requests per second for {seconds:d} s')
def offer_both(context: Any, rate: int, seconds: int) -> None:
    """Offer Poisson arrivals at the same rate for both accounts."""
    entry = _build(context, list(context.weights))
    for name in context.weights:
        entry.offer_steadily(name, rate, seconds, 3.0)
    entry.run(entry.now + seconds + 5)


@when('a request comes with a deadline of {deadline:f} s')
def offer_one(context: Any, deadline: float) -> None:
    """Offer a single request."""
    context.entry.offer('any', deadline)


@when('the running requests never end')
def stop_service(context: Any) -> None:
    """Run for 10 s without any request finishing."""
    entry = context.entry
    entry.stop_service()
    entry.run(entry.now + 10)


@when('account "{name}" offers {count:d} requests at once')
def offer_burst(context: Any, name: str, count: int) -> None:
    """Offer requests at the same time."""
    _build(context, ['large', 'small'])
    for _ in range(count):
        context.entry.offer(name, 30.0)


@when('account "{name}" offers 1 request')
def offer_single(context: Any, name: str) -> None:
    """Offer one more request."""
    context.entry.offer(name, 30.0)


@given(
    'a single entry with an account of {rate:d} requests per second and a burst of {burst:d}'
)
def create_limited(context: Any, rate: int, burst: int) -> None:
    """Create an entry whose account has a low rate limit."""
    account = bench.create_account('any', rate_per_s=rate, burst=burst)
    context.entry = bench.Bench([account], slots=1000, service_s=0.1)


@when('the account offers {count:d} requests at once')
def offer_account(context: Any, count: int) -> None:
    """Offer requests at the same time."""
    for _ in range(count):
        context.entry.offer('any', 3.0)


@then('every request of "{name}" is served in time')
def check_all_served(context: Any, name: str) -> None:
    """Expect each offered request to be served before its deadline."""
    stats = context.entry.stats_by_account[name]
    assert stats.offered > 20
    assert stats.served_in_time == stats.offered, stats.refusals


@then('99 percent of the requests of "{name}" wait at most {bound:f} s')
def check_wait(context: Any, name: str, bound: float) -> None:
    """Check the 99th percentile of the waits."""
    waits = sorted(context.entry.stats_by_account[name].waits_s)
    assert waits[int(len(waits) * 0.99)] <= bound, waits[-5:]


@then(
    'requests served in time are at least {percent:d} percent of the capacity of the entry'
)
def check_throughput(context: Any, percent: int) -> None:
    """Compare the requests served in time with the capacity."""
    served = sum(
        stats.served_in_time
        for stats in context.entry.stats_by_account.values()
    )
    assert served >= context.rate * context.seconds * percent / 100, served


@then('late answers are at most {percent:d} percent of the offered requests')
def check_late(context: Any, percent: int) -> None:
    """Count requests that were served after their deadline."""
    late = sum(
        stats.served_late for stats in context.entry.stats_by_account.values()
    )
    offered = sum(
        stats.offered for stats in context.entry.stats_by_account.values()
    )
    assert late <= offered * percent / 100, late


@then(
    '"{three}" is served {times:d} times as often as "{one}", within {percent:d} percent'
)
def check_weights(
    context: Any, three: str, times: int, one: str, percent: int
) -> None:
    """Compare the requests served for the two accounts."""
    high = context.entry.stats_by_account[three].served_in_time
    low = context.entry.stats_by_account[one].served_in_time
    assert abs(high / low - times) <= times * percent / 100, (high, low)


@then('it is refused at once with "{code}" and a retry delay')
def check_refused(context: Any, code: str) -> None:
    """Expect exactly one refusal, without a wait."""
    stats = context.entry.stats_by_account['any']
    assert stats.refusals == {Code(code): 1}, stats
    assert stats.refusal_delays_s == [0], stats


@then(
    'each waiting request is refused at most {slack:f} s after its latest possible start'
)
def check_refused_in_time(context: Any, slack: float) -> None:
    """Compare each refusal with deadline and measured service time."""
    entry = context.entry
    assert not len(entry.core.queue)
    estimate = entry.core.service_times.estimate(bench.TARGET, entry.now - 10)
    assert entry.refused_waits, 'no waiting request was refused'
    for refused_at, deadline in entry.refused_waits:
        assert refused_at <= deadline - estimate.mean_s + slack


@then('none of them is refused after its deadline')
def check_not_late(context: Any) -> None:
    """Compare each refusal with the deadline of its request."""
    for refused_at, deadline in context.entry.refused_waits:
        assert refused_at < deadline


@then('the request of "{name}" waits or runs')
def check_not_refused(context: Any, name: str) -> None:
    """Expect no refusal."""
    assert not context.entry.stats_by_account[name].refusals


@then('"{name}" has had a request refused with "{code}"')
def check_refusal(context: Any, name: str, code: str) -> None:
    """Expect refusals with this code only."""
    assert set(context.entry.stats_by_account[name].refusals) == {Code(code)}


@then('{admitted:d} are admitted and {refused:d} are refused with "{code}"')
def check_burst_outcomes(
    context: Any, admitted: int, refused: int, code: str
) -> None:
    """Check the numbers of admitted and refused requests."""
    stats = context.entry.stats_by_account['any']
    assert len(stats.waits_s) == admitted
    assert stats.refusals == {Code(code): refused}


@then('a request that comes back after the retry delay is admitted')
def check_retry_admitted(context: Any) -> None:
    """Wait for the retry delay and expect a request to be admitted."""
    entry = context.entry
    entry.run(entry.now + entry.last_retry_after_s)
    before = len(entry.stats_by_account['any'].waits_s)
    entry.offer('any', 3.0)
    assert len(entry.stats_by_account['any'].waits_s) == before + 1


@then(
    'a request with a deadline of {deadline:f} s is admitted {later:d} s later'
)
def check_tried_again(context: Any, deadline: float, later: int) -> None:
    """Expect an admission once the estimate has shrunk."""
    entry = context.entry
    entry.run(entry.now + later)
    before = len(entry.stats_by_account['any'].waits_s)
    entry.offer('any', deadline)
    assert len(entry.stats_by_account['any'].waits_s) == before + 1


@then('for any demand the shares of all entries add up to the limit')
def check_shares(context: Any) -> None:
    """Draw limits and demands; all entries have the same reports."""

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
            share = compute_share(name, by_name[name], names, peers, account)
            assert share.fraction > 0
            assert share.of_count(limit) > 0 or limit < len(names)
            count += share.of_count(limit)
            rate += share.of_rate(limit)
        assert count == limit
        assert abs(rate - limit) <= 1e-6 * max(1, limit)

    check()


@given("{count:d} entries that receive each other's demand {delay:f} s late")
def create_entries(context: Any, count: int, delay: float) -> None:
    """Store the names of the entries and the delay of reports."""
    context.names = [f'entry-{index}' for index in range(count)]
    context.delay_s = delay


@when('the whole demand of an account moves from one entry to another')
def move_demand(context: Any) -> None:
    """Compute the share of every entry each 0.05 s while the demand moves."""
    stabilizers = {name: ShareStabilizer() for name in context.names}
    history: list[dict[str, float]] = []
    context.sums = []
    lag = round(context.delay_s / 0.05)
    for step in range(300):
        first, second = context.names[:2]
        # Demand moves gradually, as ``DemandMeter`` smooths it.
        moved = 0 if step < 100 else 1 - 0.975 ** (step - 100)
        history.append(
            dict.fromkeys(context.names, float(0))
            | {first: 50 * (1 - moved), second: 50 * moved}
        )
        context.shares = {}
        for name in context.names:
            reported = history[max(0, step - lag)]
            peers = {
                peer: reported[peer] for peer in context.names if peer != name
            }
            share = compute_share(
                name, history[step][name], context.names, peers, 'a'
            )
            stabilized = stabilizers[name].stabilize(share, step * 0.05)
            context.shares[name] = stabilized.fraction
        context.sums.append(sum(context.shares.values()))
        if step == 260:
            context.shares_after_8_s = dict(context.shares)


@then('the sum of the shares stays within {percent:d} percent of the limit')
def check_sums(context: Any, percent: int) -> None:
    """Check the largest sum of shares."""
    assert max(context.sums) <= percent / 100, max(context.sums)


@then(
    'within 8 s the entry with the demand has at least {percent:d} percent of it'
)
def check_moved_share(context: Any, percent: int) -> None:
    """Check the share of the entry that has the demand now."""
    share = context.shares_after_8_s[context.names[1]]
    assert share >= percent / 100, context.shares_after_8_s


@then(
    'for any sequence of requests each gets one outcome and no limit is exceeded'
)
def check_histories(context: Any) -> None:
    """Draw arrivals that exceed the limits."""

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
            for limits in entry.core.accounts.list_existing():
                assert 0 <= limits.in_flight <= 2
            assert len(entry.core.queue) <= limit
        entry.run(entry.now + 60)
        left = (
            len(entry.requests),
            len(entry.core.queue),
            entry.core.running_count,
            *[known.in_flight for known in entry.core.accounts.list_existing()],
        )
        assert not any(left), left
        ended = 0
        for stats in entry.stats_by_account.values():
            ended += stats.served_in_time + stats.served_late
            ended += sum(stats.refusals.values())
        assert ended == len(arrivals)

    check()


@then('a request of "{name}" for an idle service is admitted at once')
def check_idle_service(context: Any, name: str) -> None:
    """Offer a request for the other pool while the first has a queue."""
    entry = context.entry
    assert len(entry.core.queue) > 10
    before = len(entry.stats_by_account[name].waits_s)
    entry.offer(name, 1.0, bench.SERVICE)
    assert entry.stats_by_account[name].waits_s[before:] == [0]


@given('a pool with its full capacity available')
def create_backoff(context: Any) -> None:
    """Create a backoff with the full capacity."""
    context.backoff = CapacityBackoff()
    context.now = 0
    assert context.backoff.find_factor(bench.POOL) == 1


@when(
    '{overloaded:d} in {every:d} of {calls:d} calls in {seconds:d} s are refused for overload'
)
def end_calls(
    context: Any, overloaded: int, every: int, calls: int, seconds: int
) -> None:
    """Record ends of calls at equal intervals."""
    for number in range(calls):
        context.now += seconds / calls
        is_overloaded = number % every < overloaded
        end = CallEnd.OVERLOADED if is_overloaded else CallEnd.SUCCEEDED
        context.backoff.record_end(bench.POOL, end, context.now)


@then('at most {percent:d} percent of the capacity is available')
def check_capacity_below(context: Any, percent: int) -> None:
    """Check the factor of the backoff."""
    assert context.backoff.find_factor(bench.POOL) <= percent / 100


@then('at least {percent:d} percent of the capacity is available')
def check_capacity_above(context: Any, percent: int) -> None:
    """Check the factor of the backoff."""
    assert context.backoff.find_factor(bench.POOL) >= percent / 100


@given('an admission controller with a limit of 1 request')
def create_controller(context: Any) -> None:
    """Create the asyncio side of admission."""
    account = bench.create_account('any', max_in_flight=1)
    context.admission = create_admission(AdmissionOptions(), time.monotonic)
    context.admission.apply_configuration(bench.create_configuration([account]))


@when('3 requests arrive')
def start_three(context: Any) -> None:
    """Start three requests; only the first is admitted."""

    async def admit() -> AdmissionPass | Failure:
        now = time.monotonic()
        request = AdmissionRequest('r', 'any', bench.TARGET, now, now + 60)
        result: AdmissionPass | Failure = await context.admission.admit(request)
        return result

    context.tasks = [context.loop.create_task(admit()) for _ in range(3)]
    context.loop.run_until_complete(asyncio.sleep(0.01))
    assert [task.done() for task in context.tasks] == [True, False, False]


@when('the second caller disconnects')
def disconnect(context: Any) -> None:
    """Cancel the task of the second request."""
    context.tasks[1].cancel()
    context.loop.run_until_complete(asyncio.sleep(0.01))


@when('the first request ends')
def end_first(context: Any) -> None:
    """Release the first pass."""
    context.admission.release(context.tasks[0].result(), is_complete=True)


@then('the third request is admitted')
def check_third(context: Any) -> None:
    """Wait until the third request is admitted."""
    waiting = asyncio.wait_for(context.tasks[2], 5)
    admitted = context.loop.run_until_complete(waiting)
    assert isinstance(admitted, AdmissionPass), admitted
    context.last_pass = admitted


@then('no request runs or waits once it has ended')
def check_empty(context: Any) -> None:
    """Release the third pass and check the state dump."""
    context.admission.release(context.last_pass, is_complete=True)
    dumped = context.admission.dump_state(time.monotonic())
    assert dumped['running'] == 0, dumped
    assert dumped['waiting'] == 0, dumped


def _build(context: Any, names: list[str]) -> bench.Bench:
    accounts = [
        bench.create_account(name, weight=context.weights.get(name, 1))
        for name in names
    ]
    # Divided by 1.25, since the pool limiter admits more concurrent requests
    # than the given capacity (``CAPACITY_FACTOR``).
    slots = context.rate * context.service_s / 1.25
    entry = bench.Bench(
        accounts,
        slots=slots,
        service_s=context.service_s,
        queue_limit=context.queue_limit,
    )
    context.entry = entry
    return entry
