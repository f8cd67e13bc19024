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

# Membership.
GOSSIP_INTERVAL_S: Final = 0.5
PEER_TIMEOUT_S: Final = 3.0
GOSSIP_BYTES_PER_S: Final = 7_000
MAX_DATAGRAM_BYTES: Final = 1_400
MAX_RECEIVED_DATAGRAM_BYTES: Final = 4_096
PEER_TIMEOUT_PER_PEER_S: Final = 0.03
PEER_FORGET_S: Final = 60.0
MAX_PEERS: Final = 2_048
MAX_MARKS: Final = 8_192
MAX_REPORTS: Final = 8_192
MARK_KEEP_S: Final = 600.0
UNPROVEN_KEEP_S: Final = 30.0
FACT_KEEP_S: Final = 3.0
DEMAND_KEEP_S: Final = 5.0
# Part of the bound that regular rounds may use; the rest is for what is new.
ROUND_SHARE: Final = 0.6
# Up to this many peers, what is new goes to all of them at once.
FULL_MESH_PEERS: Final = 24
# Gap between two rounds above which waiting datagrams are too old to read.
FREEZE_GAP_S: Final = 1.0

# Messages between processes.
MAX_NAME_CHARACTERS: Final = 128
MAX_DIGEST_BYTES: Final = 64
MAX_MESSAGE_ITEMS: Final = 4_096
MAX_PEER_BODY_BYTES: Final = 8_388_608
PEER_CALL_TIMEOUT_S: Final = 1.0

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
