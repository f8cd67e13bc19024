"""What all upstreams are made of: warmth, limits, work in flight."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from standins.load import LoadLog, LoadSnapshot, Usage, Warmth
from standins.upstream_faults import UpstreamControl, UpstreamFaults

if TYPE_CHECKING:
    from standins.history import History
    from standins.http import JsonHandler

_COLD_SLOWNESS = 2.0


@final
@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Who an upstream is and what it bears."""

    name: str
    pool: str
    zone: str
    host: str
    port: int
    cold_limit: int = 1
    warm_limit: int = 8
    # Seconds of an incarnation, or calls in it, after which it is warm;
    # 0 calls means that only the time counts.
    warm_after_s: float = 5
    warm_after_calls: int = 0
    is_cold_at_start: bool = False
    incarnation: int = 1
    # Seconds by which load reports lag.
    load_lag_s: float = 0.3


class Upstream:
    """Counts the work in flight and breaks when cold and overloaded."""

    def __init__(self, options: UpstreamOptions, history: History) -> None:
        """Start an incarnation."""
        self.options = options
        self.history = history
        self.faults = UpstreamFaults()
        self.incarnation = options.incarnation
        now = time.monotonic()
        self._warmth = Warmth(
            options.warm_after_s, options.warm_after_calls, now
        )
        self._warmth.turn(is_cold=options.is_cold_at_start, now=now)
        self._in_flight_by_call: dict[int, JsonHandler] = {}
        self._next_call = 0
        self.usage = Usage()
        self._loads = LoadLog(options.load_lag_s)
        self._record_start()

    @property
    def is_cold(self) -> bool:
        """Tell whether the upstream is cold, after the time that passed."""
        return self._warmth.is_cold(time.monotonic())

    @property
    def limit(self) -> int:
        """Return the calls at once that the upstream bears now."""
        if self.is_cold:
            return self.options.cold_limit
        return self.options.warm_limit

    @property
    def in_flight(self) -> int:
        """Return the number of calls inside."""
        return len(self._in_flight_by_call)

    def slowness(self) -> float:
        """Return how many times as long a call takes now."""
        share = self.in_flight / self.options.warm_limit
        slowness = self.faults.slow_factor * max(1, share)
        if self.is_cold:
            return slowness * _COLD_SLOWNESS
        return slowness

    def measure(self) -> LoadSnapshot:
        """Return the load as it is now."""
        return LoadSnapshot(
            self.incarnation,
            self.is_cold,
            self.in_flight,
            self.limit,
            sum(self.usage.units_by_stage.values()),
        )

    def report(self) -> LoadSnapshot:
        """Return the load as it was a lag ago, or at the first sight."""
        self._loads.note(self.measure(), time.monotonic())
        return self._loads.show()

    def start(
        self, handler: JsonHandler, about: dict[str, object]
    ) -> int | None:
        """Let a call in and return its number; None if it broke all."""
        self._next_call += 1
        call = self._next_call
        self._in_flight_by_call[call] = handler
        self._record('started', call, about)
        if self.is_cold and self.in_flight > self.options.cold_limit:
            self.usage.cold_overshoots += 1
            self.usage.breaks += 1
            self.restart()
            return None
        return call

    def end(self, call: int, about: dict[str, object], units: int) -> None:
        """Count a call that ran to its end."""
        self._leave(call, 'ended', about)
        self.usage.count(about, units)
        self._warmth.count_call()

    def cancel(self, call: int, about: dict[str, object], units: int) -> None:
        """Count a call that ended early."""
        self._leave(call, 'cancelled', about)
        self.usage.count(about, units)

    def restart(self, is_cold: bool = True) -> None:
        """Drop every call inside and start a new incarnation."""
        handlers = list(self._in_flight_by_call.values())
        self._in_flight_by_call.clear()
        self.history.record(
            'broke', incarnation=self.incarnation, dropped=len(handlers)
        )
        self.incarnation += 1
        self._warmth.turn(is_cold=is_cold, now=time.monotonic())
        self._record_start()
        for handler in handlers:
            handler.drop()

    def refuse(self, about: dict[str, object], reason: str) -> None:
        """Note a call that was not run."""
        self._record('refused', 0, {**about, 'reason': reason})

    def control(self, control: UpstreamControl) -> None:
        """Put a control request in force."""
        now = time.monotonic()
        self.faults.apply(control, now)
        wanted = control.model_dump(exclude_unset=True)
        self.history.record('control', control=wanted)
        if control.warmth is not None:
            self._warmth.turn(control.warmth == 'cold', now)
            self.history.record(
                control.warmth,
                incarnation=self.incarnation,
                in_flight=self.in_flight,
            )

    def _leave(self, call: int, event: str, about: dict[str, object]) -> None:
        if self._in_flight_by_call.pop(call, None) is None:
            return
        self._record(event, call, about)

    def _record(self, event: str, call: int, about: dict[str, object]) -> None:
        self._loads.note(self.measure(), time.monotonic())
        self.history.record(
            event,
            call=call,
            incarnation=self.incarnation,
            is_cold=self.is_cold,
            in_flight=self.in_flight,
            limit=self.limit,
            **about,
        )

    def _record_start(self) -> None:
        options = self.options
        self.history.record(
            'incarnation',
            incarnation=self.incarnation,
            pool=options.pool,
            zone=options.zone,
            is_cold=self.is_cold,
            cold_limit=options.cold_limit,
            warm_limit=options.warm_limit,
        )
