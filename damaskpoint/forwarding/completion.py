"""Decides whether a request can be answered before a shutdown ends.

A request is checked when it is planned and again before each send, since its
stages may take longer than planned.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.run_times import RunTimes, measure_work

if TYPE_CHECKING:
    from damaskpoint.entry.shutdown import ShutdownState
    from damaskpoint.forwarding.request import CallerRequest

# Retry-After of a refusal (seconds). It is short, as the caller opens a new
# connection, which the balancer routes to another instance.
_RETRY_AFTER_S: Final = 0.05


@final
class CompletionCheck:
    """Refuses requests whose answer the end of a shutdown would interrupt.

    Times are monotonic seconds.
    """

    def __init__(self, shutdown: ShutdownState) -> None:
        """Start without run times."""
        self._shutdown = shutdown
        self._run_times = RunTimes()

    def record_run(self, request: CallerRequest, took_s: float) -> None:
        """Record the seconds from a send to the end of its answer."""
        size = measure_work(request)
        self._run_times.record(request.route.name, size, took_s)

    def check(
        self, request: CallerRequest, stages_s: float, now: float
    ) -> Failure | None:
        """Return why a request must not be sent after ``stages_s`` seconds.

        The balancer cannot know of the shutdown before the drain begins, so a
        request that arrived earlier is sent if it will probably be answered;
        a later one only if that is nearly certain.
        """
        if not self._shutdown.is_shutting_down:
            return None
        left_s = self._shutdown.remaining_s(now)
        if request.ends_at - now <= left_s:
            return None
        route = request.route.name
        size = measure_work(request)
        if self._shutdown.is_draining_at(request.arrived_at):
            run_s = self._run_times.bound_s(route, size)
        else:
            run_s = self._run_times.mean_s(route, size)
        if stages_s + run_s <= left_s:
            return None
        return Failure(
            Code.SHUTTING_DOWN,
            'too late for a whole answer',
            retry_after_s=_RETRY_AFTER_S,
        )
