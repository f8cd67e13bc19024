"""The runners that may be used, kept through outages of the registry.

A registry that was unreachable shows entries as removed that merely
lapsed: for a grace period after its return such runners stay in use, until
they are back or the period ends.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Runner

# Entries that lapsed in an outage are back this long after it (seconds):
# stated by the platform as about two.
RESTORE_S: Final = 2.0


@final
@dataclass(slots=True)
class _Held:
    """A runner, and what was learned of it since."""

    runner: Runner
    cold_until: float
    # When an entry that was removed just after an outage counts as gone.
    gone_at: float | None = None


@final
class RunnerTable(StateSource):
    """All runners that are known; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without runners, as in an outage that has not ended."""
        self._held_by_name: dict[str, _Held] = {}
        self._runners_by_service: dict[str, tuple[Runner, ...]] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._is_reachable = False
        self._restored_at = float('-inf')
        self._read_at = float('-inf')

    # Commands.

    def note_outage(self) -> None:
        """Note that the registry cannot be read."""
        self._is_reachable = False

    def note_recovery(self, now: float) -> None:
        """Note that the registry was read."""
        self._read_at = now
        if self._is_reachable:
            return
        self._is_reachable = True
        self._restored_at = now

    def put(self, runner: Runner, now: float) -> None:
        """Take an entry that is new or has changed."""
        self._held_by_name[runner.name] = _Held(
            runner, now + runner.cold_left_s
        )
        self._index()

    def remove(self, name: str, now: float) -> None:
        """Take note that an entry is not there any more."""
        held = self._held_by_name.get(name)
        if held is None:
            return
        grace_end = self._restored_at + RESTORE_S
        if now < grace_end and not held.runner.is_draining:
            held.gone_at = grace_end
            return
        self._held_by_name.pop(name)
        self._index()

    def expire(self, now: float) -> None:
        """Drop the runners whose grace period has ended."""
        for name, held in tuple(self._held_by_name.items()):
            if held.gone_at is not None and held.gone_at <= now:
                self._held_by_name.pop(name)
                self._index()

    def evacuate(
        self, zones: frozenset[str], now: float, cold_s: float
    ) -> None:
        """Take the zones whose runners must not be used.

        Runners of a zone that is taken back count as cold for ``cold_s``.
        """
        returned = self._evacuated_zones - zones
        for held in self._held_by_name.values():
            if held.runner.zone in returned:
                held.cold_until = max(held.cold_until, now + cold_s)
        self._evacuated_zones = zones
        self._index()

    def note_cold(self, name: str, left_s: float, now: float) -> None:
        """Take a runner's own word of how much longer it is cold."""
        held = self._held_by_name.get(name)
        if held is not None:
            held.cold_until = now + left_s

    # Queries.

    def usable(self, service: str) -> tuple[Runner, ...]:
        """Return the runners of a service that may be sent to."""
        return self._runners_by_service.get(service, ())

    def find(self, name: str) -> Runner | None:
        """Return a runner that may be sent to, or None."""
        held = self._held_by_name.get(name)
        if held is None or not self._is_usable(held.runner):
            return None
        return held.runner

    def names(self) -> tuple[str, ...]:
        """Return the names of all runners that are known."""
        return tuple(self._held_by_name)

    def is_cold(self, name: str, now: float) -> bool:
        """Return whether a runner counts as cold."""
        held = self._held_by_name.get(name)
        return held is not None and now < held.cold_until

    def age_s(self, now: float) -> float:
        """Return how long ago the registry was last read."""
        return now - self._read_at

    def __len__(self) -> int:
        """Return how many runners are known."""
        return len(self._held_by_name)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return each runner with what keeps it out of use."""
        runners_by_name: dict[str, object] = {}
        for name, held in self._held_by_name.items():
            runners_by_name[name] = {
                'service': held.runner.service,
                'zone': held.runner.zone,
                'draining': held.runner.is_draining,
                'cold_s': round(max(float(0), held.cold_until - now), 3),
                'lapsed': held.gone_at is not None,
            }
        return {
            'reachable': self._is_reachable,
            'evacuated': sorted(self._evacuated_zones),
            'runners_by_name': runners_by_name,
        }

    # Steps.

    def _is_usable(self, runner: Runner) -> bool:
        if runner.is_draining:
            return False
        return runner.zone not in self._evacuated_zones

    def _index(self) -> None:
        grouped: dict[str, list[Runner]] = {}
        for held in self._held_by_name.values():
            if self._is_usable(held.runner):
                grouped.setdefault(held.runner.service, []).append(held.runner)
        self._runners_by_service = {
            service: tuple(sorted(runners, key=_by_name))
            for service, runners in grouped.items()
        }


def _by_name(runner: Runner) -> str:
    return runner.name
