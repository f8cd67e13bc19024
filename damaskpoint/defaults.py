"""Default values and limits.

``settings`` uses some of them as defaults of options; the others are not
configurable and are used directly.
"""

from __future__ import annotations

from typing import Final

# HTTP interfaces.
MAX_PORT: Final = 65_535
MAX_BODY_BYTES: Final = 1_048_576
# Memory of a machine (MB) and descriptors of a process.
MEMORY_MB: Final = 1_024
MAX_FDS: Final = 8_192
# Network link of a machine (Mbit/s), and its processor.
LINK_MBPS: Final = 1_000.0
CPU_SHARE: Final = 1.0
CORE_SPEED: Final = 1.0
# Interval at which stalled callers are looked for (seconds).
INTAKE_INTERVAL_S: Final = 0.1
# Bytes that are read at once from a caller; bounds what a connection buffers.
CALLER_READ_BYTES: Final = 32_768
# Idle timeout of a caller's connection, and timeout for receiving a body
# (seconds).
CALLER_IDLE_TIMEOUT_S: Final = 75.0
BODY_TIMEOUT_S: Final = 30.0
# Timeout for writing a final answer to a caller that reads slowly (seconds).
ANSWER_WRITE_TIMEOUT_S: Final = 30.0
MAX_HEADER_BYTES: Final = 16_384
MAX_JSON_DEPTH: Final = 32
MAX_KEY_CHARACTERS: Final = 128
MAX_ANSWER_BYTES: Final = 8_388_608
# Answers with the load or the state of an upstream.
MAX_REPORT_BYTES: Final = 1_048_576
MAX_EVENT_BYTES: Final = 65_536
DEADLINE_MS: Final = 3_000
MAX_DEADLINE_MS: Final = 600_000

# Platform.
PLATFORM_TIMEOUT_S: Final = 2.0
# Maximum number of concurrent calls to the platform.
MAX_PLATFORM_CALLS: Final = 64
CONFIGURATION_POLL_S: Final = 1.0
INSTANCE_LIST_POLL_S: Final = 1.0
CONFIRMATION_BOUND_S: Final = 4.0
# Delay after which a configuration is also fetched from a peer while the
# object store has not answered (seconds).
PEER_FETCH_AFTER_S: Final = 0.3
# Gap between two iterations of the event loop above which it has stalled, so
# that messages read after it may be old (seconds).
LOOP_STALL_S: Final = 1.5
STALL_CHECK_INTERVAL_S: Final = 0.25
# Maximum time after a stall for which new calls are refused (seconds).
STALL_COOLDOWN_S: Final = 2.0
# Age of a configuration that was never confirmed (seconds).
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
PEER_KEEP_S: Final = 60.0
MAX_PEERS: Final = 2_048
MAX_MARKS: Final = 8_192
MAX_REPORTS: Final = 8_192
MARK_KEEP_S: Final = 600.0
UNPROVEN_KEEP_S: Final = 30.0
FACT_KEEP_S: Final = 3.0
# Services whose runs a process reports to its peers.
MAX_RUN_COUNTS: Final = 8
# Reports of runners in one datagram.
MAX_CAPACITIES: Final = 5
DEMAND_KEEP_S: Final = 5.0
# Share of the byte rate for regular rounds; the rest is for news.
ROUND_SHARE: Final = 0.6
# Up to this many peers, news is sent to all of them at once.
FULL_MESH_PEERS: Final = 24
# Stall between two rounds of gossip above which queued datagrams are too old to
# be read (seconds).
GOSSIP_STALL_S: Final = 1.0

# Messages between processes.
MAX_NAME_CHARACTERS: Final = 128
MAX_DIGEST_BYTES: Final = 64
MAX_MESSAGE_ITEMS: Final = 4_096
MAX_PEER_BODY_BYTES: Final = 8_388_608
# Large enough for a whole configuration, which is pushed in one request.
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
# Maximum lag of a load report behind the upstream's state.
LOAD_REPORT_LAG_S: Final = 1.0
# Circuit breakers: consecutive failures of one type that open one.
BREAKER_UNREACHABLE: Final = 2
BREAKER_BROKEN: Final = 2
BREAKER_FAILED: Final = 5
BREAKER_OVERLOADED: Final = 5
BREAKER_TIMED_OUT: Final = 5
BREAKER_MISMATCHED: Final = 2
BREAKER_OPEN_S: Final = 1.0
BREAKER_MAX_OPEN_S: Final = 10.0
BREAKER_GROWTH: Final = 2.0
# Choice of an upstream. Weight of a new sample in the service time's EWMA.
SERVICE_TIME_WEIGHT: Final = 0.1
# Assumed service time of an upstream until its pool has a sample (seconds).
INITIAL_SERVICE_TIME_S: Final = 0.1
# Round-trip cost of a call to another availability zone (seconds).
ZONE_COST_S: Final = 0.003
# Load, relative to the pool's mean, up to which a prefix stays at its upstream.
AFFINITY_LOAD_BOUND: Final = 1.25
# Service time, relative to the pool's median, above which an upstream is an
# outlier, and the maximum share of a pool that may be outliers.
OUTLIER_FACTOR: Final = 3.0
OUTLIER_SHARE: Final = 0.2
# Factor on the expected wait of an outlier, which ranks it behind the others.
OUTLIER_PENALTY: Final = 1_000.0
# Number of upstreams sampled for the median service time.
MEDIAN_SAMPLE: Final = 64
# Time for which a median and its outliers are valid (seconds), and the share
# of its distance to the median by which an outlier decays in that time.
MEDIAN_KEEP_S: Final = 1.0
OUTLIER_DECAY: Final = 0.1
# Factor by which a call to a cold upstream may be slower than usual.
COLD_SLOWNESS: Final = 3.0
# Maximum number of calls that wait for a pool in one entry.
ROUTE_QUEUE_LIMIT: Final = 256
# Retry-After if there is no better estimate (seconds).
ROUTE_RETRY_AFTER_S: Final = 1.0
# Cold start: rows in one transaction; delay before a failed claim is retried,
# time for which the request for a lease is kept, and time after which a leased
# cold upstream gets a call although warm ones are free (seconds).
LEASE_BATCH: Final = 100
CLAIM_RETRY_S: Final = 0.5
LEASE_REQUEST_KEEP_S: Final = 10.0
COLD_IDLE_S: Final = 0.25
# Delay of a claim per live entry with a higher rank (seconds).
CLAIM_RANK_DELAY_S: Final = 1.0
# Maximum time that an upstream may work on a call (seconds).
MAX_CALL_S: Final = 600.0
# Upstreams that do not report their load: age above which an answer no longer
# proves warmth, and time after which an aborted call is considered
# stopped (seconds).
NONREPORTING_PROOF_S: Final = 30.0
NONREPORTING_MAX_CALL_S: Final = 10.0
# Time within which a call may be sent on a lent permit (seconds).
LENT_PERMIT_S: Final = 1.0
# Stall of the event loop above which the messages in its sockets are outdated
# (seconds).
ROUTING_STALL_S: Final = 1.0
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

# State dump: entries shown per collection.
MAX_DUMP_ITEMS: Final = 200
MAX_DUMP_BYTES: Final = 33_554_432
DUMP_TIMEOUT_S: Final = 5.0

# Retries, as a share of first attempts.
RETRY_SHARE: Final = 0.1
RETRY_BURST: Final = 10

# Attempts per stage, including the first; attempts that never reached an
# upstream are counted separately.
MAX_ATTEMPTS: Final = 3
MAX_UNSENT_ATTEMPTS: Final = 6
# A call is hedged once it takes this many times as long as the slow runs of
# its stage.
HEDGE_FACTOR: Final = 1.5
# Maximum time from the choice of an upstream until the send (seconds).
MAX_SEND_DELAY_S: Final = 0.5
# Maximum number of idle connections per upstream, and their maximum idle time
# (seconds).
MAX_IDLE_CONNECTIONS: Final = 16
IDLE_CONNECTION_S: Final = 5.0
# Timeout of the call that stops a stream at its engine (seconds).
STOP_STREAM_TIMEOUT_S: Final = 1.0

# Journal.
JOURNAL_KEEP_S: Final = 86_400
INLINE_OUTCOME_BYTES: Final = 16_384
# Rows in one transaction, and rows that may wait for a transaction.
JOURNAL_BATCH: Final = 64
JOURNAL_MAX_WAITING: Final = 4_096
# Attempts to open a key, and the pause between them (seconds).
JOURNAL_OPEN_ATTEMPTS: Final = 8
JOURNAL_RETRY_PAUSE_S: Final = 0.05
# Maximum pause between two attempts to close a row (seconds).
JOURNAL_MAX_RETRY_PAUSE_S: Final = 2.0
# Maximum time that an answer waits until it is recorded (seconds).
JOURNAL_RECORD_WAIT_S: Final = 0.25
# Maximum number of rows whose closing is pending, and their size (bytes).
JOURNAL_MAX_PENDING: Final = 4_096
JOURNAL_MAX_PENDING_BYTES: Final = 33_554_432
# Time after a request's deadline at which its row is considered abandoned
# (seconds).
JOURNAL_GRACE_S: Final = 5.0
# Sweep of expired rows: rows read per round, interval between rounds and
# duration of the sweeper's lease (seconds).
SWEEP_ROWS: Final = 500
SWEEP_INTERVAL_S: Final = 2.0
SWEEP_LEASE_S: Final = 60.0

# Shutdown.
SHUTDOWN_NOTICE_S: Final = 2.0
SHUTDOWN_LIMIT_S: Final = 60.0
# Interval between checks of the requests in flight (seconds).
SHUTDOWN_STEP_S: Final = 0.05
# Interval of the housekeeping (seconds).
HOUSEKEEPING_S: Final = 1.0

# Orders to engines.
RECONCILE_LEASE_S: Final = 6.0
RECONCILE_LEASE_MARGIN_S: Final = 0.6
# Minimum margin of a lease, as a share of its duration, to cover clock drift.
MIN_LEASE_MARGIN_SHARE: Final = 0.03
ENGINE_STATE_POLL_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 30.0
MAX_ORDERS: Final = 3
