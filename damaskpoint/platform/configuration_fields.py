"""Names of the fields of a configuration, as operators write them.

``rows`` parses them; tools name them in the places of their findings.
"""

from __future__ import annotations

from typing import Final

VERSION: Final = 'Version'
ROUTES: Final = 'Routes'
SERVICES: Final = 'Services'
ACCOUNTS: Final = 'Tenants'
LIMITS: Final = 'Limits'
KEYS: Final = 'ApiKeys'
NAME: Final = 'Name'
HOST: Final = 'Host'
PREFIX: Final = 'Prefix'
KIND: Final = 'Kind'
TIMEOUT_MS: Final = 'TimeoutMs'
OBJECTIVE_MS: Final = 'SloMs'
MAX_EVENT_GAP_MS: Final = 'GapTargetMs'
PRIORITY: Final = 'Priority'
MAX_ATTEMPTS: Final = 'MaxAttempts'
RESUMABLE: Final = 'Resumable'
STAGES: Final = 'Stages'
TARGETS: Final = 'Split'
ENGINE: Final = 'Engine'
COLD_PER_S: Final = 'ColdPerS'
MAX_HEADER_BYTES: Final = 'MaxHeaderBytes'
MAX_BODY_BYTES: Final = 'MaxBodyBytes'
HEADER_TIMEOUT_MS: Final = 'HeaderTimeoutMs'
IDLE_TIMEOUT_MS: Final = 'IdleTimeoutMs'
