"""Names in the platform's protocol: headers, tables, keys and paths."""

from __future__ import annotations

from typing import Final

# Headers of a caller's request.
REQUEST_ID: Final = 'Damaskpoint-Request-Id'
DEADLINE_MS: Final = 'Damaskpoint-Deadline-Ms'
MODEL: Final = 'Damaskpoint-Model'
# Tokens of the prompt, and the maximum that may be generated.
TOKEN_COUNTS: Final = 'Damaskpoint-Token-Counts'
PROMPT_PREFIX: Final = 'Damaskpoint-Prompt-Prefix'
# Number of pieces of each stage, without their contents.
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
# Signature of the body, which the caller verifies.
SEAL: Final = 'Damaskpoint-Response-Seal'
RUNNER_NAME: Final = 'Damaskpoint-Instance-Id'
COLD_LEFT_MS: Final = 'Damaskpoint-Cold-Ms'
LEAVING: Final = 'Server-Leaving'
# Running and waiting calls, slots, and optionally how long work takes now in
# percent of the usual time, separated by commas.
SERVER_LOAD: Final = 'Damaskpoint-Server-Load'
# Header of all answers of the store; counts its restores from a copy.
STORE_ERA: Final = 'Store-Era'

# Request headers that are not forwarded to a runner: those that only the
# system may set, and those of one connection. Lower case.
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
# Answer headers of one connection, which are not forwarded. Lower case.
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

# Tables that the operator and the runners write, and the operator's keys.
TABLE_OPERATOR: Final = 'op'
TABLE_RUNNERS: Final = 'servers'
KEY_CONFIGURATION: Final = 'config'
KEY_PREFIX_EVACUATED: Final = 'evacuate/'
# Orders to move a service to a version of its runners, by service.
KEY_PREFIX_ROLLOUT: Final = 'rollout/'
# Table in which the system reports to the platform, with the same keys.
TABLE_STATUS: Final = 'status'
# The system's own table, with the states of the rollouts by service.
TABLE_ROLLOUTS: Final = 'rollouts'
# The system's own table, with the addresses of its instances.
TABLE_PEERS: Final = 'peers'
# The system's own table, with the prompt parts whose requests are refused.
TABLE_QUARANTINES: Final = 'prompt-quarantines'

# Paths at a runner of a stage.
PATH_RUN_PIECES: Final = '/v1/stage-run'
PATH_FREE_RESULTS: Final = '/v1/stage-free'
# Part of the platform's rules: callers compete for the runners of a service.
CONTRACT_SHARED_POOL: Final = 'pool'
# Path of the balancer's readiness check.
PATH_READY: Final = '/v1/ready'
