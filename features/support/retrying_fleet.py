"""Instances that send failing requests again, in virtual time.

Their retry budgets and tables of peers are real; requests fail at all runners.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from damaskpoint.forwarding.budgets import ServiceBudgets
from damaskpoint.membership.facts import PeerFact, Phase
from damaskpoint.membership.peers import PeerTable

if TYPE_CHECKING:
    from collections.abc import Callable

RATIO: Final = 0.2
SLACK: Final = 56.0
WINDOW_S: Final = 10.0
_SERVICE: Final = 'plain'
_ATTEMPTS: Final = 3
_PEER_TIMEOUT_S: Final = 1.0
_STEP_S: Final = 0.1


@dataclass(slots=True)
class _Instance:
    name: str
    peers: PeerTable
    budgets: ServiceBudgets
    start: int
    # Whether the platform's list of instances was read.
    has_list: bool
    beats: int = 0


@dataclass(slots=True)
class RetryingFleet:
    """Instances, of which each sees those that ``sees`` says."""

    count: int
    per_s: float
    # Whether an instance receives what another one sends, at a time.
    sees: Callable[[int, int, float], bool]
    seed: int
    # Whether instances can read the platform's list, at a time.
    has_store: Callable[[float], bool] = lambda _: True
    sent_at: list[float] = field(default_factory=list)
    repeated_at: list[float] = field(default_factory=list)
    now: float = 0
    instances: list[_Instance] = field(default_factory=list)

    def run(self, until: float) -> None:
        """Play until a time; requests come from the 15th second on."""
        rng = random.Random(self.seed + int(self.now))
        if not self.instances:
            self.instances = [
                self._create(number, 1) for number in range(self.count)
            ]
        while self.now < until:
            self.now += _STEP_S
            self._gossip()
            for _ in range(self._draw_requests(rng)):
                self._send(rng)

    def restart(self, number: int) -> None:
        """Replace the process of an instance, whose state is lost."""
        start = self.instances[number].start + 1
        self.instances[number] = self._create(number, start)

    def find_excess(self) -> float:
        """Return by how much repeats exceed the bound in the worst window.

        It is at most 0 if the bound holds.
        """
        excesses = []
        for end in (*self.repeated_at, self.now):
            repeats = _count(self.repeated_at, end)
            requests = max(
                _count(self.sent_at, end - shift)
                for shift in (0, WINDOW_S / 2, WINDOW_S)
            )
            excesses.append(repeats - RATIO * requests - SLACK)
        return max(excesses)

    def _create(self, number: int, start: int) -> _Instance:
        name = f'g-{number}'
        return _Instance(
            name,
            PeerTable(name, _PEER_TIMEOUT_S),
            ServiceBudgets(RATIO, SLACK, WINDOW_S, self.now),
            start,
            has_list=False,
        )

    def _gossip(self) -> None:
        names = frozenset(f'g-{number}' for number in range(self.count))
        for number, instance in enumerate(self.instances):
            instance.beats += 1
            fact = _create_fact(instance)
            for other, receiver in enumerate(self.instances):
                if other != number and self.sees(number, other, self.now):
                    receiver.peers.merge(fact, self.now, 1)
        for instance in self.instances:
            instance.has_list = instance.has_list or self.has_store(self.now)
            possible = None
            if instance.has_list:
                possible = len(instance.peers.unended_names(names)) + 1
            instance.budgets.update(possible, self.now)

    def _draw_requests(self, rng: random.Random) -> int:
        expected = self.per_s * _STEP_S if self.now >= 15 else 0
        has_more = rng.random() < expected - int(expected)
        return int(expected) + has_more

    def _send(self, rng: random.Random) -> None:
        instance = rng.choice(self.instances)
        budget = instance.budgets.find(_SERVICE)
        budget.record_first_attempt()
        self.sent_at.append(self.now)
        for _ in range(1, _ATTEMPTS):
            if not budget.spend():
                return
            self.repeated_at.append(self.now)


def _create_fact(instance: _Instance) -> PeerFact:
    return PeerFact(
        instance.name,
        'zone',
        'host',
        1,
        instance.start,
        instance.beats,
        Phase.SERVING,
    )


def _count(times: list[float], end: float) -> int:
    return sum(end - WINDOW_S < at <= end for at in times)
