// Messages between the processes of the system.
//
// Each UDP datagram holds one Gossip. A call of the service Peer is the body
// of an HTTP POST to the peers' TCP port. Times are ages in milliseconds,
// never clock readings. New fields are optional and take new numbers, so that
// different versions of the program are compatible.

namespace py damaskpoint.wire.generated.peer

// Lifecycle phase of a process.
enum Phase {
  STARTING = 1
  SERVING = 2
  LEAVING = 3
  // The process is ending; this start sends no further gossip.
  GONE = 4
}

// A process of the system.
struct PeerFact {
  1: required string name
  2: required string zone
  3: required string host
  4: required i32 peer_port
  // Increases with each start of the process of this name.
  5: required i64 start
  // Increases with each gossip round of that start.
  6: required i64 heartbeat
  7: required Phase phase
  // Pieces per second that its machine can batch; absent if unknown.
  8: optional i32 batch_rate
}

struct ConfigurationFact {
  1: required i64 version
  2: required binary digest
  // Age of the last confirmation by the platform; negative for none.
  3: required i64 confirmed_age_ms
}

enum MarkKind {
  LEAVING = 1
  UNPROVEN = 2
  ZONE_OUT = 3
  SUSPECTED_PART = 4
  QUARANTINED_PART = 5
  BROKEN_RUN = 6
}

// Applies to an incarnation of an upstream, to a zone as of a version of the
// configuration, to a part of prompts, or to the service and the parts of
// one run.
struct MarkFact {
  1: required MarkKind kind
  2: required string subject
  // Incarnation of the upstream, version of the configuration, epoch of a
  // suspicion, or number of a quarantine.
  3: required i64 incarnation
  4: required i64 age_ms
  // Set for UNPROVEN and BROKEN_RUN only: the process that detected it.
  5: optional string origin
  // For UNPROVEN and BROKEN_RUN, a number that increases with each such mark of that process,
  // also across its starts; for SUSPECTED_PART the number of failures; for
  // QUARANTINED_PART 1 if it was lifted.
  6: optional i64 sequence
}

// Load of an upstream, as reported by itself.
struct LoadFact {
  1: required string upstream
  2: required i64 incarnation
  3: required i32 in_flight
  4: required i32 limit
  5: required bool is_warm
  6: required i64 age_ms
}

// The sender's own calls in flight to an upstream.
struct ShareFact {
  1: required string upstream
  2: required i32 in_flight
}

// The sender's own demand of a client account.
struct DemandFact {
  1: required string account
  // Offered requests per second, times 1000.
  2: required i64 offered_milli
  // Requests running or waiting.
  3: required i32 in_flight
}

// Pace of a group of runners of a stage, published by the instance that
// batches for the group.
struct PaceFact {
  1: required string group
  // Duration of calls relative to the expected duration, times 1000.
  2: required i32 pace_permille
  // Time for a backlog relative to full calls at all runners, times 1000.
  3: optional i32 drain_permille
  // Time of the last orders, from their arrival to their last result; absent
  // without recent ones.
  4: optional i32 order_ms
}

// Pieces that the requests of the sender still need from a group.
struct PledgeFact {
  1: required string group
  // Of requests that can meet their objective, and of requests that are
  // deferred behind them.
  2: required i32 urgent
  3: required i32 deferred
  // Of the urgent ones, those of priority 1, of priority 2 and so on; absent if
  // all have priority 0.
  4: optional list<i32> less_urgent
}

// Runs of the sender at a service that have begun their answers, since the
// sender's start.
struct RunCountFact {
  1: required string service_name
  2: required i64 begun
}

// A runner's report of its load and its pace, relayed by peers; or the pace that
// the sender has measured at a runner that reports nothing.
struct CapacityFact {
  1: required string runner
  // Requests that run or wait, of all callers.
  2: required i32 busy
  3: required i32 slots
  // How long work takes on its machine, relative to usual, times 1000.
  4: required i32 pace_permille
  5: required i32 age_ms
  // Requests measured since they were last sent; absent in a report.
  6: optional i32 samples
}

// Of one rollout, identified by its start (store's clock), what the sender has
// counted: responses of one route and zone by the old and the new version, or
// in a report (an empty key) its requests at old runners.
struct RolloutFact {
  1: required string service_name
  2: required i64 started_ms
  3: required string evidence_key
  // In a report all requests, and those that must not be repeated.
  4: required i64 old_count
  5: required i64 old_bad
  6: required i64 new_count
  7: required i64 new_bad
  8: required i64 new_broken
  // In a report, whether the sender sends all requests to the new version.
  9: required bool is_switched
  // In a report, whether the sender knows the new version to be bad.
  10: required bool is_blocked
}

struct Gossip {
  1: required PeerFact sender
  2: optional ConfigurationFact configuration
  3: optional list<PeerFact> peers
  // Heartbeats of known starts, in two lists of equal length: the hash of
  // name and start, and the heartbeat.
  4: optional list<i32> beat_ids
  5: optional list<i64> beats
  6: optional list<MarkFact> marks
  7: optional list<LoadFact> loads
  8: optional list<ShareFact> shares
  9: optional list<DemandFact> demands
  // 10 and 11 were used by earlier versions.
  12: optional list<PaceFact> paces
  13: optional list<PledgeFact> pledges
  // Marks of prompt parts and of broken runs. They are not among the other marks, as earlier
  // versions reject a message with marks of a kind that they do not know.
  14: optional list<MarkFact> part_marks
  15: optional list<RunCountFact> run_counts
  16: optional list<RolloutFact> rollouts
  17: optional list<CapacityFact> capacities
}

// Calls that an instance has in flight at a runner of a stage, and the time
// until the last of them should end.
struct CallHolding {
  1: required string upstream
  2: required i32 calls
  3: required i32 busy_ms
  4: required string instance
}

// Pieces of one stage of one request, sent to the instance that batches for
// a group of runners. The order is the body of an HTTP POST, the PieceAnswer
// the body of its response.
struct PieceOrder {
  1: required string group
  2: required string request_id
  3: required i32 stage
  4: required list<i32> indexes
  5: required string key
  6: required list<string> inputs
  7: required i32 priority
  // Time until the results are useless.
  8: required i32 ends_ms
  // Time until the results are needed; negative if that has passed.
  9: required i32 needed_ms
  10: required i32 result_bytes
  // Preferred zone for each piece, and the bytes that cross zones if a piece
  // runs in another one.
  11: required string zone
  12: required i32 moved_bytes
  // Time by which the pieces are ordered ahead of others that are needed at
  // the same time.
  13: required i32 lead_ms
  // Whether work has already been done for the request.
  14: required bool has_cost
  // Whether the request is deferred behind those that can meet their
  // objective.
  15: required bool is_deferred
  // Calls at the runners of the group that the receiver may not know of: the
  // sender's own, and those of instances that handed pieces back to it.
  16: optional list<CallHolding> held
  // The client account of the request; absent without one.
  17: optional string account
}

// For each index of the order, a handle, or an empty string and a reason.
struct PieceAnswer {
  1: required list<string> handles
  2: required list<string> reasons
  // The runners that hold the results.
  3: required list<string> runners
  // The receiver's calls in flight, if it handed pieces back.
  4: optional list<CallHolding> held
  // Of the piece that took longest there: the time until its call began, and
  // the duration of the call.
  5: optional i32 waited_ms
  6: optional i32 called_ms
}

// Results that are no longer needed.
struct ReleaseOrder {
  1: required string upstream
  2: required list<string> handles
}

// The object of a version, as in the object store.
struct ConfigurationBody {
  1: required i64 version
  2: required string digest
  3: required binary body
}

struct InForce {
  1: required string name
  2: required i64 version
  3: required string digest
}

// A permit of a cold upstream, lent by the holder of its lease.
struct PermitLoan {
  // Identifies the loan among those of this start of the lender.
  1: required i64 number
  // Time during which calls may be sent with it, counted from just before it
  // was requested.
  2: required i64 valid_ms
}

// A typed refusal; the code is one of the system's stable failure codes.
exception Refused {
  1: required string code
  2: required string detail
}

service Peer {
  // Open to any caller.
  void ping()
  InForce get_in_force() throws (1: Refused refused)
  // Open to peers and to hosts of operators: puts an accepted version in
  // force. The age is the time since just before it was accepted.
  void hold_configuration(1: ConfigurationBody accepted, 2: i64 age_ms) throws (1: Refused refused)
  // Open to peers.
  ConfigurationBody get_configuration(1: i64 version) throws (1: Refused refused)
  PermitLoan borrow_permit(1: string upstream) throws (1: Refused refused)
  void return_permit(1: string upstream, 2: i64 number) throws (1: Refused refused)
}
