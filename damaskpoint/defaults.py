"""Default values and bounds, with their units.

``settings`` names each of them as the default of an option; bounds that no
option sets are used where they apply.
"""

from __future__ import annotations

from typing import Final

# HTTP borders.
MAX_PORT: Final = 65_535
MAX_BODY_BYTES: Final = 1_048_576
MAX_HEADER_BYTES: Final = 16_384
MAX_JSON_DEPTH: Final = 32
MAX_KEY_CHARACTERS: Final = 128
MAX_ANSWER_BYTES: Final = 8_388_608
DEADLINE_MS: Final = 3_000
MAX_DEADLINE_MS: Final = 600_000

# Platform.
PLATFORM_TIMEOUT_S: Final = 2.0
CONFIGURATION_POLL_S: Final = 1.0
INSTANCE_LIST_POLL_S: Final = 1.0
CONFIRMATION_BOUND_S: Final = 4.0
# Silence of the loop past which what it reads may have waited long.
LOOP_STALL_S: Final = 1.5
# Age that stands for never.
MAX_AGE_S: Final = 1e9
# Pool of the system's own instances in the platform's list.
ENTRY_POOL: Final = 'entry'

# Membership.
GOSSIP_INTERVAL_S: Final = 0.5
PEER_TIMEOUT_S: Final = 3.0
GOSSIP_BYTES_PER_S: Final = 7_000
MAX_DATAGRAM_BYTES: Final = 1_400

# Routing.
LOAD_POLL_S: Final = 0.5
LOAD_REPORT_BOUND_S: Final = 3.0
CONNECT_TIMEOUT_S: Final = 0.5
LEASE_S: Final = 4.0
LEASE_MARGIN_S: Final = 0.5

# Admission.
QUEUE_LIMIT: Final = 256

# Dump of the state: entries shown of one collection.
MAX_DUMP_ITEMS: Final = 200

# Retries: share of first tries that may be repeated.
RETRY_SHARE: Final = 0.1
RETRY_BURST: Final = 10

# Journal.
JOURNAL_KEEP_S: Final = 86_400
INLINE_OUTCOME_BYTES: Final = 16_384

# Shutdown.
SHUTDOWN_NOTICE_S: Final = 2.0
SHUTDOWN_LIMIT_S: Final = 60.0

# Orders to engines.
RECONCILE_LEASE_S: Final = 6.0
RECONCILE_LEASE_MARGIN_S: Final = 0.6
# Margin of a lease, as a share of its length, that clocks may drift apart.
LEAST_LEASE_MARGIN_SHARE: Final = 0.03
ENGINE_STATE_POLL_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 30.0
MAX_ORDERS: Final = 3
