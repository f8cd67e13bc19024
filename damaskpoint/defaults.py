"""Default values and bounds, with their units.

``settings`` names each of them as the default of an option; bounds that no
option sets are used where they apply.
"""

from __future__ import annotations

from typing import Final

# HTTP borders.
MAX_PORT: Final = 65_535
MAX_BODY_BYTES: Final = 1_048_576
# Time that a connection of a caller may rest, and that a body may take to
# arrive (seconds).
CALLER_IDLE_TIMEOUT_S: Final = 75.0
BODY_TIMEOUT_S: Final = 30.0
# How long a final answer may wait for its caller to read it (seconds).
ANSWER_WRITE_TIMEOUT_S: Final = 30.0
MAX_HEADER_BYTES: Final = 16_384
MAX_JSON_DEPTH: Final = 32
MAX_KEY_CHARACTERS: Final = 128
MAX_ANSWER_BYTES: Final = 8_388_608
MAX_EVENT_BYTES: Final = 65_536
DEADLINE_MS: Final = 3_000
MAX_DEADLINE_MS: Final = 600_000

# Platform.
PLATFORM_TIMEOUT_S: Final = 2.0
# Calls to the platform at once.
PLATFORM_CLIENTS: Final = 64
CONFIGURATION_POLL_S: Final = 1.0
INSTANCE_LIST_POLL_S: Final = 1.0
CONFIRMATION_BOUND_S: Final = 4.0
# Silence of the object store after which a peer is asked as well.
PEER_FETCH_AFTER_S: Final = 0.3
# Silence of the loop past which what it reads may have waited long.
LOOP_STALL_S: Final = 1.5
STALL_CHECK_INTERVAL_S: Final = 0.25
STALL_HOLD_S: Final = 2.0
# Age that stands for never.
UNCONFIRMED_AGE_S: Final = 1e9
# Pool of the system's own instances in the platform's list.
ENTRY_POOL: Final = 'entry'

# Membership.
GOSSIP_INTERVAL_S: Final = 0.5
PEER_TIMEOUT_S: Final = 3.0
GOSSIP_BYTES_PER_S: Final = 7_000
MAX_DATAGRAM_BYTES: Final = 1_400
MAX_RECEIVED_DATAGRAM_BYTES: Final = 4_096
PEER_TIMEOUT_PER_PEER_S: Final = 0.05
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
# A configuration is handed over whole.
MAX_PEER_REQUEST_BYTES: Final = 1_048_576
OPERATOR_NETWORKS: Final = ('127.0.0.0/8',)
PEER_CALL_TIMEOUT_S: Final = 1.0
MAX_PEER_CALLS: Final = 32

# Routing.
LOAD_POLL_S: Final = 0.5
LOAD_REPORT_BOUND_S: Final = 3.0
CONNECT_TIMEOUT_S: Final = 0.5
LEASE_S: Final = 4.0
LEASE_MARGIN_S: Final = 0.5
# Longest lag of a load report behind the upstream's state.
LOAD_REPORT_LAG_S: Final = 1.0
# Routing, breakers: consecutive ends of one type that open one.
BREAKER_UNREACHABLE: Final = 2
BREAKER_BROKEN: Final = 2
BREAKER_FAILED: Final = 5
BREAKER_OVERLOADED: Final = 5
BREAKER_TIMED_OUT: Final = 5
BREAKER_MISMATCHED: Final = 2
BREAKER_OPEN_S: Final = 1.0
BREAKER_MAX_OPEN_S: Final = 10.0
BREAKER_GROWTH: Final = 2.0
# Routing, choice.
SERVICE_TIME_WEIGHT: Final = 0.1
# Service time of an upstream before one was measured in its pool (seconds).
INITIAL_SERVICE_TIME_S: Final = 0.1
# What a call to another availability zone costs (seconds, both ways).
ZONE_COST_S: Final = 0.003
# Load, over the pool's mean, up to which a prefix keeps its upstream.
AFFINITY_LOAD_BOUND: Final = 1.25
# Service time, over the pool's median, past which an upstream is an outlier,
# and the share of a pool that may be outliers.
OUTLIER_FACTOR: Final = 3.0
OUTLIER_SHARE: Final = 0.2
# Factor on the expected wait of an outlier.
OUTLIER_PENALTY: Final = 1_000.0
# Upstreams whose service times make up the median.
MEDIAN_SAMPLE: Final = 64
# Time for which a median and its outliers stand (seconds), and the part of
# the distance to the median that an outlier forgets in it.
MEDIAN_KEEP_S: Final = 1.0
OUTLIER_DECAY: Final = 0.1
# How many times as long as usual a call to a cold upstream may take.
COLD_SLOWNESS: Final = 3.0
# Calls that may wait for one pool in one entry.
ROUTE_QUEUE_LIMIT: Final = 256
# Time to come back when nothing better is known (seconds).
ROUTE_RETRY_AFTER_S: Final = 1.0
# Cold start: rows of one transaction, time before a failed claim is tried
# again, time for which a wish for a cold upstream holds, and time after
# which a cold upstream that is held gets a call although warm ones are free
# (seconds).
LEASE_BATCH: Final = 100
CLAIM_RETRY_S: Final = 0.5
LEASE_REQUEST_KEEP_S: Final = 10.0
COLD_IDLE_S: Final = 0.25
# Delay of a claim for each live entry that ranks before (seconds).
CLAIM_RANK_DELAY_S: Final = 1.0
# Longest time for which an upstream may work on a call (seconds).
MAX_CALL_S: Final = 600.0
# Upstreams that do not report their load: age past which an answer's word of
# warmth proves nothing, and time after which a call that was broken off
# counts as stopped (seconds).
NONREPORTING_PROOF_S: Final = 30.0
NONREPORTING_MAX_CALL_S: Final = 10.0
# Time for which a lent permit may be used to send (seconds).
LENT_PERMIT_S: Final = 1.0
# A loop that stood still longer than this has old messages in its sockets.
MAX_LOOP_PAUSE_S: Final = 1.0
ROUTING_TICK_S: Final = 0.1

# Admission.
QUEUE_LIMIT: Final = 256
SHARE_HOLD_S: Final = 1.0
SHARE_REFRESH_S: Final = 0.25
ADMISSION_TICK_S: Final = 0.1
CAPACITY_FACTOR: Final = 1.1
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
SERVICE_TIME_KEEP_S: Final = 2.0
ASSUMED_SERVICE_TIME_S: Final = 0.1

# Dump of the state: entries shown of one collection.
MAX_DUMP_ITEMS: Final = 200
MAX_DUMP_BYTES: Final = 33_554_432
DUMP_TIMEOUT_S: Final = 5.0

# Retries: share of first tries that may be repeated.
RETRY_SHARE: Final = 0.1
RETRY_BURST: Final = 10

# Requests: tries of one stage, first one included; tries that never reached
# an upstream count apart.
MAX_ATTEMPTS: Final = 3
MAX_UNSENT_ATTEMPTS: Final = 6
# A call is hedged once it takes this many times the slow runs of its stage.
HEDGE_FACTOR: Final = 1.5
# Longest time between the choice of an upstream and the send (seconds).
MAX_SEND_DELAY_S: Final = 0.5
# Connections kept to one upstream, and how long an idle one is kept.
MAX_IDLE_CONNECTIONS: Final = 16
IDLE_CONNECTION_S: Final = 5.0
# Time to tell an engine that a stream is not wanted any more (seconds).
STOP_STREAM_TIMEOUT_S: Final = 1.0

# Journal.
JOURNAL_KEEP_S: Final = 86_400
INLINE_OUTCOME_BYTES: Final = 16_384
# Rows in one transaction, and rows that may wait for theirs.
JOURNAL_BATCH: Final = 64
JOURNAL_MAX_WAITING: Final = 4_096
# Tries to open one key, and the pause between two (seconds).
JOURNAL_OPEN_ATTEMPTS: Final = 8
JOURNAL_RETRY_PAUSE_S: Final = 0.05
# Longest pause between two tries to close a row (seconds).
JOURNAL_MAX_RETRY_PAUSE_S: Final = 2.0
# How long an answer waits for its record (seconds).
JOURNAL_RECORD_WAIT_S: Final = 0.25
# Rows whose closing may be pending, and their bytes.
JOURNAL_MAX_PENDING: Final = 4_096
JOURNAL_MAX_PENDING_BYTES: Final = 33_554_432
# Time after a request's deadline at which its row counts as left (seconds).
JOURNAL_GRACE_S: Final = 5.0
# Sweep of rows past their time: rows read a round, time between rounds and
# length of the sweeper's lease (seconds).
SWEEP_ROWS: Final = 500
SWEEP_INTERVAL_S: Final = 2.0
SWEEP_LEASE_S: Final = 60.0

# Shutdown.
SHUTDOWN_NOTICE_S: Final = 2.0
SHUTDOWN_LIMIT_S: Final = 60.0
# Time between two looks at what is in flight (seconds).
SHUTDOWN_STEP_S: Final = 0.05
# Time between two rounds of housekeeping (seconds).
HOUSEKEEPING_S: Final = 1.0

# Orders to engines.
RECONCILE_LEASE_S: Final = 6.0
RECONCILE_LEASE_MARGIN_S: Final = 0.6
# Margin of a lease, as a share of its length, that clocks may drift apart.
MIN_LEASE_MARGIN_SHARE: Final = 0.03
ENGINE_STATE_POLL_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 30.0
MAX_ORDERS: Final = 3
