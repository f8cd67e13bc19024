"""Simulates instances that choose runners of one service, in virtual time.

The instances use the product's chooser and figures. Runners are slower when
busy and in drawn episodes, and report their load unless they are silent.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

from damaskpoint.balancing.capacities import RunnerCapacities
from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.balancing.loads import RunnerLoads
from damaskpoint.catalog.model import Runner
from damaskpoint.forwarding.choosing import RunnerChooser
from damaskpoint.forwarding.metadata import (
    LoadReport,
    PromptPart,
    RequestMetadata,
)
from damaskpoint.rollout.gate import VersionGate

if TYPE_CHECKING:
    from collections.abc import Callable

# Time, a number that makes it unique, and the action.
_Event = tuple[float, int, Any]
SERVICE: Final = 'service'
_ROUND_S: Final = 0.15
_PEERS_PER_ROUND: Final = 15
_NEWS: Final = 5
# Growth of a run's time from an idle to a full runner.
_BUSY_GROWTH: Final = 2.0


@dataclass(slots=True)
class FleetOptions:
    """The simulated deployment and its load."""

    instances: int = 6
    # Zone of each runner.
    runner_zones: tuple[str, ...] = ('z1', 'z1', 'z2', 'z2')
    slots: int = 6
    # Requests per second of all callers.
    rate: float = 60
    work_s: tuple[float, float] = (0.022, 0.068)
    # Share of time in which a machine is slow, by how much, and for how long.
    noise_share: float = 0.15
    noise_pace: float = 2.5
    noise_s: float = 0.6
    # Lasting pace by runner position.
    paces: dict[int, float] = field(default_factory=dict)
    # Reported instead of the pace in percent; None reports the truth.
    claimed_percent: int | None = None
    reports: bool = True
    # Whether runners are chosen by learned figures, or by counts alone.
    learns: bool = True
    # Number of prompts and their shared tokens; 0 for plain requests.
    prompts: int = 0
    shared_tokens: int = 6_300
    read_tokens_per_s: float = 100_000
    # Function from time to the home zone that all new prompts have then.
    zone_at: Callable[[float, random.Random], str] | None = None
    duration_s: float = 20
    seed: int = 1


@dataclass(slots=True)
class _Run:
    began_at: float
    instance: _Instance
    work_s: float
    key: str


@dataclass(slots=True)
class SimRunner:
    """A runner with slots, a queue, and episodes of slowness."""

    runner: Runner
    lasting_pace: float
    running: int = 0
    queue: deque[_Run] = field(default_factory=deque)
    noisy_until: float = 0
    is_noisy: bool = False
    seen: set[str] = field(default_factory=set)
    runs: int = 0
    noisy_runs: int = 0


@dataclass(slots=True)
class _Instance:
    loads: RunnerLoads
    capacities: RunnerCapacities
    context: Any
    shares_by_peer: dict[int, dict[str, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Finished:
    """One completed request."""

    sent_at: float
    took_s: float
    zone: str
    home: str
    was_cached: bool


class Fleet:
    """Runs a simulated load and keeps what became of its requests."""

    def __init__(self, options: FleetOptions) -> None:
        """Create idle runners and instances without figures."""
        self.options = options
        self.random = random.Random(options.seed)
        self.finished: list[Finished] = []
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self.runners = [
            SimRunner(
                Runner(
                    f'r{at}', SERVICE, 'h', 1, zone, options.slots, False, 0
                ),
                options.paces.get(at, 1),
            )
            for at, zone in enumerate(options.runner_zones)
        ]
        self._by_name = {item.runner.name: item for item in self.runners}
        zones = sorted(set(options.runner_zones))
        self.instances = [
            self._create_instance(zones[at % len(zones)])
            for at in range(options.instances)
        ]

    def run(self) -> None:
        """Simulate the whole duration."""
        for item in self.runners:
            self._change_noise(item, 0, is_first=True)
        self._at(self.random.expovariate(self.options.rate), self._arrive)
        for place, _ in enumerate(self.instances):
            self._at(
                self.random.random() * _ROUND_S, partial(self._gossip, place)
            )
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > self.options.duration_s:
                return
            action(now)

    def late_share(self, objective_s: float, after_s: float = 3) -> float:
        """Return the share of requests that took longer than an objective."""
        sent = [item for item in self.finished if item.sent_at >= after_s]
        late = sum(item.took_s > objective_s for item in sent)
        return late / max(1, len(sent))

    def _at(self, when: float, action: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _create_instance(self, zone: str) -> _Instance:
        loads = RunnerLoads()
        capacities = RunnerCapacities(loads)
        unlearned = SimpleNamespace(is_informed=lambda service, now: False)
        runners = tuple(item.runner for item in self.runners)
        context = SimpleNamespace(
            catalog=SimpleNamespace(
                runners=SimpleNamespace(
                    usable=lambda service: runners,
                    is_cold=lambda name, now: False,
                )
            ),
            health=RunnerHealth(),
            loads=loads,
            capacities=capacities if self.options.learns else unlearned,
            options=SimpleNamespace(own_name='i', zone=zone),
            versions=VersionGate('i', None, lambda name, now: False),
        )
        return _Instance(loads, capacities, context)

    def _change_noise(
        self, item: SimRunner, now: float, *, is_first: bool = False
    ) -> None:
        options = self.options
        share = options.noise_share
        if not share:
            return
        item.is_noisy = (
            self.random.random() < share if is_first else not item.is_noisy
        )
        quiet_s = options.noise_s * (1 - share) / share
        mean_s = options.noise_s if item.is_noisy else quiet_s
        length_s = self.random.expovariate(1 / mean_s)
        self._at(now + length_s, lambda at: self._change_noise(item, at))

    def _arrive(self, now: float) -> None:
        options = self.options
        self._at(now + self.random.expovariate(options.rate), self._arrive)
        instance = self.random.choice(self.instances)
        number = next(self._numbers)
        prompt: tuple[PromptPart, ...] = ()
        home: str | None = None
        if options.prompts:
            home = self._draw_home(now)
            key = f'{home}-p{self.random.randrange(options.prompts)}'
            prompt = (
                PromptPart(key, options.shared_tokens),
                PromptPart(f'own{number}', 100),
            )
        metadata = RequestMetadata(f'q{number}', None, None, prompt=prompt)
        chooser = RunnerChooser(instance.context, SERVICE, metadata, home)
        chosen = chooser.choose((), now)
        assert chosen is not None
        instance.loads.begin(chosen.name)
        run = _Run(
            now,
            instance,
            self.random.uniform(*options.work_s),
            metadata.affinity_key,
        )
        item = self._by_name[chosen.name]
        if item.running < options.slots:
            self._start(item, run, now)
        else:
            item.queue.append(run)

    def _draw_home(self, now: float) -> str:
        if self.options.zone_at is not None:
            return self.options.zone_at(now, self.random)
        return self.random.choice(self.options.runner_zones)

    def _start(self, item: SimRunner, run: _Run, now: float) -> None:
        options = self.options
        item.running += 1
        item.runs += 1
        item.noisy_runs += item.is_noisy
        pace = item.lasting_pace
        if item.is_noisy:
            pace *= options.noise_pace
        busy = 1 + _BUSY_GROWTH * item.running / options.slots
        was_cached = run.key in item.seen
        item.seen.add(run.key)
        read_s = float(0)
        if options.prompts and not was_cached:
            read_s = options.shared_tokens / options.read_tokens_per_s
        took_s = (run.work_s * busy + read_s) * pace
        home = run.key.partition('-')[0]
        self._at(
            now + took_s,
            lambda at: self._finish(item, run, (home, was_cached), at),
        )

    def _finish(
        self, item: SimRunner, run: _Run, about: tuple[str, bool], now: float
    ) -> None:
        options = self.options
        runner = item.runner
        capacities = run.instance.capacities
        if options.reports:
            pace = options.noise_pace if item.is_noisy else 1
            percent = options.claimed_percent or round(
                100 * pace * item.lasting_pace
            )
            capacities.record_report(
                runner,
                LoadReport(
                    item.running, len(item.queue), options.slots, percent
                ),
                now,
            )
        capacities.record_latency(runner, 'route', run.began_at, now)
        capacities.record_run(SERVICE, now - run.began_at)
        item.running -= 1
        run.instance.loads.end(runner.name)
        home, was_cached = about
        self.finished.append(
            Finished(
                run.began_at,
                now - run.began_at,
                runner.zone,
                home,
                was_cached,
            )
        )
        if item.queue:
            self._start(item, item.queue.popleft(), now)

    def _gossip(self, at: int, now: float) -> None:
        self._at(now + _ROUND_S, partial(self._gossip, at))
        sender = self.instances[at]
        others = [place for place in range(len(self.instances)) if place != at]
        count = min(len(others), _PEERS_PER_ROUND)
        news = sender.capacities.take_news(now, _NEWS)
        shares = dict(sender.loads.own_by_runner)
        for place in self.random.sample(others, count):
            peer = self.instances[place]
            peer.shares_by_peer[at] = shares
            for fact in news:
                peer.capacities.apply_fact(
                    self._by_name[fact.runner].runner, fact
                )
        sums: dict[str, int] = {}
        for known in sender.shares_by_peer.values():
            for name, in_flight in known.items():
                sums[name] = sums.get(name, 0) + in_flight
        sender.loads.set_peer_counts(sums)
        sender.capacities.expire(self._by_name, now)
