"""Sends a request to one runner after another until one answers."""

from __future__ import annotations

import http
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog.model import RequestKind
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding import metrics
from damaskpoint.forwarding.choosing import RunnerChooser
from damaskpoint.forwarding.exchange import (
    BrokenAnswerError,
    Ending,
    RunnerRequest,
    broken_answer_failure,
)
from damaskpoint.forwarding.relay import Progress
from damaskpoint.forwarding.sender import send
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.exchange import Exchange
    from damaskpoint.forwarding.relay import Relay
    from damaskpoint.forwarding.request import CallerRequest
    from damaskpoint.forwarding.sender import OpenAnswer
    from damaskpoint.quarantine.guard import PromptRun
    from damaskpoint.rollout.visits import Visit

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Codes of failures that do not count against the health of the runner.
_HEALTHY_CODES: Final = frozenset(
    (Code.UPSTREAM_OVERLOADED, Code.RESULT_LOST, Code.NO_UPSTREAM)
)
# Endings of answers whose runner may have crashed.
_BROKEN_ENDINGS: Final = frozenset((Ending.CLOSED, Ending.SOCKET_ERROR))
# Maximum sends of one request, including those that the runner did not run.
_MAX_SENDS: Final = 4
# Timeout for the head of an answer if the request can be retried at another
# runner, as a share of the time left, and the shortest timeout (seconds).
_ANSWER_TIMEOUT_SHARE: Final = 0.4
_MIN_ANSWER_TIMEOUT_S: Final = 0.3


@final
class Attempts:
    """The sends of one request, to different runners, until one answers."""

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        service: str,
        relay: Relay,
    ) -> None:
        """Prepare to send a request to the runners of a service."""
        self._context = context
        self._request = request
        self._route = request.route
        self._service = service
        self._chooser = RunnerChooser(
            context, service, request.metadata, None, request.route.name
        )
        self._relay = relay
        self._failed: set[str] = set()
        self._sends = 0
        # Whether the budget knows of the request.
        self._is_recorded = False
        # Number of runners that may have run the request.
        self._possible_runs = 0
        # The present send, and number of those that broke after their head.
        self._prompt_run: PromptRun | None = None
        self._broken_heads = 0
        # Fields of the last answer for the log; empty if it had no head.
        self._answer_fields: dict[str, object] = {}
        self._progress = Progress.NONE
        self._visit: Visit | None = None
        # Whether a runner may have run the request; set before each send.
        self.ran = Ran.NO

    async def run(
        self, zone: str | None, results: Sequence[str]
    ) -> Failure | None:
        """Return None once the request is answered, else the last failure.

        Prefers runners of ``zone``. ``results`` are the handles of the stage
        results that the runner takes as input. They are released when an
        answer starts: a stream that can continue at another runner then fails
        with ``RESULT_LOST`` and continues in another run with new results.
        """
        metadata = self._request.metadata
        input_bytes = sum(
            stage.result_bytes * metadata.count_pieces(stage.index)
            for stage in self._route.last_stages
        )
        self._chooser = RunnerChooser(
            self._context,
            self._service,
            metadata,
            zone,
            self._route.name,
            input_bytes,
        )
        had_started = self._relay.is_started
        last_failure = Failure(Code.NO_UPSTREAM, self._service)
        while self._may_send(last_failure):
            if results and self._relay.is_started and not had_started:
                return replace(last_failure, code=Code.RESULT_LOST)
            runner = self._choose_runner(last_failure)
            if isinstance(runner, Failure):
                return runner
            failure = await self._try_runner(runner, results)
            if failure is None:
                return None
            last_failure = failure
            if failure.code is not Code.RESULT_LOST:
                self._failed.add(runner.name)
            self._possible_runs += int(failure.ran is not Ran.NO)
            if failure.code is Code.NO_UPSTREAM:
                self._return_to_budget()
        return last_failure

    def _choose_runner(self, last_failure: Failure) -> Runner | Failure:
        """Return the runner of the next send, or why there is none."""
        now = time.monotonic()
        quarantined = self._context.prompts.check(self._request.metadata, now)
        if quarantined is not None:
            return quarantined
        runner = self._chooser.choose(self._failed, now)
        if runner is None or not self._take_from_budget():
            return last_failure
        return self._check_completion() or runner

    def _check_completion(self) -> Failure | None:
        return self._context.completion.check(
            self._request, 0, time.monotonic()
        )

    def _may_send(self, last_failure: Failure) -> bool:
        if last_failure.code is Code.RESULT_LOST:
            return False
        if (
            self._sends >= _MAX_SENDS
            or self._possible_runs >= self._route.max_attempts
        ):
            return False
        if self._possible_runs and not self._route.is_repeatable:
            return False
        return not self._relay.is_started or bool(self._relay.last_event_id)

    def _take_from_budget(self) -> bool:
        """Count a send and return whether the retry budget allows it."""
        self._sends += 1
        budget = self._context.budgets.find(self._service)
        if self._sends == 1:
            if not self._is_recorded:
                budget.record_first_attempt()
            self._is_recorded = True
            return True
        if budget.spend():
            return True
        _LOG.info(
            'not retried, the retry budget is exhausted',
            extra={
                'request': self._request.request_id,
                'service': self._service,
            },
        )
        return False

    def _return_to_budget(self) -> None:
        """Take back a send that did not reach its runner."""
        if self._sends > 1:
            self._context.budgets.find(self._service).refund()
        self._sends -= 1

    async def _try_runner(
        self, runner: Runner, results: Sequence[str]
    ) -> Failure | None:
        began_at = time.monotonic()
        ran_before = self.ran
        self.ran = Ran.UNKNOWN
        self._answer_fields = {}
        self._progress = Progress.NONE
        if self._request.metadata.prompt:
            self._prompt_run = self._context.prompts.begin_run(
                self._service,
                self._request.metadata,
                self._broken_heads,
                began_at,
            )
        self._context.loads.begin(runner.name)
        visit = self._context.versions.begin(runner, self._route, began_at)
        self._visit = visit
        try:
            failure = await self._exchange(runner, results, began_at)
        finally:
            self._context.loads.end(runner.name)
            visit.end(time.monotonic(), self._request.ends_at)
        visit.record_answer(failure, time.monotonic())
        if failure is None:
            took_s = time.monotonic() - began_at
            self._context.completion.record_run(self._request, took_s)
            self._context.capacities.record_run(self._service, took_s)
        elif failure.ran is Ran.NO:
            self.ran = ran_before
        self._record_attempt(runner, failure, began_at)
        return failure

    async def _exchange(
        self, runner: Runner, results: Sequence[str], began_at: float
    ) -> Failure | None:
        left_s = self._request.ends_at - began_at
        open_answer = await send(
            self._context,
            runner,
            self._create_request(runner, left_s, results),
            self._request.request_id,
            self._head_timeout_s(runner, left_s),
        )
        if isinstance(open_answer, Failure):
            return open_answer
        try:
            return await self._handle_answer(open_answer, began_at)
        except BrokenAnswerError as error:
            self._record_break(open_answer)
            return broken_answer_failure(error)
        finally:
            open_answer.exchange.close()
            self._record_ending(open_answer.exchange)

    async def _handle_answer(
        self, open_answer: OpenAnswer, began_at: float
    ) -> Failure | None:
        head = open_answer.head
        self._relay.begin_answer(
            self._record_begun if head.is_success else None
        )
        self._progress = Progress.HEAD
        if head.is_success:
            self._context.capacities.record_latency(
                open_answer.runner,
                self._route.name,
                began_at,
                time.monotonic(),
            )
        if head.is_success and self._route.kind is RequestKind.STREAM:
            took_s = time.monotonic() - began_at
            self._context.first_events.record(self._service, took_s)
            await self._relay.forward_events(open_answer)
            return None
        is_failed = head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failed:
            if self._visit is not None:
                self._visit.record_failed_status()
            self._context.health.record_failure(
                open_answer.runner.name, time.monotonic()
            )
        if is_failed and self._may_retry():
            return Failure(Code.UPSTREAM_FAILED, f'HTTP {head.status}', Ran.YES)
        return await self._relay.forward_whole(open_answer)

    def _may_retry(self) -> bool:
        if not self._route.is_repeatable:
            return False
        return self._possible_runs + 1 < self._route.max_attempts

    def _head_timeout_s(self, runner: Runner, left_s: float) -> float:
        """Return the timeout for the head of the answer (seconds)."""
        if not self._may_retry():
            return left_s
        tried = self._failed | {runner.name}
        if not self._chooser.has_other(tried, time.monotonic()):
            return left_s
        return min(
            left_s, max(_MIN_ANSWER_TIMEOUT_S, left_s * _ANSWER_TIMEOUT_SHARE)
        )

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

    def _record_begun(self) -> None:
        if self._visit is not None:
            self._visit.record_begun(time.monotonic())
        if self._prompt_run is not None:
            self._context.prompts.record_begun(
                self._prompt_run, time.monotonic()
            )

    def _record_break(self, open_answer: OpenAnswer) -> None:
        """Record an answer that broke before its first event.

        Its run may have crashed the runner; runs that broke without a head
        had not begun, and those with events had succeeded so far.
        """
        has_crashed = (
            open_answer.head.is_success
            and open_answer.exchange.ending in _BROKEN_ENDINGS
            and not self._relay.has_events
        )
        if has_crashed and self._prompt_run is not None:
            self._broken_heads += 1
            self._context.prompts.record_broken(
                self._prompt_run, time.monotonic()
            )

    def _record_ending(self, exchange: Exchange) -> None:
        if self._relay.has_events:
            self._progress = Progress.EVENTS
        framing = exchange.framing.value
        ending = exchange.ending.value
        self._answer_fields = {
            'framing': framing,
            'ending': ending,
            'body_bytes': exchange.body_bytes,
            'partial_event_bytes': self._relay.partial_event_bytes,
        }
        metrics.RUNNER_ANSWERS.inc(
            {'service': self._service, 'framing': framing, 'ending': ending}
        )

    def _record_attempt(
        self, runner: Runner, failure: Failure | None, began_at: float
    ) -> None:
        now = time.monotonic()
        if failure and failure.code not in _HEALTHY_CODES:
            self._context.health.record_failure(runner.name, now)
        end = failure.code.value if failure else 'answered'
        metrics.SENDS.inc({'service': self._service, 'end': end})
        if failure and failure.code is Code.UPSTREAM_BROKEN:
            metrics.RUNS_BROKEN.inc(
                {'service': self._service, 'progress': self._progress.value}
            )
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
                    self._context.catalog.runners.age_s(now) * _MS
                ),
                'progress': self._progress.value,
                'prompt_parts': list(self._request.metadata.shared_part_ids),
                'prompt_tokens': self._request.metadata.prompt_tokens,
                **self._answer_fields,
            },
        )
