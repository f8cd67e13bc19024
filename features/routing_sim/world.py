"""Virtual time, a table with faults and an upstream that turns cold."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform.base import Committed, Conflicted
from damaskpoint.routing.leases import LeaseRow, LeaseWrite, WriteKind
from damaskpoint.routing.report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    _Event = tuple[float, int, int, Callable[[], None]]

COLD_LIMIT = 2
WARM_LIMIT = 6
BOUND_S = 3.0
LAG_S = 1.0
NET_S = 0.05
TIMEOUT_S = 1.0
UNAVAILABLE = Failure(Code.PLATFORM_UNAVAILABLE, ran=Ran.UNKNOWN)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule; entry -1 means all entries."""

    kind: str
    start: float
    length: float
    entry: int


class World:
    """Runs events in virtual time; those of a frozen entry wait."""

    def __init__(self, seed: int, faults: Sequence[Fault]) -> None:
        """Start at time 0 without events."""
        self.rng = random.Random(seed)
        self.faults = tuple(faults)
        self.now: float = 0
        self._events: list[_Event] = []
        self._last = 0

    def schedule(
        self, delay: float, action: Callable[[], None], entry: int = -1
    ) -> None:
        """Schedule an action; while its entry is frozen, the action waits."""
        self._last += 1
        at = self.now + delay
        heapq.heappush(self._events, (at, self._last, entry, action))

    def run(self, end: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            at, _, entry, action = heapq.heappop(self._events)
            self.now = at
            frozen_until = self.find_fault_end('freeze', entry)
            if entry >= 0 and frozen_until > self.now:
                self.schedule(frozen_until - self.now, action, entry)
                continue
            action()

    def find_fault_end(self, kind: str, entry: int = -1) -> float:
        """Return when the active faults of a kind end; 0 without any."""
        ends: float = 0
        for fault in self.faults:
            if fault.kind != kind or fault.entry not in {entry, -1}:
                continue
            if fault.start <= self.now < fault.start + fault.length:
                ends = max(ends, fault.start + fault.length)
        return ends

    def draw_delay(self) -> float:
        """Return the delay of one message."""
        return self.rng.uniform(0.001, NET_S)


@dataclass(slots=True)
class SimTable:
    """Lease rows with conditional writes.

    The table can be slow or down, and its responses can get lost.
    """

    world: World
    rows_by_name: dict[str, LeaseRow] = field(default_factory=dict)

    def read(
        self,
        names: Sequence[str],
        entry: int,
        done: Callable[[dict[str, LeaseRow | None] | None], None],
    ) -> None:
        """Pass the rows to ``done``, or None if the table is down."""
        world = self.world
        if self._is_down(entry):
            world.schedule(TIMEOUT_S, lambda: done(None), entry)
            return

        def execute() -> None:
            rows = {name: self.rows_by_name.get(name) for name in names}
            world.schedule(world.draw_delay(), lambda: done(rows), entry)

        world.schedule(world.draw_delay(), execute)

    def transact(
        self,
        writes: Sequence[LeaseWrite],
        owner: str,
        entry: int,
        done: Callable[[Committed | Conflicted | Failure], None],
    ) -> None:
        """Apply the writes; the response may be lost and the writes late."""
        world = self.world
        if self._is_down(entry):
            world.schedule(TIMEOUT_S, lambda: done(UNAVAILABLE), entry)
            return
        is_lost = bool(world.find_fault_end('lost_answer'))
        is_late = is_lost and world.rng.choice((True, False))

        def execute() -> None:
            outcome = self._apply(writes, owner)
            if not is_lost:
                world.schedule(world.draw_delay(), lambda: done(outcome), entry)

        world.schedule(
            2 * TIMEOUT_S if is_late else world.draw_delay(), execute
        )
        if is_lost:
            world.schedule(TIMEOUT_S, lambda: done(UNAVAILABLE), entry)

    def _is_down(self, entry: int) -> bool:
        world = self.world
        is_cut = world.find_fault_end('cut_table', entry) > 0
        return is_cut or world.find_fault_end('outage') > 0

    def _apply(
        self, writes: Sequence[LeaseWrite], owner: str
    ) -> Committed | Conflicted:
        conflicts = []
        for position, write in enumerate(writes):
            held = self.rows_by_name.get(write.name)
            version = 0 if held is None else held.version
            if version != write.expected_version:
                conflicts.append(position)
        if conflicts:
            return Conflicted(tuple(conflicts))
        versions = []
        for write in writes:
            version = write.expected_version + 1
            is_release = write.kind is WriteKind.RELEASE
            self.rows_by_name[write.name] = LeaseRow(
                version,
                '' if is_release else owner,
                write.claim_id,
                write.fencing,
                write.lease_s,
            )
            versions.append(version)
        return Committed(tuple(versions))


class SimUpstream:
    """An upstream that counts its calls and records violated limits."""

    def __init__(self, world: World, warm_after_s: float) -> None:
        """Start cold, without a previous warm phase."""
        self.world = world
        self.warm_after_s = warm_after_s
        self.incarnation = 1
        self.is_cold = True
        self.turned_cold_at = float('-inf')
        self.running_calls: set[int] = set()
        self.violations: list[str] = []
        self.cold_calls = 0
        self.window_calls = 0
        self.last_warm_at = float('-inf')
        self._last_call = 0
        self._phase = 0
        self._history = [(world.now, LoadReport(1, False, 0, COLD_LIMIT))]
        self._schedule_warm()

    def turn_cold(self, *, is_restart: bool) -> None:
        """Turn cold unannounced, or abort all calls and restart."""
        if not self.is_cold:
            self.turned_cold_at = self.world.now
        self.is_cold = True
        if is_restart:
            self.incarnation += 1
            self.running_calls.clear()
        self._record_report()
        self._schedule_warm()

    def arrive(self, entry: int, *, is_cold_ticket: bool) -> int:
        """Accept a call; check it against the limits if cold."""
        self._last_call += 1
        self.running_calls.add(self._last_call)
        self._record_report()
        if not self.is_cold:
            self.last_warm_at = self.world.now
            return self._last_call
        now = self.world.now
        description = (
            f'{now:.2f}s entry {entry}, {len(self.running_calls)} running'
        )
        if is_cold_ticket:
            self.cold_calls += 1
            if len(self.running_calls) > COLD_LIMIT:
                self.violations.append(f'{description}, limit {COLD_LIMIT}')
        elif now > self.turned_cold_at + BOUND_S + NET_S:
            self.violations.append(f'{description}, sent as warm')
        else:
            self.window_calls += 1
        return self._last_call

    def leave(self, call: int) -> bool:
        """End a call; return False if it was aborted before."""
        if call not in self.running_calls:
            return False
        self.running_calls.discard(call)
        self._record_report()
        return True

    def report(self) -> LoadReport:
        """Return the load at a time up to the maximum lag ago."""
        at = self.world.now - self.world.rng.uniform(0, LAG_S)
        shown = self._history[0][1]
        for recorded_at, report in self._history:
            if recorded_at > at:
                break
            shown = report
        while len(self._history) > 1:
            if self._history[1][0] > self.world.now - LAG_S:
                break
            self._history.pop(0)
        return shown

    def _record_report(self) -> None:
        limit = COLD_LIMIT if self.is_cold else WARM_LIMIT
        report = LoadReport(
            self.incarnation, not self.is_cold, len(self.running_calls), limit
        )
        self._history.append((self.world.now, report))

    def _schedule_warm(self) -> None:
        self._phase += 1
        phase = self._phase

        def warm() -> None:
            if phase == self._phase:
                self.is_cold = False
                self._record_report()

        self.world.schedule(self.warm_after_s, warm)
