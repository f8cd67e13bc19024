"""Names of headers, media types, events and paths in the system's HTTP APIs."""

from __future__ import annotations

from typing import Final

# Between callers and the system.
HEADER_ACCOUNT: Final = 'X-Client-Account'
HEADER_AUTHORIZATION: Final = 'Authorization'
HEADER_DEADLINE_MS: Final = 'X-Deadline-Ms'
HEADER_IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
HEADER_REQUEST_ID: Final = 'X-Request-Id'
HEADER_LAST_EVENT_ID: Final = 'Last-Event-ID'
HEADER_RETRY_AFTER: Final = 'Retry-After'
MEDIA_PROBLEM: Final = 'application/problem+json'
MEDIA_EVENTS: Final = 'text/event-stream'
MEDIA_JSON: Final = 'application/json'

# Between the system and upstreams; an answer echoes the first three.
HEADER_STAGE: Final = 'X-Stage'
HEADER_ATTEMPT: Final = 'X-Attempt'
HEADER_PRIORITY: Final = 'X-Priority'
HEADER_INCARNATION: Final = 'X-Incarnation'
HEADER_WARMTH: Final = 'X-Warmth'

# Server-sent events of a generating stage.
EVENT_TOKEN: Final = 'token'
EVENT_END: Final = 'end'
EVENT_ERROR: Final = 'error'

# Between the system's own processes.
PATH_PEER: Final = '/peer'
MEDIA_THRIFT: Final = 'application/x-thrift'
