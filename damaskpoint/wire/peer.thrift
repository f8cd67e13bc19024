// Messages between the system's own processes.
//
// A Gossip is the whole of one UDP datagram. A call of the service Peer is
// the body of an HTTP POST on the peers' TCP port. Times are ages in
// milliseconds, never readings of a clock. New fields are optional and take
// new numbers, so that versions of the program understand each other.

namespace py damaskpoint.wire.generated.peer

// How far the life of a process has come.
enum Phase {
  STARTING = 1
  SERVING = 2
  LEAVING = 3
  // The process ends now; no more is heard of this start.
  GONE = 4
}

// A process of the system.
struct PeerFact {
  1: required string name
  2: required string zone
  3: required string host
  4: required i32 peer_port
  // Goes up with each start of the process of this name.
  5: required i64 start
  // Goes up with each round of gossip of that start.
  6: required i64 heartbeat
  7: required Phase phase
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
}

// Removes a choice: an incarnation of an upstream, or a zone as of a version
// of the configuration.
struct MarkFact {
  1: required MarkKind kind
  2: required string subject
  // Incarnation of the upstream, or version of the configuration.
  3: required i64 incarnation
  4: required i64 age_ms
  // Of an unproven notice alone: who noticed, and a number that goes up with
  // each notice of that process and with its starts.
  5: optional string origin
  6: optional i64 sequence
}

// An upstream's own report of its load.
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
  // Requests offered, in thousandths a second.
  2: required i64 offered_milli
  // Requests running or waiting.
  3: required i32 in_flight
}

// How fast a group of runners of a stage works, told by the instance that
// batches for it.
struct PaceFact {
  1: required string group
  // How long calls take, in thousandths of what they should.
  2: required i32 pace_permille
}

// Pieces that the sender's requests still need of a group.
struct PledgeFact {
  1: required string group
  // Of requests that can meet their objective, and of those that go behind.
  2: required i32 urgent
  3: required i32 deferred
}

struct Gossip {
  1: required PeerFact sender
  2: optional ConfigurationFact configuration
  3: optional list<PeerFact> peers
  // Heartbeats of known starts, in two lists of equal length: a hash of the
  // name and the start, and the heartbeat.
  4: optional list<i32> beat_ids
  5: optional list<i64> beats
  6: optional list<MarkFact> marks
  7: optional list<LoadFact> loads
  8: optional list<ShareFact> shares
  9: optional list<DemandFact> demands
  // 10 and 11 were used by earlier versions.
  12: optional list<PaceFact> paces
  13: optional list<PledgeFact> pledges
}

// Pieces of one stage of one request, for the instance that batches for a
// group of runners. The body of an HTTP POST; so is the answer.
struct PieceOrder {
  1: required string group
  2: required string request_id
  3: required i32 stage
  4: required list<i32> indexes
  5: required string key
  6: required list<string> inputs
  7: required i32 priority
  // Time until the results are worth nothing.
  8: required i32 ends_ms
  // Time until they are needed; negative when that is past.
  9: required i32 needed_ms
  10: required i32 result_bytes
  // Zone in which each piece should be made, and the bytes that cross zones
  // if it is not.
  11: required string zone
  12: required i32 moved_bytes
  // How much the pieces go before others that are needed then.
  13: required i32 lead_ms
  // Whether work for the request has been done already.
  14: required bool has_cost
  // Whether the request goes behind those that can meet their objective.
  15: required bool is_deferred
}

// For each index of the order a handle, or an empty text and a reason.
struct PieceAnswer {
  1: required list<string> handles
  2: required list<string> reasons
  // The runners that hold the results.
  3: required list<string> runners
}

// Results that are not wanted any more.
struct ReleaseOrder {
  1: required string upstream
  2: required list<string> handles
}

// The object of a version, as it stands in the object store.
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
  // Names the loan among those of this start of the lender.
  1: required i64 number
  // Time in which it may be used to send, from before it was asked for.
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
  // Open to peers and to operators' hosts: puts an accepted version in force.
  // Its age counts from before it was accepted.
  void hold_configuration(1: ConfigurationBody accepted, 2: i64 age_ms) throws (1: Refused refused)
  // Open to peers.
  ConfigurationBody get_configuration(1: i64 version) throws (1: Refused refused)
  PermitLoan borrow_permit(1: string upstream) throws (1: Refused refused)
  void return_permit(1: string upstream, 2: i64 number) throws (1: Refused refused)
}
