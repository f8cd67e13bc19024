"""The experiments: the offered load and the faults during each run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final


@final
@dataclass(frozen=True, slots=True)
class SheetStep:
    """A command of the sheet tool that runs at a given time."""

    at_s: float
    arguments: tuple[str, ...]


@final
@dataclass(frozen=True, slots=True)
class ZoneAction:
    """An action on all upstreams of one zone, such as stop or start."""

    at_s: float
    # Position of the zone in the profile's sheet.
    zone: int
    action: str


@final
@dataclass(frozen=True, slots=True)
class ZoneControl:
    """A control request to every upstream of one zone at a given time."""

    at_s: float
    # Position of the zone in the profile's sheet.
    zone: int
    control: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class PlatformControl:
    """A control request to the platform that sets or clears faults."""

    at_s: float
    faults: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment; its times are seconds from the start of the load."""

    name: str
    # Offered rate as a multiple of the engines' capacity.
    load: float
    duration_s: float
    burst_factor: float = 1
    sheet_steps: tuple[SheetStep, ...] = ()
    zone_actions: tuple[ZoneAction, ...] = ()
    zone_controls: tuple[ZoneControl, ...] = ()
    platform_controls: tuple[PlatformControl, ...] = ()
    # Position of the zone that ``sheet_steps`` act on; -1 for none.
    zone: int = -1


_FIRST_EVENT_AT_S: Final = 8.0
_SECOND_EVENT_AT_S: Final = 12.0
_RECOVERY_AT_S: Final = 20.0

_RUN_S: Final = 20.0
_ZONE_RUN_S: Final = 35.0

SCENARIOS_BY_NAME: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario('load-0.5', load=0.5, duration_s=_RUN_S),
        Scenario('load-0.9', load=0.9, duration_s=_RUN_S),
        Scenario('load-1.2', load=1.2, duration_s=_RUN_S),
        Scenario('load-2.0', load=2.0, duration_s=_RUN_S),
        Scenario('bursts', load=0.5, duration_s=_RUN_S, burst_factor=4),
        Scenario(
            'zone',
            load=0.6,
            duration_s=_ZONE_RUN_S,
            zone=1,
            sheet_steps=(
                SheetStep(_FIRST_EVENT_AT_S, ('zone', 'out')),
                SheetStep(_RECOVERY_AT_S, ('zone', 'in')),
            ),
            zone_actions=(
                ZoneAction(_SECOND_EVENT_AT_S, 1, 'stop'),
                ZoneAction(_RECOVERY_AT_S, 1, 'start-cold'),
            ),
        ),
        Scenario(
            'zone-unannounced',
            load=0.6,
            duration_s=_ZONE_RUN_S,
            zone_actions=(
                ZoneAction(_SECOND_EVENT_AT_S, 1, 'stop'),
                ZoneAction(_RECOVERY_AT_S, 1, 'start-cold'),
            ),
        ),
        Scenario(
            'cold-turn',
            load=0.6,
            duration_s=_RUN_S,
            zone_controls=(
                ZoneControl(_FIRST_EVENT_AT_S, 0, {'warmth': 'cold'}),
            ),
        ),
        Scenario(
            'platform-down',
            load=0.6,
            duration_s=_RUN_S,
            platform_controls=(
                PlatformControl(
                    _FIRST_EVENT_AT_S, {'table': {'mode': 'refuse'}}
                ),
                PlatformControl(_SECOND_EVENT_AT_S, {'table': {'mode': 'up'}}),
            ),
        ),
        Scenario(
            'slow-stage',
            load=0.6,
            duration_s=_RUN_S,
            zone_controls=(
                ZoneControl(_FIRST_EVENT_AT_S, 0, {'slow_factor': 4.0}),
                ZoneControl(_SECOND_EVENT_AT_S, 0, {'slow_factor': 1.0}),
            ),
        ),
    )
}
