"""Decides whether a failed call is retried, and how it is reported."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.routing.base import CallEnd

# Ends of calls that certainly no upstream ran.
_NOT_RUN = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE, CallEnd.OVERLOADED))
# Ends of calls that never reached an upstream.
_NOT_SENT = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))
# Ends after which another upstream may succeed.
_RETRYABLE = frozenset(
    (
        CallEnd.FAILED,
        CallEnd.BROKEN,
        CallEnd.TIMED_OUT,
        CallEnd.MISMATCHED,
    )
)

_CODES_BY_END = {
    CallEnd.FAILED: Code.UPSTREAM_FAILED,
    CallEnd.OVERLOADED: Code.UPSTREAM_OVERLOADED,
    CallEnd.REFUSED: Code.UPSTREAM_REFUSED,
    CallEnd.UNREACHABLE: Code.UPSTREAM_UNREACHABLE,
    CallEnd.BROKEN: Code.UPSTREAM_BROKEN,
    CallEnd.TIMED_OUT: Code.UPSTREAM_TIMEOUT,
    CallEnd.MISMATCHED: Code.UPSTREAM_MISMATCHED,
    CallEnd.UNUSED: Code.NO_UPSTREAM,
    CallEnd.CANCELLED: Code.CALLER_LEFT,
}


@final
class RetryDecision(enum.Enum):
    """What to do after a failed call."""

    # Retry outside the retry budget, since the call was never sent.
    REPEAT_UNSENT = 'repeat_unsent'
    # Retry if the retry budget allows it.
    REPEAT_ON_BUDGET = 'repeat_on_budget'
    GIVE_UP = 'give_up'


@final
@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts at one call so far."""

    is_idempotent: bool
    # Attempts that may have reached an upstream, and those that did not.
    sent: int
    unsent: int
    # Seconds until the deadline of the call.
    remaining_s: float
    # First-quartile time of the stage in seconds; 0 if unknown.
    fast_s: float


def decide_retry(end: CallEnd, history: AttemptHistory) -> RetryDecision:
    """Return what to do after a call that failed with this end."""
    if history.remaining_s <= history.fast_s:
        return RetryDecision.GIVE_UP
    if end in _NOT_SENT:
        if history.unsent < defaults.MAX_UNSENT_ATTEMPTS:
            return RetryDecision.REPEAT_UNSENT
        return RetryDecision.GIVE_UP
    if history.sent >= defaults.MAX_ATTEMPTS:
        return RetryDecision.GIVE_UP
    if end in _NOT_RUN:
        return RetryDecision.REPEAT_ON_BUDGET
    if history.is_idempotent and end in _RETRYABLE:
        return RetryDecision.REPEAT_ON_BUDGET
    return RetryDecision.GIVE_UP


def describe_end(end: CallEnd, is_idempotent: bool, detail: str) -> Failure:
    """Return the failure to report for a call that is not retried.

    Once a non-idempotent call may have reached its upstream, it is unknown
    whether it ran: an upstream that answered with an error has read the
    call, and may have run it.
    """
    code = _CODES_BY_END[end]
    retry_after_s = 1.0 if code in _RETRY_AFTER_CODES else None
    if end in _NOT_RUN:
        return Failure(code, detail, Ran.NO, retry_after_s)
    if is_idempotent:
        return Failure(code, detail, Ran.UNKNOWN, retry_after_s)
    return Failure(Code.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


# Failures after which the caller should retry in one second.
_RETRY_AFTER_CODES = frozenset((Code.UPSTREAM_OVERLOADED, Code.NO_UPSTREAM))
