// Messages between the system's own processes.
//
// A Gossip is the whole of one UDP datagram. A call of the service Peer is
// the body of an HTTP POST on the peers' TCP port. Times are ages in
// milliseconds, never readings of a clock. New fields are optional and take
// new numbers, so that versions of the program understand each other.

namespace py damaskpoint.wire.generated.peer

// The start of a process that tells a fact: start numbers of one instance
// are compared by the incarnation of the platform's list alone.
struct PeerFact {
  1: required string name
  2: required string zone
  3: required string host
  4: required i32 peer_port
  // Goes up with each start of the process (milliseconds of its own clock).
  5: required i64 start
  // Goes up with each round of gossip of that start.
  6: required i64 heartbeat
  7: optional i32 operator_port
}

struct ConfigurationFact {
  1: required i64 version
  2: required string digest
  // Age of the last confirmation by the platform.
  3: required i64 confirmed_age_ms
}

enum MarkKind {
  LEAVING = 1
  UNPROVEN = 2
  ZONE_OUT = 3
}

// Removes a choice: of an upstream's incarnation, or of a zone in a version
// of the configuration.
struct MarkFact {
  1: required MarkKind kind
  2: required string subject
  3: required i64 incarnation
  4: required i64 age_ms
}

struct LoadFact {
  1: required string upstream
  2: required i64 incarnation
  3: required i32 in_flight
  4: required i32 limit
  5: required bool is_warm
  6: required i64 age_ms
}

// One peer's own calls in flight to an upstream.
struct ShareFact {
  1: required string upstream
  2: required i32 in_flight
}

// One peer's own demand of a client account: requests a second, in thousandths.
struct DemandFact {
  1: required string account
  2: required i64 offered_milli
  3: required i32 in_flight
}

struct Gossip {
  1: required PeerFact sender
  2: optional ConfigurationFact configuration
  3: optional list<PeerFact> peers
  4: optional list<MarkFact> marks
  5: optional list<LoadFact> loads
  6: optional list<ShareFact> shares
  7: optional list<DemandFact> demands
}

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

struct PermitRequest {
  1: required string borrower
  2: required string upstream
  3: required i64 incarnation
  4: required i32 count
}

struct PermitGrant {
  // Permits lent; 0 when there are none to lend.
  1: required i32 count
  2: required i64 fencing
  // Time for which the permits may be used to send, from the answer's read.
  3: required i64 valid_ms
}

struct PermitReturn {
  1: required string borrower
  2: required string upstream
  3: required i64 incarnation
  4: required i64 fencing
  5: required i32 count
}

// A typed refusal; the code is one of the system's stable failure codes.
exception Refused {
  1: required string code
  2: required string detail
}

service Peer {
  void ping()
  InForce get_in_force()
  ConfigurationBody get_configuration(1: i64 version) throws (1: Refused refused)
  PermitGrant borrow_permits(1: PermitRequest request) throws (1: Refused refused)
  void return_permits(1: PermitReturn returned) throws (1: Refused refused)
}
