"""Instances before runners that crash on one prompt part, in virtual time.

Only the guards of the instances are real. Their marks reach each peer after a
delay, which is longer where a datagram is lost. Requests with the crashing part
come at any instance with any other parts; sound requests share these. Runners
also crash for other reasons, and for a while break runs at random.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Final

from damaskpoint.forwarding.metadata import PromptPart, RequestMetadata
from damaskpoint.membership.facts import Mark, MarkKind, PeerFact, Phase
from damaskpoint.quarantine.guard import PromptGuard

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.quarantine.guard import PromptRun

    _Event = tuple[float, int, Callable[[], None]]

CRASHING_PART: Final = 'bad0'
_COMPANION: Final = 'companion'
_CONTACT_S: Final = 3.0
_CRASHES: Final = 5
_RESTART_S: Final = 3.3
_CRASH_DELAY_S: Final = 0.06
_FIRST_EVENT_S: Final = 0.03
_LOST_DATAGRAM_S: Final = 0.15
_SECOND_PARTS: Final = 300
_SERVICE: Final = 'model'
_ROUND_S: Final = 0.15
# Time without crashing requests (seconds).
_WARM_UP_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The size and the load of a fleet; rates are per second."""

    instances: int
    runners: int
    first_parts: int
    sound_per_s: float
    # 0 if no part crashes runners.
    crashing_per_s: float
    max_attempts: int
    # Rate of crashes for which no part is the cause.
    other_crashes_per_s: float
    # Share of runs that break after their head, from ``breaks_at`` on, for 3 s.
    break_share: float
    breaks_at: float
    datagram_loss: float
    # Share of the sound requests with a document that all crashing ones have;
    # None if these have any.
    companion_share: float | None = None


@dataclass(slots=True, eq=False)
class _Run:
    """One send of a request."""

    request: _Request
    runner: int
    guarded: PromptRun
    has_head: bool = False
    has_event: bool = False
    is_ended: bool = False


@dataclass(slots=True, eq=False)
class _Request:
    metadata: RequestMetadata
    instance: int
    is_crashing: bool
    sends: int = 0
    broken_heads: int = 0


@dataclass(slots=True)
class FleetResult:
    """What has happened; times are virtual seconds."""

    crashed_at: list[float] = field(default_factory=list)
    reached_at: list[float] = field(default_factory=list)
    # Times at which sound requests were refused, and the number of all.
    refused_at: list[float] = field(default_factory=list)
    sound: int = 0

    def count_late(self) -> int:
        """Return the sends with the part too long after the fifth crash."""
        if len(self.crashed_at) < _CRASHES:
            return 0
        limit = self.crashed_at[_CRASHES - 1] + _CONTACT_S
        return sum(at > limit for at in self.reached_at)


class CrashingFleet:
    """The instances, the runners and the requests."""

    def __init__(self, options: FleetOptions, seed: int) -> None:
        """Create a fleet at time 0."""
        self._options = options
        self._rng = random.Random(seed)
        self._now = float(0)
        self._queue: list[_Event] = []
        self._order = itertools.count()
        self._down_until = [float(0) for _ in range(options.runners)]
        # Keys in the order of the sends, so that a seed gives the same play.
        self._runs: list[dict[_Run, None]] = [
            {} for _ in range(options.runners)
        ]
        self.guards = [
            PromptGuard(self._create_publisher(number))
            for number in range(options.instances)
        ]
        self.result = FleetResult()

    def run(self, seconds: float) -> FleetResult:
        """Play the fleet from the start."""
        options = self._options
        self._repeat(options.sound_per_s, self._send_sound)
        self._after(
            _WARM_UP_S,
            lambda: self._repeat(options.crashing_per_s, self._send_crashing),
        )
        self._repeat(options.other_crashes_per_s, self._crash_any)
        for number in range(options.instances):
            self._after(
                self._rng.uniform(0, _ROUND_S), partial(self._round, number)
            )
        while self._queue and self._queue[0][0] <= seconds:
            event = heapq.heappop(self._queue)
            self._now = event[0]
            event[2]()
        return self.result

    def _repeat(self, per_s: float, action: Callable[[], None]) -> None:
        if not per_s:
            return

        def act() -> None:
            action()
            self._after(self._rng.expovariate(per_s), act)

        self._after(self._rng.expovariate(per_s), act)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        item = (self._now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, item)

    def _round(self, number: int) -> None:
        """Report to the peers how many runs have begun."""
        peer = PeerFact(f'g-{number}', 'zone', 'host', 1, 1, 1, Phase.SERVING)
        counts = self.guards[number].list_run_counts()
        for other, guard in enumerate(self.guards):
            if other == number:
                continue
            if self._rng.random() < self._options.datagram_loss:
                continue
            for count in counts:
                guard.record_peer_runs(peer, count, self._now)
        self.guards[number].expire(self._now)
        self._after(_ROUND_S, partial(self._round, number))

    def _create_publisher(
        self, sender: int
    ) -> Callable[[MarkKind, str, int, int], None]:
        def publish(
            kind: MarkKind, subject: str, incarnation: int, sequence: int
        ) -> None:
            mark = Mark(
                kind, subject, incarnation, self._now, sequence=sequence
            )
            for number, guard in enumerate(self.guards):
                if number != sender:
                    self._deliver(guard, mark)

        return publish

    def _deliver(self, guard: PromptGuard, mark: Mark) -> None:
        delay_s = self._rng.uniform(0.001, 0.01)
        while self._rng.random() < self._options.datagram_loss:
            delay_s += _LOST_DATAGRAM_S
        self._after(delay_s, lambda: guard.apply_mark(mark, self._now))

    def _send_sound(self) -> None:
        self.result.sound += 1
        self._begin(is_crashing=False)

    def _send_crashing(self) -> None:
        self._begin(is_crashing=True)

    def _begin(self, *, is_crashing: bool) -> None:
        rng = self._rng
        part_ids = [
            f'f{rng.randrange(self._options.first_parts)}',
            f'd{int(rng.random() ** 1.5 * _SECOND_PARTS)}',
        ]
        if self._has_companion(is_crashing=is_crashing):
            part_ids[1] = _COMPANION
        if is_crashing:
            part_ids.insert(rng.randrange(3), CRASHING_PART)
        part_ids.append(f'own{next(self._order)}')
        metadata = RequestMetadata(
            'id', None, None, tuple(PromptPart(part, 10) for part in part_ids)
        )
        instance = rng.randrange(self._options.instances)
        self._try(_Request(metadata, instance, is_crashing))

    def _has_companion(self, *, is_crashing: bool) -> bool:
        share = self._options.companion_share
        if share is None:
            return False
        return is_crashing or self._rng.random() < share

    def _try(self, request: _Request) -> None:
        """Send a request to a runner that is up, if there is one."""
        guard = self.guards[request.instance]
        if guard.check(request.metadata, self._now) is not None:
            if not request.is_crashing:
                self.result.refused_at.append(self._now)
            return
        runners = [
            runner
            for runner, until in enumerate(self._down_until)
            if until <= self._now
        ]
        if not runners or request.sends >= self._options.max_attempts:
            return
        request.sends += 1
        if request.is_crashing:
            self.result.reached_at.append(self._now)
        run = _Run(
            request,
            self._rng.choice(runners),
            guard.begin_run(
                _SERVICE, request.metadata, request.broken_heads, self._now
            ),
        )
        self._runs[run.runner][run] = None
        self._after(self._rng.uniform(0.05, 0.4), lambda: self._head(run))

    def _head(self, run: _Run) -> None:
        if run.is_ended:
            return
        run.has_head = True
        options = self._options
        if run.request.is_crashing:
            self._after(_CRASH_DELAY_S, lambda: self._crash(run))
        elif (
            options.breaks_at <= self._now < options.breaks_at + 3
            and self._rng.random() < options.break_share
        ):
            self._after(_FIRST_EVENT_S, lambda: self._break(run))
        else:
            self._after(_FIRST_EVENT_S, lambda: self._event(run))

    def _event(self, run: _Run) -> None:
        if run.is_ended:
            return
        run.has_event = True
        guard = self.guards[run.request.instance]
        guard.record_begun(run.guarded, self._now)
        self._after(self._rng.uniform(0.1, 2), lambda: self._end(run))

    def _end(self, run: _Run) -> None:
        run.is_ended = True
        self._runs[run.runner].pop(run, None)

    def _crash(self, run: _Run) -> None:
        if run.is_ended:
            return
        self.result.crashed_at.append(self._now)
        self._crash_runner(run.runner)

    def _crash_any(self) -> None:
        self._crash_runner(self._rng.randrange(self._options.runners))

    def _crash_runner(self, runner: int) -> None:
        self._down_until[runner] = self._now + _RESTART_S
        for run in tuple(self._runs[runner]):
            self._break(run)

    def _break(self, run: _Run) -> None:
        """End a run early; it is sent again unless its answer has begun."""
        if run.is_ended:
            return
        self._end(run)
        request = run.request
        if run.has_event:
            return
        if run.has_head:
            request.broken_heads += 1
            guard = self.guards[request.instance]
            guard.record_broken(run.guarded, self._now)
        self._after(0.003, lambda: self._try(request))


def create_options(
    seed: int, *, has_cause: bool, companion_share: float | None = None
) -> FleetOptions:
    """Draw a fleet; ``has_cause`` says whether a part crashes runners."""
    rng = random.Random(seed)
    instances = rng.choice((3, 6, 8, 30))
    return FleetOptions(
        instances=instances,
        runners=rng.choice((9, 18, 60)),
        first_parts=rng.choice((1, 4, 8, 40)),
        sound_per_s=instances * rng.uniform(1.5, 6),
        crashing_per_s=rng.choice((0.4, 1, 2, 4)) if has_cause else 0,
        max_attempts=rng.choice((1, 2, 3)),
        other_crashes_per_s=rng.choice((0, 0.2, 1)),
        break_share=0 if has_cause else rng.choice((0, 0.5, 0.9, 1)),
        breaks_at=5.0,
        datagram_loss=rng.choice((0, 0.05, 0.3)),
        companion_share=companion_share,
    )
