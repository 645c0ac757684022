/** Protocol between entry hosts. All payloads travel in an Envelope. */
namespace cpp goldcrestkeel.peer

/** Authenticated frame: mac is HMAC-SHA-256 over the other fields. */
struct Envelope {
  1: required string keyId,
  2: required string sender,
  3: required i64 sentAtMs,
  4: required i64 nonce,
  5: required binary payload,
  6: required binary mac
}

enum MemberState { ALIVE = 0, SUSPECT = 1, DEAD = 2, DRAINING = 3 }

/** One entry of the member table. */
struct MemberEntry {
  1: required string host,
  2: required string address,
  3: required string dataCentre,
  4: required i64 incarnation,
  5: required MemberState state,
  6: required i64 revision
}

/** A statement fingerprint under suspicion or in quarantine. */
struct SuspectEntry {
  1: required i64 fingerprint,
  2: required i32 crashes,
  3: required bool quarantined,
  4: required i64 version,
  5: required bool lifted,
  6: optional string statement
}

/** A replica that was seen draining. */
struct DrainEntry {
  1: required string replica,
  2: required i64 incarnation
}

struct Gossip {
  1: required MemberEntry sender,
  2: required list<MemberEntry> members,
  3: required list<SuspectEntry> suspects,
  4: required list<DrainEntry> draining,
  5: required i64 revision
}

struct ProbeRequest {
  1: required Gossip gossip,
  /** Set for an indirect probe: the address to probe on behalf of the sender. */
  2: optional string target
}

struct ProbeReply {
  1: required Gossip gossip,
  /** For an indirect probe: whether the target answered. */
  2: optional bool targetAlive
}

/** Documents are compressed (zlib). */
struct ConfigPush {
  1: required i64 revision,
  2: required binary document
}

struct ConfigFetch {
  1: required i64 haveRevision
}

struct ConfigReply {
  1: required i64 revision,
  2: optional binary document
}

struct CommandForward {
  1: required string serviceName,
  2: required string idempotencyKey,
  3: required string body,
  4: required i64 deadlineMs,
  5: required string requestId,
  6: required string callerClass
}

struct CommandOutcome {
  /** Name of an ErrorKind, empty for success. */
  1: required string error,
  /** "no", "unknown" or "yes". */
  2: required string ran,
  3: required string body,
  4: optional string detail,
  /** Set if the host does not own the key's range; the other fields are then
      empty. Holds the host that it takes for the owner, or an empty name. */
  5: optional string redirect
}

struct CommandRecord {
  1: required string idempotencyKey,
  2: required i64 fingerprint,
  3: required bool finished,
  4: required CommandOutcome outcome
}

/** Planned hand-over of a key range to its next owner. */
struct RangeHandover {
  1: required i32 range,
  2: required i64 knownSinceMs,
  3: required list<CommandRecord> records,
  /** Index of the range's key in the store while the sender owned the range.
      The receiver's compare-and-swap expects it. */
  4: required i64 storeIndex
}

struct Ack {
  1: required bool accepted,
  2: optional string detail
}

union PeerRequest {
  1: ProbeRequest probe,
  2: ConfigPush configPush,
  3: ConfigFetch configFetch,
  4: CommandForward command,
  5: RangeHandover handover
}

union PeerReply {
  1: ProbeReply probe,
  2: Ack ack,
  3: ConfigReply config,
  4: CommandOutcome command
}

/** The envelope was unauthenticated, too old or malformed. */
exception Refused {
  1: required string reason
}

service Peer {
  /** Carries a PeerRequest (compact protocol) in an envelope and returns a
      PeerReply the same way. */
  Envelope exchange(1: Envelope request) throws (1: Refused refused)
}
