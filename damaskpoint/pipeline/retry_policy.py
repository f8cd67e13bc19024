"""Whether and how a failed call is tried again."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.routing.base import CallEnd

# Ends after which it is certain that the upstream did not run the call.
_NOT_RUN = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE, CallEnd.OVERLOADED))
# Ends after which the call never reached an upstream.
_NOT_SENT = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))
# Ends that another upstream may well do better.
_REPEATABLE = frozenset(
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
    """What to do after a call that failed."""

    # Try again; the call was never sent, so no budget is drawn on.
    REPEAT_UNSENT = 'repeat_unsent'
    # Try again, if the budget allows.
    REPEAT_ON_BUDGET = 'repeat_on_budget'
    GIVE_UP = 'give_up'


@final
@dataclass(frozen=True, slots=True)
class TryHistory:
    """The tries of one stage so far."""

    is_idempotent: bool
    # Tries that reached an upstream, and tries that did not.
    sent: int
    unsent: int
    # Seconds until the stage must have ended.
    left_s: float
    # Seconds that a fast run of the stage takes.
    fast_s: float


def decide_retry(end: CallEnd, history: TryHistory) -> RetryDecision:
    """Return what to do after a call that ended so."""
    if history.left_s <= history.fast_s:
        return RetryDecision.GIVE_UP
    if end in _NOT_SENT:
        if history.unsent < defaults.MAX_UNSENT_TRIES:
            return RetryDecision.REPEAT_UNSENT
        return RetryDecision.GIVE_UP
    if history.sent >= defaults.MAX_TRIES:
        return RetryDecision.GIVE_UP
    if end in _NOT_RUN:
        return RetryDecision.REPEAT_ON_BUDGET
    if history.is_idempotent and end in _REPEATABLE:
        return RetryDecision.REPEAT_ON_BUDGET
    return RetryDecision.GIVE_UP


def describe_end(end: CallEnd, is_idempotent: bool, detail: str) -> Failure:
    """Return the failure of a call that is not tried again.

    Once a call that is not idempotent may have reached its upstream, nobody
    can tell whether it ran. An upstream that answered with an error did
    read it, and may have run it.
    """
    code = _CODES_BY_END[end]
    retry_after_s = 1.0 if code in _COME_BACK else None
    if end in _NOT_RUN:
        return Failure(code, detail, Ran.NO, retry_after_s)
    if is_idempotent:
        return Failure(code, detail, Ran.UNKNOWN, retry_after_s)
    return Failure(Code.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


_COME_BACK = frozenset((Code.UPSTREAM_OVERLOADED, Code.NO_UPSTREAM))
