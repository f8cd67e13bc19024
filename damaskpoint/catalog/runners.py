"""The table of usable runners, which survives outages of the registry.

After an outage the registry reports an entry as removed even if it only lapsed
during the outage, which takes some seconds. Such runners stay in use until they
are registered again, or until a grace period ends. The same holds after a
restore of the registry from a copy; runners that are known to leave or to be
gone stay excluded then.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog.start_memory import StartMemory
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.catalog.model import Runner

# Time after an outage until entries that lapsed in it are registered again
# (seconds); the platform states that it is about two.
RESTORE_GRACE_S: Final = 2.0
# Shortest outage in which an entry may lapse (seconds): a runner's entry is
# removed after three of its heartbeats are missing.
_MIN_LAPSE_S: Final = 2.0
# Longest time from the end of an outage until entries that lapsed in it are no
# longer used (seconds), and the shortest grace period. An outage may have ended
# right after the last call that failed.
_MAX_RESTORE_S: Final = 2.6
_MIN_GRACE_S: Final = 1.0


@final
@dataclass(slots=True)
class _RunnerState:
    """A runner's entry and its state since."""

    runner: Runner
    cold_until: float
    # When an entry that was removed just after an outage is dropped.
    expires_at: float | None = None


@final
class RunnerTable(StateSource):
    """All known runners; times are monotonic seconds."""

    def __init__(self) -> None:
        """Create an empty table, in the state of an outage."""
        self._states_by_name: dict[str, _RunnerState] = {}
        self._runners_by_service: dict[str, tuple[Runner, ...]] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._leaving = StartMemory()
        self._removed = StartMemory()
        self._is_reachable = False
        self._unreachable_since = float('-inf')
        # When the last call that failed was sent.
        self._failed_at = float('-inf')
        # Until when entries that are removed may have lapsed in an outage.
        self._grace_ends_at = float('-inf')
        self._read_at = float('-inf')

    # Commands.

    def record_outage(self, sent_at: float, now: float) -> None:
        """Record that a call for the registry, sent before, has failed."""
        if self._is_reachable:
            self._unreachable_since = now
        self._is_reachable = False
        self._failed_at = sent_at

    def record_read(self, now: float) -> None:
        """Record that the registry was read."""
        unread_s = now - self._read_at
        self._read_at = now
        if self._is_reachable:
            return
        self._is_reachable = True
        if unread_s < _MIN_LAPSE_S:
            return
        grace_s = max(_MIN_GRACE_S, self._failed_at + _MAX_RESTORE_S - now)
        self._grace_ends_at = now + min(RESTORE_GRACE_S, grace_s)
        for state in self._states_by_name.values():
            if state.expires_at is not None:
                # Entries are not registered again during an outage.
                state.expires_at += now - self._unreachable_since

    def put(self, runner: Runner, now: float) -> None:
        """Add a runner, or replace its entry."""
        if runner.is_draining and runner.started_ms:
            self._leaving.add(runner.name, runner.started_ms, now)
        self._states_by_name[runner.name] = _RunnerState(
            runner, now + runner.cold_left_s
        )
        self._removed.discard(runner.name)
        self._index()

    def restore(
        self, runners: Iterable[Runner], now: float, grace_s: float
    ) -> None:
        """Apply the entries of a registry that was restored from a copy.

        Entries of a known start only change to draining, and missing ones
        stay for ``grace_s`` seconds. Runners that were removed do not return.
        """
        present = set()
        for runner in runners:
            present.add(runner.name)
            state = self._states_by_name.get(runner.name)
            if _is_news(runner, state) and not self._removed.covers(runner):
                self.put(runner, now)
        for name, known in self._states_by_name.items():
            if name not in present:
                known.expires_at = now + grace_s

    def mark_leaving(self, name: str, started_ms: int, now: float) -> bool:
        """Exclude a start of a runner that announced its exit.

        Returns whether this was not known.
        """
        if not self._leaving.add(name, started_ms, now):
            return False
        self._index()
        return True

    def remove(self, name: str, now: float) -> None:
        """Remove a runner whose entry is no longer registered.

        Just after an outage the runner stays in use until the grace period
        ends, unless it is draining.
        """
        state = self._states_by_name.get(name)
        if state is None:
            return
        if now < self._grace_ends_at and not state.runner.is_draining:
            state.expires_at = self._grace_ends_at
            return
        self._drop(state, now)

    def expire(self, now: float) -> None:
        """Drop removed runners whose grace period has ended."""
        self._leaving.expire(now)
        self._removed.expire(now)
        if not self._is_reachable:
            return
        for state in tuple(self._states_by_name.values()):
            if state.expires_at is not None and state.expires_at <= now:
                self._drop(state, now)

    def evacuate(
        self, zones: frozenset[str], now: float, cold_s: float
    ) -> None:
        """Set the zones whose runners must not be used.

        Runners of a zone that is no longer evacuated count as cold for
        ``cold_s`` seconds.
        """
        returned = self._evacuated_zones - zones
        for state in self._states_by_name.values():
            if state.runner.zone in returned:
                state.cold_until = max(state.cold_until, now + cold_s)
        self._evacuated_zones = zones
        self._index()

    def record_cold(self, name: str, left_s: float, now: float) -> None:
        """Record the remaining cold time that a runner reports itself."""
        state = self._states_by_name.get(name)
        if state is not None:
            state.cold_until = now + left_s

    # Queries.

    def usable(self, service: str) -> tuple[Runner, ...]:
        """Return the runners of a service that requests may be sent to."""
        return self._runners_by_service.get(service, ())

    def find(self, name: str) -> Runner | None:
        """Return a runner that requests may be sent to, or None."""
        state = self._states_by_name.get(name)
        if state is None or not self._is_usable(state.runner):
            return None
        return state.runner

    def known(self) -> tuple[Runner, ...]:
        """Return all known runners, also those not usable."""
        return tuple(state.runner for state in self._states_by_name.values())

    def is_cold(self, name: str, now: float) -> bool:
        """Return whether a runner counts as cold."""
        state = self._states_by_name.get(name)
        return state is not None and now < state.cold_until

    def age_s(self, now: float) -> float:
        """Return how long ago the registry was last read."""
        return now - self._read_at

    def __len__(self) -> int:
        """Return the number of known runners."""
        return len(self._states_by_name)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state of the registry and of each runner."""
        runners_by_name: dict[str, object] = {}
        for name, state in self._states_by_name.items():
            runners_by_name[name] = {
                'service': state.runner.service,
                'zone': state.runner.zone,
                'started_ms': state.runner.started_ms,
                'version': state.runner.version,
                'draining': state.runner.is_draining,
                'leaving': self._leaving.covers(state.runner),
                'cold_s': round(max(float(0), state.cold_until - now), 3),
                'lapsed': state.expires_at is not None,
            }
        return {
            'reachable': self._is_reachable,
            'evacuated': sorted(self._evacuated_zones),
            'runners_by_name': runners_by_name,
        }

    # Helpers.

    def _drop(self, state: _RunnerState, now: float) -> None:
        runner = state.runner
        self._states_by_name.pop(runner.name)
        self._removed.add(runner.name, runner.started_ms, now)
        if not runner.started_ms:
            # Without a start time, the next entry may be another start.
            self._leaving.discard(runner.name)
        self._index()

    def _is_usable(self, runner: Runner) -> bool:
        if runner.is_draining or self._leaving.covers(runner):
            return False
        return runner.zone not in self._evacuated_zones

    def _index(self) -> None:
        grouped: dict[str, list[Runner]] = {}
        for state in self._states_by_name.values():
            if self._is_usable(state.runner):
                grouped.setdefault(state.runner.service, []).append(
                    state.runner
                )
        self._runners_by_service = {
            service: tuple(sorted(runners, key=_by_name))
            for service, runners in grouped.items()
        }


def _by_name(runner: Runner) -> str:
    return runner.name


def _is_news(runner: Runner, state: _RunnerState | None) -> bool:
    """Return whether an entry of a copy tells more than is known."""
    if state is None or runner.started_ms > state.runner.started_ms:
        return True
    is_same = runner.started_ms == state.runner.started_ms
    return is_same and runner.is_draining
