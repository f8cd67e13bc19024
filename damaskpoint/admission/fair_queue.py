"""Weighted fair queueing between client accounts.

Start-time fair queueing: the start tag of an account's next request is the
virtual time up to which the account has been served; the lowest tag is served
next. A request advances its account's virtual time by cost over weight. An
account that was idle starts at the current virtual time, without debt or
credit.
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
class WaitingRequest:
    """A request to be queued, or started if nothing is ahead of it."""

    number: int
    account: str
    target: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Expected seconds of service.
    cost: float
    # Fraction of the service time that each pool provides.
    fractions_by_pool: Mapping[str, float]


@final
@dataclass(slots=True)
class _Flow:
    """The waiting requests of one account for one target."""

    account: str
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    # Start tag of the valid heap entry; -1 without one.
    tag: float = -1


# Entries: start tag, negated priority, serial number, flow.
_Heap: TypeAlias = list[tuple[float, int, int, _Flow]]


@final
@dataclass(slots=True)
class _AccountState:
    """An account's virtual time and waiting requests."""

    weight: int = 1
    priority: int = 0
    # Virtual time up to which the account has been served.
    served_until: float = 0
    waiting: int = 0
    waiting_cost: float = 0
    flows_by_target: dict[str, _Flow] = field(default_factory=dict)


@final
class FairQueue:
    """Waiting requests by client account and target."""

    def __init__(self) -> None:
        """Start empty."""
        self.backlog = Backlog()
        self._virtual_time: float = 0
        self._states_by_account: dict[str, _AccountState] = {}
        self._heaps_by_target: collections.defaultdict[str, _Heap] = (
            collections.defaultdict(list)
        )
        self._waiting_by_number: dict[int, WaitingRequest] = {}
        self._numbers = itertools.count()

    # Commands.

    def set_account(self, account: str, weight: int, priority: int) -> None:
        """Set an account's weight and priority; priority only breaks ties."""
        state = self._find_state(account)
        state.weight = weight
        state.priority = priority

    def push(self, item: WaitingRequest) -> None:
        """Add a request to the queue."""
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
    ) -> WaitingRequest | None:
        """Remove and return the next request for any of the targets.

        Accounts for which ``may_start`` is false are skipped and keep their
        position.
        """
        best: _Flow | None = None
        for target in targets:
            flow = _find_first_startable(
                self._heaps_by_target[target], may_start
            )
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

    def charge_immediate_start(self, account: str, cost: float) -> None:
        """Charge an account for a request that starts without waiting."""
        state = self._find_state(account)
        state.served_until = max(state.served_until, self._virtual_time)
        self._virtual_time = state.served_until
        self.charge(account, cost)

    def charge(self, account: str, cost: float) -> None:
        """Charge an account for service; a negative cost is a refund."""
        state = self._find_state(account)
        state.served_until += cost / state.weight
        for target, flow in state.flows_by_target.items():
            if flow.waiting:
                self._schedule(state, target, flow)

    def remove(self, number: int) -> WaitingRequest | None:
        """Remove and return a request; None if it does not wait."""
        item = self._waiting_by_number.pop(number, None)
        if item is None:
            return None
        state = self._find_state(item.account)
        state.waiting -= 1
        state.waiting_cost -= item.cost
        self.backlog.remove(item)
        if not state.waiting:
            # Reset to 0, as sums of many costs accumulate rounding errors.
            state.waiting_cost = 0
        flow = state.flows_by_target[item.target]
        flow.waiting.pop(number)
        if not flow.waiting:
            state.flows_by_target.pop(item.target)
            flow.tag = -1
        return item

    # Queries.

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_number)

    def list_waiting(self) -> tuple[WaitingRequest, ...]:
        """Return the waiting requests, oldest first."""
        return tuple(self._waiting_by_number.values())

    def targets(self) -> tuple[str, ...]:
        """Return the targets that may have waiting requests."""
        return tuple(
            target for target, heap in self._heaps_by_target.items() if heap
        )

    def cost_of(self, account: str) -> float:
        """Return the total cost of the waiting requests of an account."""
        state = self._states_by_account.get(account)
        return 0 if state is None else state.waiting_cost

    def count_of(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        state = self._states_by_account.get(account)
        return 0 if state is None else state.waiting

    def weight_of(self, account: str) -> int:
        """Return an account's weight; 1 if it is unknown."""
        state = self._states_by_account.get(account)
        return 1 if state is None else state.weight

    def find_eviction_candidate(self) -> WaitingRequest | None:
        """Return the newest request of the account with the longest backlog.

        Backlogs are compared by cost over weight; of equal ones, that of the
        account with the lower priority is longer. None if nothing waits.
        """
        waiting = [
            state for state in self._states_by_account.values() if state.waiting
        ]
        if not waiting:
            return None
        return _find_newest(max(waiting, key=_backlog_key))

    # Steps.

    def _find_state(self, account: str) -> _AccountState:
        return self._states_by_account.setdefault(account, _AccountState())

    def _schedule(self, state: _AccountState, target: str, flow: _Flow) -> None:
        """Push a flow with its account's current virtual time as start tag.

        An older heap entry of the flow becomes invalid.
        """
        if flow.tag == state.served_until:
            return
        flow.tag = state.served_until
        heapq.heappush(
            self._heaps_by_target[target],
            (flow.tag, -state.priority, next(self._numbers), flow),
        )


def _find_first_startable(
    heap: _Heap, may_start: Callable[[str], bool]
) -> _Flow | None:
    """Return the first flow whose account may start; it stays in the heap."""
    skipped = []
    found: _Flow | None = None
    while heap:
        tag, _, _, flow = heap[0]
        if tag != flow.tag:
            # A stale entry: the flow is empty or has another tag now.
            heapq.heappop(heap)
            continue
        if may_start(flow.account):
            found = flow
            break
        skipped.append(heapq.heappop(heap))
    for entry in skipped:
        heapq.heappush(heap, entry)
    return found


def _backlog_key(state: _AccountState) -> tuple[float, int]:
    return (state.waiting_cost / state.weight, -state.priority)


def _find_newest(state: _AccountState) -> WaitingRequest | None:
    newest: WaitingRequest | None = None
    for flow in state.flows_by_target.values():
        last = flow.waiting[next(reversed(flow.waiting))]
        if newest is None or last.number > newest.number:
            newest = last
    return newest
