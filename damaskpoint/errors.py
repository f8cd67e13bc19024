"""Failures as values: their codes, HTTP statuses and titles.

A function that can fail in an expected way returns a ``Failure`` with the
reason instead of its result. ``FailureError`` wraps a failure where only an
exception can be used, for example in a parser.
"""

from __future__ import annotations

import enum
import http
from dataclasses import dataclass
from typing import final


@final
class Ran(enum.Enum):
    """Whether an upstream executed the request that failed."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


@final
@enum.unique
class Code(enum.Enum):
    """Stable codes of failures; each has one entry in ``KINDS``."""

    # Invalid input from a caller.
    BODY_TOO_LARGE = 'body_too_large'
    BODY_MALFORMED = 'body_malformed'
    BODY_STALLED = 'body_stalled'
    HEADER_MALFORMED = 'header_malformed'
    UNKNOWN_PIPELINE = 'unknown_pipeline'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ACCOUNT = 'unknown_account'
    UNKNOWN_PATH = 'unknown_path'
    CREDENTIAL_MISSING = 'credential_missing'
    CREDENTIAL_WRONG = 'credential_wrong'
    ACCOUNT_NOT_BOUND = 'account_not_bound'
    KEY_REUSED = 'key_reused'
    # Refusals decided by the system itself.
    ACCOUNT_LIMIT = 'account_limit'
    QUEUE_FULL = 'queue_full'
    MEMORY_SHORT = 'memory_short'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    DEADLINE_PASSED = 'deadline_passed'
    NO_UPSTREAM = 'no_upstream'
    RESULT_LOST = 'result_lost'
    NOT_READY = 'not_ready'
    SHUTTING_DOWN = 'shutting_down'
    KEY_IN_PROGRESS = 'key_in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    CALLER_LEFT = 'caller_left'
    # Failures of an upstream.
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    UPSTREAM_BROKEN = 'upstream_broken'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_OVERLOADED = 'upstream_overloaded'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_MISMATCHED = 'upstream_mismatched'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    # Failures of the platform.
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    PLATFORM_CONFLICT = 'platform_conflict'
    PLATFORM_MISSING = 'platform_missing'
    # Failures of configuration and settings.
    SHEET_INVALID = 'sheet_invalid'
    SETTINGS_INVALID = 'settings_invalid'
    CONFIGURATION_STALE = 'configuration_stale'
    CONFIGURATION_CORRUPT = 'configuration_corrupt'
    # Failures between the system's own processes.
    MESSAGE_MALFORMED = 'message_malformed'
    PEER_UNKNOWN = 'peer_unknown'
    PEER_UNREACHABLE = 'peer_unreachable'
    LEASE_NOT_HELD = 'lease_not_held'
    INTERNAL = 'internal'


@final
@dataclass(frozen=True, slots=True)
class Kind:
    """The properties shared by all failures with the same code."""

    status: http.HTTPStatus
    retryable: bool
    title: str


_BAD_REQUEST = http.HTTPStatus.BAD_REQUEST
_TOO_MANY = http.HTTPStatus.TOO_MANY_REQUESTS
_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE
_BAD_GATEWAY = http.HTTPStatus.BAD_GATEWAY
_GATEWAY_TIMEOUT = http.HTTPStatus.GATEWAY_TIMEOUT
_CONFLICT = http.HTTPStatus.CONFLICT
_NOT_FOUND = http.HTTPStatus.NOT_FOUND
_UNAUTHORIZED = http.HTTPStatus.UNAUTHORIZED
_FORBIDDEN = http.HTTPStatus.FORBIDDEN
_INTERNAL = http.HTTPStatus.INTERNAL_SERVER_ERROR
_TOO_LARGE = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE

KINDS: dict[Code, Kind] = {
    Code.BODY_TOO_LARGE: Kind(_TOO_LARGE, False, 'The body is too large.'),
    Code.BODY_MALFORMED: Kind(_BAD_REQUEST, False, 'The body is malformed.'),
    Code.BODY_STALLED: Kind(
        http.HTTPStatus.REQUEST_TIMEOUT, True, 'The body did not arrive.'
    ),
    Code.HEADER_MALFORMED: Kind(_BAD_REQUEST, False, 'A header is malformed.'),
    Code.UNKNOWN_PIPELINE: Kind(_NOT_FOUND, False, 'No such pipeline.'),
    Code.UNKNOWN_SERVICE: Kind(_NOT_FOUND, False, 'No such service.'),
    Code.UNKNOWN_ACCOUNT: Kind(_UNAUTHORIZED, False, 'No such client account.'),
    Code.UNKNOWN_PATH: Kind(_NOT_FOUND, False, 'No such path.'),
    Code.CREDENTIAL_MISSING: Kind(
        _UNAUTHORIZED, False, 'A credential is missing.'
    ),
    Code.CREDENTIAL_WRONG: Kind(
        _UNAUTHORIZED, False, 'The credential is wrong.'
    ),
    Code.ACCOUNT_NOT_BOUND: Kind(
        _FORBIDDEN, False, 'The client account may not use this.'
    ),
    Code.KEY_REUSED: Kind(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        False,
        'The idempotency key was used with another request.',
    ),
    Code.ACCOUNT_LIMIT: Kind(
        _TOO_MANY, True, 'The client account is at its limit.'
    ),
    Code.QUEUE_FULL: Kind(_UNAVAILABLE, True, 'Too many requests wait.'),
    Code.MEMORY_SHORT: Kind(
        _UNAVAILABLE, True, 'Too many bodies arrive at once.'
    ),
    Code.DEADLINE_TOO_SHORT: Kind(
        _UNAVAILABLE, True, 'The deadline cannot be met now.'
    ),
    Code.DEADLINE_PASSED: Kind(
        _GATEWAY_TIMEOUT, True, 'The deadline has passed.'
    ),
    Code.NO_UPSTREAM: Kind(
        _UNAVAILABLE, True, 'No upstream can take this now.'
    ),
    Code.RESULT_LOST: Kind(_UNAVAILABLE, True, 'A result of a stage was lost.'),
    Code.NOT_READY: Kind(_UNAVAILABLE, True, 'This instance is not ready.'),
    Code.SHUTTING_DOWN: Kind(
        _UNAVAILABLE, True, 'This instance is shutting down.'
    ),
    Code.KEY_IN_PROGRESS: Kind(
        _CONFLICT, True, 'A request with this idempotency key is running.'
    ),
    Code.OUTCOME_UNKNOWN: Kind(
        _BAD_GATEWAY, False, 'It is unknown whether the request ran.'
    ),
    Code.PROMPT_QUARANTINED: Kind(
        _BAD_REQUEST, False, 'A part of the prompt crashes upstreams.'
    ),
    Code.CALLER_LEFT: Kind(_GATEWAY_TIMEOUT, False, 'The caller has left.'),
    Code.UPSTREAM_UNREACHABLE: Kind(
        _BAD_GATEWAY, True, 'The upstream could not be reached.'
    ),
    Code.UPSTREAM_BROKEN: Kind(
        _BAD_GATEWAY, True, 'The connection to the upstream broke.'
    ),
    Code.UPSTREAM_FAILED: Kind(_BAD_GATEWAY, True, 'The upstream failed.'),
    Code.UPSTREAM_OVERLOADED: Kind(
        _UNAVAILABLE, True, 'The upstream is overloaded.'
    ),
    Code.UPSTREAM_REFUSED: Kind(
        _BAD_GATEWAY, False, 'The upstream refused the request.'
    ),
    Code.UPSTREAM_MISMATCHED: Kind(
        _BAD_GATEWAY, True, 'The upstream answered another request.'
    ),
    Code.UPSTREAM_TIMEOUT: Kind(
        _GATEWAY_TIMEOUT, True, 'The upstream did not answer in time.'
    ),
    Code.PLATFORM_UNAVAILABLE: Kind(
        _UNAVAILABLE, True, "The platform's service does not answer."
    ),
    Code.PLATFORM_CONFLICT: Kind(_CONFLICT, True, 'Another write came first.'),
    Code.PLATFORM_MISSING: Kind(_NOT_FOUND, False, 'No such row or object.'),
    Code.SHEET_INVALID: Kind(_BAD_REQUEST, False, 'The sheet is invalid.'),
    Code.SETTINGS_INVALID: Kind(
        _BAD_REQUEST, False, 'The settings are invalid.'
    ),
    Code.CONFIGURATION_STALE: Kind(
        _UNAVAILABLE, True, 'The configuration has not been confirmed lately.'
    ),
    Code.CONFIGURATION_CORRUPT: Kind(
        _INTERNAL, False, 'The configuration does not match its digest.'
    ),
    Code.MESSAGE_MALFORMED: Kind(
        _BAD_REQUEST, False, 'The message is malformed.'
    ),
    Code.PEER_UNKNOWN: Kind(_FORBIDDEN, False, 'The sender is no peer.'),
    Code.PEER_UNREACHABLE: Kind(
        _BAD_GATEWAY, True, 'The peer could not be reached.'
    ),
    Code.LEASE_NOT_HELD: Kind(
        _CONFLICT, True, 'The lease is held by another owner.'
    ),
    Code.INTERNAL: Kind(_INTERNAL, False, 'An internal error.'),
}


@final
@dataclass(frozen=True, slots=True)
class Failure:
    """A refusal or an error, with its reason.

    ``detail`` is meant for people. ``retry_after_s`` is the time in seconds
    after which the caller should retry, or None if it is unknown.
    """

    code: Code
    detail: str = ''
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def kind(self) -> Kind:
        """Return the properties shared by all failures with this code."""
        return KINDS[self.code]


class FailureError(Exception):
    """Wraps a failure where only an exception can be used."""

    def __init__(self, failure: Failure) -> None:
        """Use the failure's code and detail as the message."""
        super().__init__(f'{failure.code.value}: {failure.detail}')
        self.failure = failure
