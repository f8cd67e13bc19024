"""Sends a request to one runner after the other until one has answered."""

from __future__ import annotations

import http
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog.model import RequestKind
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding import metrics
from damaskpoint.forwarding.exchange import (
    BrokenAnswerError,
    RunnerRequest,
    broken_answer_failure,
)
from damaskpoint.forwarding.sender import send
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.choosing import RunnerChooser
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.relay import Relay
    from damaskpoint.forwarding.request import CallerRequest
    from damaskpoint.forwarding.sender import Opened

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Failures that say nothing against their runner.
_SOUND_CODES: Final = frozenset((Code.UPSTREAM_OVERLOADED, Code.RESULT_LOST))
# Sends of one request, those included that a runner did not run.
_MAX_SENDS: Final = 4
# Part of the time left after which a request that may be repeated is given
# to another runner if there is no answer, and its least length (seconds).
_PATIENCE_SHARE: Final = 0.4
_PATIENCE_S: Final = 0.3


@final
class Attempts:
    """The sends of one request."""

    def __init__(
        self,
        parts: ForwardingContext,
        request: CallerRequest,
        service: str,
        chooser: RunnerChooser,
        relay: Relay,
    ) -> None:
        """Send this request to runners of a service."""
        self._parts = parts
        self._request = request
        self._route = request.route
        self._service = service
        self._chooser = chooser
        self._relay = relay
        self._failed: set[str] = set()
        self._sends = 0
        # Runners that may have run the request.
        self._runs = 0
        # Whether a runner may have run it; set before each send.
        self.ran = Ran.NO

    async def run(self, results: Sequence[str]) -> Failure | None:
        """Return None once the request is answered, else why it is not.

        ``results`` are the handles that the runner takes as input.
        """
        last = Failure(Code.NO_UPSTREAM, self._service)
        while self._may_send_again(last):
            runner = self._chooser.choose(self._failed, time.monotonic())
            if runner is None or not self._spend():
                break
            failure = await self._try_runner(runner, results)
            if failure is None:
                return None
            last = failure
            self._failed.add(runner.name)
            if failure.ran is not Ran.NO:
                self._runs += 1
        return last

    def _may_send_again(self, last: Failure) -> bool:
        if last.code is Code.RESULT_LOST:
            return False
        if self._sends >= _MAX_SENDS or self._runs >= self._route.max_attempts:
            return False
        if self._runs and not self._route.is_repeatable:
            return False
        return not self._relay.is_started or bool(self._relay.last_event_id)

    def _spend(self) -> bool:
        """Count a send; return whether the budget allows it."""
        self._sends += 1
        budget = self._parts.budgets.find(self._service)
        if self._sends == 1:
            budget.record_first_try()
            return True
        if budget.spend():
            return True
        _LOG.info(
            'not sent again, the budget is spent',
            extra={
                'request': self._request.request_id,
                'service': self._service,
            },
        )
        return False

    async def _try_runner(
        self, runner: Runner, results: Sequence[str]
    ) -> Failure | None:
        began_at = time.monotonic()
        ran_before = self.ran
        self.ran = Ran.UNKNOWN
        self._parts.loads.begin(runner.name)
        try:
            failure = await self._exchange(runner, results, began_at)
        finally:
            self._parts.loads.end(runner.name)
        if failure is not None and failure.ran is Ran.NO:
            self.ran = ran_before
        self._record(runner, failure, began_at)
        return failure

    async def _exchange(
        self, runner: Runner, results: Sequence[str], began_at: float
    ) -> Failure | None:
        left_s = self._request.ends_at - began_at
        opened = await send(
            self._parts,
            runner,
            self._create_request(runner, left_s, results),
            self._request.request_id,
            self._limit_head_s(runner, left_s),
        )
        if isinstance(opened, Failure):
            return opened
        try:
            return await self._take_answer(opened, began_at)
        except BrokenAnswerError as error:
            return broken_answer_failure(error)
        finally:
            opened.exchange.close()

    async def _take_answer(
        self, opened: Opened, began_at: float
    ) -> Failure | None:
        head = opened.head
        if head.is_success and self._route.kind is RequestKind.STREAM:
            took_s = time.monotonic() - began_at
            self._parts.first_events.record(self._service, took_s)
            await self._relay.pass_events(opened)
            return None
        is_failed = head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failed:
            self._parts.health.note_failure(
                opened.runner.name, time.monotonic()
            )
        if is_failed and self._has_another_try():
            return Failure(Code.UPSTREAM_FAILED, f'HTTP {head.status}', Ran.YES)
        return await self._relay.pass_whole(opened)

    def _has_another_try(self) -> bool:
        if not self._route.is_repeatable:
            return False
        return self._runs + 1 < self._route.max_attempts

    def _limit_head_s(self, runner: Runner, left_s: float) -> float:
        """Return how long to wait for the head of the answer."""
        if not self._has_another_try():
            return left_s
        tried = self._failed | {runner.name}
        if not self._chooser.has_other(tried, time.monotonic()):
            return left_s
        return min(left_s, max(_PATIENCE_S, left_s * _PATIENCE_SHARE))

    def _create_request(
        self, runner: Runner, left_s: float, results: Sequence[str]
    ) -> RunnerRequest:
        request = self._request
        account = request.account
        headers = requests.create_runner_headers(
            request.headers,
            runner,
            account.name if account else None,
            left_s,
        )
        requests.add_stage_results(headers, results)
        if request.metadata.prompt:
            requests.add_priority(headers, self._route.priority)
        last_id = self._relay.last_event_id or request.metadata.last_event_id
        if last_id is not None:
            requests.add_resume(headers, last_id)
        return RunnerRequest(
            request.method, request.target, headers, request.body
        )

    def _record(
        self, runner: Runner, failure: Failure | None, began_at: float
    ) -> None:
        now = time.monotonic()
        if failure and failure.code not in _SOUND_CODES:
            self._parts.health.note_failure(runner.name, now)
        end = failure.code.value if failure else 'answered'
        metrics.SENDS.inc({'service': self._service, 'end': end})
        _LOG.info(
            'sent',
            extra={
                'request': self._request.request_id,
                'runner': runner.name,
                'zone': runner.zone,
                'end': end,
                'reason': failure.detail if failure else '',
                'ran': failure.ran.value if failure else Ran.YES.value,
                'took_ms': round((now - began_at) * _MS),
                'left_ms': round((self._request.ends_at - began_at) * _MS),
                'entries_age_ms': round(
                    self._parts.catalog.runners.age_s(now) * _MS
                ),
            },
        )
