"""Weighted fair queueing between client accounts.

Start-time fair queueing: an account's next request carries the virtual time
up to which the account has been served; the lowest goes next. What a request
costs moves its account on by cost over weight. An account that comes back
from idleness starts at the present virtual time: it owes nothing and has
saved nothing.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias, final

from damaskpoint.admission.backlog import Backlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping


@final
@dataclass(frozen=True, slots=True)
class Waiting:
    """A request in the queue."""

    number: int
    account: str
    target: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Expected seconds of service.
    cost: float
    # Parts of the service that each pool gives.
    parts_by_pool: Mapping[str, float]


@final
@dataclass(slots=True)
class _Flow:
    """The waiting requests of one account for one target."""

    account: str
    waiting: dict[int, Waiting] = field(default_factory=dict)
    # The virtual time under which the heap holds this flow.
    tag: float = -1


# Entries: virtual time, priority, running number, flow.
_Heap: TypeAlias = list[tuple[float, int, int, _Flow]]


@final
@dataclass(slots=True)
class _AccountState:
    """How far an account has been served, in virtual time."""

    weight: int = 1
    priority: int = 0
    served_until: float = 0
    waiting: int = 0
    waiting_cost: float = 0
    flows_by_target: dict[str, _Flow] = field(default_factory=dict)


@final
class FairQueue:
    """Requests that wait, by client account and target."""

    def __init__(self) -> None:
        """Start empty."""
        self.backlog = Backlog()
        self._virtual_time: float = 0
        self._states_by_account: dict[str, _AccountState] = {}
        self._heaps_by_target: collections.defaultdict[str, _Heap] = (
            collections.defaultdict(list)
        )
        self._waiting_by_number: dict[int, Waiting] = {}
        self._numbers = itertools.count()

    # Commands.

    def set_account(self, account: str, weight: int, priority: int) -> None:
        """Take over an account's weight; priority only settles ties."""
        state = self._find_state(account)
        state.weight = weight
        state.priority = priority

    def push(self, item: Waiting) -> None:
        """Let a request wait."""
        state = self._find_state(item.account)
        if not state.waiting:
            state.served_until = max(state.served_until, self._virtual_time)
        state.waiting += 1
        state.waiting_cost += item.cost
        self.backlog.add(item, state.weight)
        self._waiting_by_number[item.number] = item
        flow = state.flows_by_target.get(item.target)
        if flow is None:
            flow = _Flow(item.account)
            state.flows_by_target[item.target] = flow
        flow.waiting[item.number] = item
        if len(flow.waiting) == 1:
            self._schedule(state, item.target, flow)

    def pop(
        self, targets: Iterable[str], may_start: Callable[[str], bool]
    ) -> Waiting | None:
        """Take out the next request for any of the targets.

        Accounts that may not start now are passed over and keep their turn.
        """
        best: _Flow | None = None
        for target in targets:
            flow = _find_first(self._heaps_by_target[target], may_start)
            if flow is None:
                continue
            if best is None or flow.tag < best.tag:
                best = flow
        if best is None:
            return None
        self._virtual_time = max(self._virtual_time, best.tag)
        item = best.waiting[next(iter(best.waiting))]
        self.remove(item.number)
        self.charge(item.account, item.cost)
        return item

    def start_at_once(self, account: str, cost: float) -> None:
        """Count a request that starts without waiting."""
        state = self._find_state(account)
        state.served_until = max(state.served_until, self._virtual_time)
        self._virtual_time = state.served_until
        self.charge(account, cost)

    def charge(self, account: str, cost: float) -> None:
        """Count service of an account, or give back with a negative cost."""
        state = self._find_state(account)
        state.served_until += cost / state.weight
        for target, flow in state.flows_by_target.items():
            if flow.waiting:
                self._schedule(state, target, flow)

    def remove(self, number: int) -> Waiting | None:
        """Take out a request; None if it does not wait."""
        item = self._waiting_by_number.pop(number, None)
        if item is None:
            return None
        state = self._find_state(item.account)
        state.waiting -= 1
        state.waiting_cost -= item.cost
        self.backlog.remove(item)
        if not state.waiting:
            # Sums of many costs carry rounding errors.
            state.waiting_cost = 0
        flow = state.flows_by_target[item.target]
        flow.waiting.pop(number)
        if not flow.waiting:
            state.flows_by_target.pop(item.target)
            flow.tag = -1
        return item

    # Queries.

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_number)

    def list_waiting(self) -> tuple[Waiting, ...]:
        """Return the requests that wait, oldest first."""
        return tuple(self._waiting_by_number.values())

    def targets(self) -> tuple[str, ...]:
        """Return the targets that requests wait for."""
        return tuple(
            target for target, heap in self._heaps_by_target.items() if heap
        )

    def cost_of(self, account: str) -> float:
        """Return the cost of all that an account has waiting."""
        state = self._states_by_account.get(account)
        return 0 if state is None else state.waiting_cost

    def count_of(self, account: str) -> int:
        """Return how many requests of an account wait."""
        state = self._states_by_account.get(account)
        return 0 if state is None else state.waiting

    def weight_of(self, account: str) -> int:
        """Return an account's weight."""
        state = self._states_by_account.get(account)
        return 1 if state is None else state.weight

    def find_longest(self) -> Waiting | None:
        """Return the newest request of the account that waits with most.

        Backlogs are compared by cost over weight; of equal ones the account
        of lower priority is taken.
        """
        waiting = [
            state for state in self._states_by_account.values() if state.waiting
        ]
        if not waiting:
            return None
        return _find_newest(max(waiting, key=_backlog))

    # Steps.

    def _find_state(self, account: str) -> _AccountState:
        return self._states_by_account.setdefault(account, _AccountState())

    def _schedule(self, state: _AccountState, target: str, flow: _Flow) -> None:
        """Put a flow into the heap under the account's present time."""
        if flow.tag == state.served_until:
            return
        flow.tag = state.served_until
        heapq.heappush(
            self._heaps_by_target[target],
            (flow.tag, -state.priority, next(self._numbers), flow),
        )


def _find_first(heap: _Heap, may_start: Callable[[str], bool]) -> _Flow | None:
    """Return the first flow whose account may start, and keep it."""
    passed_over = []
    found: _Flow | None = None
    while heap:
        tag, _, _, flow = heap[0]
        if tag != flow.tag:
            # The flow has ended, or moved on under a later time.
            heapq.heappop(heap)
            continue
        if may_start(flow.account):
            found = flow
            break
        passed_over.append(heapq.heappop(heap))
    for entry in passed_over:
        heapq.heappush(heap, entry)
    return found


def _backlog(state: _AccountState) -> tuple[float, int]:
    return (state.waiting_cost / state.weight, -state.priority)


def _find_newest(state: _AccountState) -> Waiting | None:
    newest: Waiting | None = None
    for flow in state.flows_by_target.values():
        last = flow.waiting[next(reversed(flow.waiting))]
        if newest is None or last.number > newest.number:
            newest = last
    return newest
