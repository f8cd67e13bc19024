"""Names of the users' platform: headers, tables, calls."""

from __future__ import annotations

from typing import Final

# Headers of a caller's request.
REQUEST_ID: Final = 'Damaskpoint-Request-Id'
DEADLINE_MS: Final = 'Damaskpoint-Deadline-Ms'
MODEL: Final = 'Damaskpoint-Model'
# Tokens of the prompt, and the most that may be generated.
TOKEN_COUNTS: Final = 'Damaskpoint-Token-Counts'
PROMPT_PARTS: Final = 'Damaskpoint-Prompt-Prefix'
# Number of pieces of each stage; not the pieces themselves.
PIECE_COUNTS: Final = 'Damaskpoint-Pieces'
PIECE_KEY: Final = 'Damaskpoint-Piece-Key'
LAST_EVENT_ID: Final = 'Last-Event-Id'
# Headers that only the system may set.
ACCOUNT: Final = 'Damaskpoint-Tenant'
EXPECT_RUNNER: Final = 'Damaskpoint-Expect-Instance'
PRIORITY: Final = 'Damaskpoint-Request-Priority'
STAGE_RESULTS: Final = 'Damaskpoint-Inputs'
# Headers of a runner's answer.
NOT_RUN: Final = 'Damaskpoint-Not-Executed'
# Signs the body; the caller checks it.
SEAL: Final = 'Damaskpoint-Response-Seal'
RUNNER_NAME: Final = 'Damaskpoint-Instance-Id'
COLD_LEFT_MS: Final = 'Damaskpoint-Cold-Ms'

# What a caller may not pass to a runner: set by the system, or about one
# connection only. Lower case.
DROPPED_REQUEST_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'damaskpoint-deadline-ms',
        'damaskpoint-expect-instance',
        'damaskpoint-expect-version',
        'damaskpoint-hold',
        'damaskpoint-inputs',
        'damaskpoint-kv-backup',
        'damaskpoint-pin-ms',
        'damaskpoint-request-priority',
        'damaskpoint-tenant',
        'expect',
        'keep-alive',
        'kv-fetch',
        'kv-from',
        'last-event-id',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# What a runner's answer keeps to its own connection. Lower case.
DROPPED_ANSWER_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

# Rows that the operator and the runners write.
TABLE_OPERATOR: Final = 'op'
TABLE_RUNNERS: Final = 'servers'
KEY_CONFIGURATION: Final = 'config'
KEY_PREFIX_EVACUATED: Final = 'evacuate/'
# Rows of the system itself: where its instances listen to each other.
TABLE_PEERS: Final = 'peers'

# Calls at a runner of a stage.
PATH_RUN_PIECES: Final = '/v1/stage-run'
PATH_FREE_RESULTS: Final = '/v1/stage-free'
# The platform's question whether an instance takes new connections.
PATH_READY: Final = '/v1/ready'
