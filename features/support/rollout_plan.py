"""Draws a rollout from a seed: its version, traffic, timing and faults."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from standins.versions import LOAD_WINDOW_S, FaultKind, VersionFault

if TYPE_CHECKING:
    from collections.abc import Mapping

GOOD_KINDS: Final = ('good', 'good after another', 'good but withdrawn')
KINDS: Final = (
    *GOOD_KINDS,
    'fails',
    'fails later',
    'fails under load',
    'fails on a route',
    'slow',
    'slow later',
    'slow under load',
    'slow on a route',
    'fails after another',
    'fails and withdrawn',
    'absent',
)
FAULTS: Final = ('none', 'kill', 'freeze', 'cut peers', 'cut store', 'outage')
# Runners of each version.
RUNNERS: Final = 10
_SMALL_GATEWAYS: Final = 8
# Share of the load of an old runner that counts as load.
_LOADED_SHARE: Final = 0.5


class Traffic(NamedTuple):
    """The routes to a service, and the service time of its runners."""

    shares_by_route: Mapping[str, float]
    time_s: float
    # A route whose requests must not be interrupted.
    run_once_route: str = ''
    rate_share: float = 1


TRAFFIC_BY_SERVICE: Final = {
    'plain': Traffic({'safe': 0.7, 'unsafe': 0.3}, 0.03, 'unsafe'),
    'model': Traffic({'stream': 0.4, 'chat': 0.6}, 0.01, 'chat'),
    # Such a request needs several calls.
    'stage': Traffic({'resumable': 0.6, 'staged': 0.4}, 0.024, '', 0.5),
}


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """All that a seed determines about a rollout; times are in seconds."""

    seed: int
    kind: str
    fault: str
    gateways: int
    service: str
    rate: float
    duration_s: float
    # Start of the new runners after the order; negative if before it.
    start_s: float
    # Time to the withdrawal, or from the order that is replaced.
    change_s: float
    drain_delay_s: float
    # How the version is bad; its start is in seconds after the order.
    bad: VersionFault | None

    @property
    def is_bad(self) -> bool:
        """Return whether the version has to be rolled back."""
        return self.kind not in GOOD_KINDS

    @property
    def traffic(self) -> Traffic:
        """Return the traffic of the service."""
        return TRAFFIC_BY_SERVICE[self.service]


def draw_plan(
    seed: int,
    gateways: int,
    kind: str = '',
    fault: str = '',
    duration_s: float = 0,
) -> RolloutPlan:
    """Return the rollout of a seed; arguments replace what it draws."""
    rng = random.Random(seed)
    drawn_fault = rng.choice(('none', *FAULTS))
    kind = kind or KINDS[seed % len(KINDS)]
    service = rng.choice(('plain', 'plain', 'model', 'stage'))
    if 'under load' in kind and service == 'stage':
        # Batching decides how many calls a stage's runner receives.
        service = 'plain'
    traffic = TRAFFIC_BY_SERVICE[service]
    usual_rate = 100 if gateways <= _SMALL_GATEWAYS else 200
    rate = usual_rate * traffic.rate_share * rng.uniform(0.8, 1.2)
    drawn_s = rng.uniform(12, 40)
    duration_s = duration_s or drawn_s
    later_s = rng.uniform(0.25, 0.6) * duration_s
    route = rng.choice(sorted(traffic.shares_by_route))
    old_load = rate / RUNNERS * LOAD_WINDOW_S
    bad_kind = rng.choice((FaultKind.FAILS, FaultKind.CUTS))
    bad = VersionFault(
        FaultKind.SLOW if 'slow' in kind else bad_kind,
        share=rng.uniform(0.3, 1),
        starts_at=later_s if 'later' in kind else 0,
        min_load=old_load * _LOADED_SHARE if 'load' in kind else 0,
        route=route if 'route' in kind else '',
    )
    return RolloutPlan(
        seed=seed,
        kind=kind,
        fault=fault or drawn_fault,
        gateways=gateways,
        service=service,
        rate=rate,
        duration_s=duration_s,
        start_s=rng.choice((-2, rng.uniform(0, 0.2) * duration_s)),
        change_s=rng.uniform(0.2, 0.5) * duration_s,
        drain_delay_s=rng.uniform(2, 5),
        bad=None if kind in GOOD_KINDS else bad,
    )
