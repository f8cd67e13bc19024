"""The state common to all upstreams: warmth, limits and calls in flight."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from standins.load import LoadHistory, LoadSnapshot, Usage, Warmth
from standins.upstream_faults import UpstreamControl, UpstreamFaults

if TYPE_CHECKING:
    from standins.history import History
    from standins.http import JsonHandler

# Factor by which calls take longer on a cold upstream.
_COLD_SLOWDOWN_FACTOR = 2.0


@final
@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """The identity, address and limits of an upstream."""

    name: str
    pool: str
    zone: str
    host: str
    port: int
    cold_limit: int = 1
    warm_limit: int = 8
    # An incarnation becomes warm after so many seconds or so many calls,
    # whichever comes first; 0 calls means that only the time counts.
    warm_after_s: float = 5
    warm_after_calls: int = 0
    is_cold_at_start: bool = False
    incarnation: int = 1
    # Seconds by which load reports lag.
    load_lag_s: float = 0.3


class Upstream:
    """Tracks calls in flight; restarts when overloaded while cold."""

    def __init__(self, options: UpstreamOptions, history: History) -> None:
        """Start the first incarnation."""
        self.options = options
        self.history = history
        self.faults = UpstreamFaults()
        self.incarnation = options.incarnation
        now = time.monotonic()
        self._warmth = Warmth(
            options.warm_after_s, options.warm_after_calls, now
        )
        self._warmth.reset(is_cold=options.is_cold_at_start, now=now)
        self._in_flight_by_call: dict[int, JsonHandler] = {}
        self._next_call = 0
        self.usage = Usage()
        self._load_history = LoadHistory(options.load_lag_s)
        self._record_start()

    @property
    def is_cold(self) -> bool:
        """Return whether the upstream is cold now."""
        return self._warmth.is_cold(time.monotonic())

    @property
    def limit(self) -> int:
        """Return the current limit on concurrent calls."""
        if self.is_cold:
            return self.options.cold_limit
        return self.options.warm_limit

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return len(self._in_flight_by_call)

    def slowdown_factor(self) -> float:
        """Return the factor by which calls take longer now.

        Calls slow down in proportion to the load above the warm limit.
        """
        share = self.in_flight / self.options.warm_limit
        slowdown_factor = self.faults.slow_factor * max(1, share)
        if self.is_cold:
            return slowdown_factor * _COLD_SLOWDOWN_FACTOR
        return slowdown_factor

    def current_load(self) -> LoadSnapshot:
        """Return the current load."""
        return LoadSnapshot(
            self.incarnation,
            self.is_cold,
            self.in_flight,
            self.limit,
            sum(self.usage.units_by_stage.values()),
        )

    def reported_load(self) -> LoadSnapshot:
        """Return the load for a report, which lags by ``load_lag_s``."""
        self._load_history.record(self.current_load(), time.monotonic())
        return self._load_history.reported()

    def start_call(
        self, handler: JsonHandler, call_fields: dict[str, object]
    ) -> int | None:
        """Start a call and return its number.

        Returns None if the call exceeded the limit of a cold upstream, which
        drops all calls and restarts.
        """
        self._next_call += 1
        call = self._next_call
        self._in_flight_by_call[call] = handler
        self._record('started', call, call_fields)
        if self.is_cold and self.in_flight > self.options.cold_limit:
            self.usage.cold_overshoots += 1
            self.usage.breaks += 1
            self.restart()
            return None
        return call

    def end_call(
        self, call: int, call_fields: dict[str, object], units: int
    ) -> None:
        """Record a call that ran to the end."""
        self._remove_call(call, 'ended', call_fields)
        self.usage.count(call_fields, units)
        self._warmth.count_call()

    def cancel_call(
        self, call: int, call_fields: dict[str, object], units: int
    ) -> None:
        """Record a call that was cancelled."""
        self._remove_call(call, 'cancelled', call_fields)
        self.usage.count(call_fields, units)

    def restart(self, is_cold: bool = True) -> None:
        """Drop every call in flight and start a new incarnation."""
        handlers = list(self._in_flight_by_call.values())
        self._in_flight_by_call.clear()
        self.history.record(
            'broke', incarnation=self.incarnation, dropped=len(handlers)
        )
        self.incarnation += 1
        self._warmth.reset(is_cold=is_cold, now=time.monotonic())
        self._record_start()
        for handler in handlers:
            handler.drop()

    def record_refusal(
        self, call_fields: dict[str, object], reason: str
    ) -> None:
        """Record a call that was refused before it ran."""
        self._record('refused', 0, {**call_fields, 'reason': reason})

    def apply_control(self, control: UpstreamControl) -> None:
        """Apply a control request."""
        now = time.monotonic()
        self.faults.apply(control, now)
        changes = control.model_dump(exclude_unset=True)
        self.history.record('control', control=changes)
        if control.warmth is not None:
            self._warmth.reset(control.warmth == 'cold', now)
            self.history.record(
                control.warmth,
                incarnation=self.incarnation,
                in_flight=self.in_flight,
            )

    def _remove_call(
        self, call: int, event: str, call_fields: dict[str, object]
    ) -> None:
        if self._in_flight_by_call.pop(call, None) is None:
            return
        self._record(event, call, call_fields)

    def _record(
        self, event: str, call: int, call_fields: dict[str, object]
    ) -> None:
        self._load_history.record(self.current_load(), time.monotonic())
        self.history.record(
            event,
            call=call,
            incarnation=self.incarnation,
            is_cold=self.is_cold,
            in_flight=self.in_flight,
            limit=self.limit,
            **call_fields,
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
