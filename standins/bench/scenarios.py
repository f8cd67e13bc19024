"""The experiments: how much is offered, and what goes wrong meanwhile."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final


@final
@dataclass(frozen=True, slots=True)
class SheetStep:
    """A command of the operators' tool at a time of the run."""

    at_s: float
    arguments: tuple[str, ...]


@final
@dataclass(frozen=True, slots=True)
class ZoneAction:
    """All upstreams of one zone stop, or start again."""

    at_s: float
    # Position of the zone in the profile's sheet.
    zone: int
    action: str


@final
@dataclass(frozen=True, slots=True)
class ZoneControl:
    """A control request to every upstream of one zone."""

    at_s: float
    # Position of the zone in the profile's sheet.
    zone: int
    control: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class PlatformControl:
    """A fault of the platform."""

    at_s: float
    faults: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment."""

    name: str
    # Offered rate over the engines' capacity.
    load: float
    duration_s: float
    burst_factor: float = 1
    sheet_steps: tuple[SheetStep, ...] = ()
    zone_actions: tuple[ZoneAction, ...] = ()
    zone_controls: tuple[ZoneControl, ...] = ()
    platform_controls: tuple[PlatformControl, ...] = ()
    # Position of the zone that ``sheet_steps`` take out; -1 for none.
    zone: int = -1


_LEAVES_S: Final = 8.0
_GONE_S: Final = 12.0
_RETURNS_S: Final = 20.0

_STEADY_S: Final = 20.0
_ZONE_S: Final = 35.0

SCENARIOS_BY_NAME: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario('load-0.5', load=0.5, duration_s=_STEADY_S),
        Scenario('load-0.9', load=0.9, duration_s=_STEADY_S),
        Scenario('load-1.2', load=1.2, duration_s=_STEADY_S),
        Scenario('load-2.0', load=2.0, duration_s=_STEADY_S),
        Scenario('bursts', load=0.5, duration_s=_STEADY_S, burst_factor=4),
        Scenario(
            'zone',
            load=0.6,
            duration_s=_ZONE_S,
            zone=1,
            sheet_steps=(
                SheetStep(_LEAVES_S, ('zone', 'out')),
                SheetStep(_RETURNS_S, ('zone', 'in')),
            ),
            zone_actions=(
                ZoneAction(_GONE_S, 1, 'stop'),
                ZoneAction(_RETURNS_S, 1, 'start-cold'),
            ),
        ),
        Scenario(
            'zone-unannounced',
            load=0.6,
            duration_s=_ZONE_S,
            zone_actions=(
                ZoneAction(_GONE_S, 1, 'stop'),
                ZoneAction(_RETURNS_S, 1, 'start-cold'),
            ),
        ),
        Scenario(
            'cold-turn',
            load=0.6,
            duration_s=_STEADY_S,
            zone_controls=(ZoneControl(_LEAVES_S, 0, {'warmth': 'cold'}),),
        ),
        Scenario(
            'platform-down',
            load=0.6,
            duration_s=_STEADY_S,
            platform_controls=(
                PlatformControl(_LEAVES_S, {'table': {'mode': 'refuse'}}),
                PlatformControl(_GONE_S, {'table': {'mode': 'up'}}),
            ),
        ),
        Scenario(
            'slow-stage',
            load=0.6,
            duration_s=_STEADY_S,
            zone_controls=(
                ZoneControl(_LEAVES_S, 0, {'slow_factor': 4.0}),
                ZoneControl(_GONE_S, 0, {'slow_factor': 1.0}),
            ),
        ),
    )
}
