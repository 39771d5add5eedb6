/**
 * Messages between gateways, and between the operator commands and a gateway. They are sent as
 * frames in Thrift's compact protocol.
 *
 * All times and durations are in microseconds. `sent`, `echo` and `request_sent` are times on the
 * monotonic clock of one process, so only that process can compare them with its current time:
 * `sent` is on the sender's clock, the other two repeat the `sent` of the receiver.
 */
namespace cpp jd.wire

struct HybridStamp {
  1: i64 wall_micros
  2: i32 counter
}

struct Heartbeat {
  1: string zone
  2: string address
  3: i32 peer_port
  4: i64 version
  5: bool ready
  6: bool leaving
  7: i64 sent
  8: i64 echo
  9: i64 echo_incarnation
  10: bool can_own
  11: i64 view_generation
  12: i64 view_echo
  13: optional binary view
  14: i64 view_settled
  15: optional binary unreleased
}

struct HeldSlots {
  1: string endpoint
  2: i32 held
  3: i32 in_flight
  4: i64 longest_left
  5: i32 bound
}

struct EndpointEvidence {
  1: string endpoint
  2: string instance
  3: i32 successes
  4: i32 failures
  5: i32 refusals
  6: i64 latency_sum
  7: i64 latency_max
  8: i8 state
  9: bool reported
}

struct SlotRequest {
  1: string pool
  2: i64 owner
  3: i64 sequence
  4: i64 last_grant
  5: i64 sent
  6: i32 demand
  7: string zone
  8: list<HeldSlots> held
  9: list<EndpointEvidence> evidence
  10: i32 wanted
  11: i64 reserve_in
  12: bool handed_over
}

struct GrantedSlots {
  1: string endpoint
  2: i32 added
  3: i32 limit
  4: i32 bound
}

struct SlotGrant {
  1: string pool
  2: i64 owner
  3: i64 sequence
  4: i64 request
  5: i64 request_sent
  6: i64 lifetime
  7: bool pressure
  8: list<GrantedSlots> slots
  9: bool handed_over
  10: i64 holder
}

struct EndpointNotice {
  1: string endpoint
  2: string instance
  3: i8 kind
}

struct CrashNotice {
  1: i64 fingerprint
}

struct ConfigEntry {
  1: i64 version
  2: string change
  3: string nonce
  4: string author
  5: i64 written
}

struct ConfigEntries {
  1: i64 snapshot_version
  2: string snapshot
  3: list<ConfigEntry> entries
}

struct ConfigFetch {
  1: i64 after
}

struct UnrecordedZone {
  1: string zone
  2: bool taken_out
  3: i64 base
  4: HybridStamp decided
  5: string author
}

struct WatchedRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool deleted
  5: bool recalled
}

struct RowList {
  1: list<WatchedRow> rows
}

/** The rows of a TableNews, which then has none and names its own version as `after`. */
struct PackedRows {
  1: i64 after
  2: i64 after_era
  /** Bytes of the encoded RowList before its compression. */
  3: i32 size
  /** A RowList in the compact protocol, compressed by zlib. */
  4: binary data
}

struct TableNews {
  1: string table
  2: i64 after
  3: i64 version
  4: list<WatchedRow> rows
  5: list<string> missing
  6: bool failed
  7: bool snapshot
  8: bool unconfirmed
  9: bool relay
  10: string reader
  11: string reader_zone
  12: i64 after_era
  13: i64 era
  14: bool from_full_read
  15: optional PackedRows packed
}

struct TableFetch {
  1: bool list_only
}

struct PermitRequest {
  1: string requester
  2: i64 call
  3: string endpoint
  4: string zone
  5: double limit
  6: i8 priority
  7: bool relayed
}

struct PermitReply {
  1: i64 call
  2: string endpoint
  3: bool granted
  4: i64 retry_after
}

/** The demand of one gateway for a workspace. */
struct QuotaDemand {
  1: string workspace
  2: i32 needed
  3: i32 ahead
  /** Tokens given back; negative: calls sent without a token. */
  4: i32 returned
}

struct QuotaRequest {
  1: string requester
  2: i64 sent
  3: list<QuotaDemand> demands
  4: bool relayed
  5: bool transfer
}

struct QuotaLease {
  1: string workspace
  2: i32 needed
  3: i32 granted
  4: i64 retry_after
}

struct QuotaGrant {
  1: i64 request_sent
  2: list<QuotaLease> leases
  3: bool transfer
}

struct RolloutId {
  1: string service_id
  2: string to
  3: i64 row
}

struct CallCounts {
  1: i64 calls
  2: i64 failures
  3: i64 slow
}

struct RouteCounts {
  1: string route
  2: CallCounts old_side
  3: CallCounts new_side
  4: i64 old_latency
}

struct EndpointCounts {
  1: string endpoint
  2: CallCounts counts
}

struct VersionEvidence {
  1: RolloutId rollout
  2: bool zone_sum
  3: string zone
  4: i64 age
  5: i8 phase
  6: bool bad
  7: i32 gateways_on_old
  8: list<RouteCounts> routes
  9: list<EndpointCounts> endpoints
  10: i64 endpoints_used
}

struct RolloutNotice {
  1: RolloutId rollout
  2: i8 state
  3: i64 status_row
}

struct LeavingEndpoint {
  1: string endpoint
  2: i64 run
}

struct EndpointStatement {
  1: list<LeavingEndpoint> leaving
}

struct LossReport {
  1: i64 fingerprint
  2: string gateway
  3: i64 call
  4: string service_name
  5: string endpoint
  6: i64 sent
  7: i64 lost
  8: bool idempotent
}

struct BlockReport {
  1: i64 fingerprint
  2: i64 since
}

/** All times are on the clock of the sender, whose present time is `told`. */
struct CrashEvidence {
  1: list<LossReport> losses
  2: list<i64> answered
  3: list<BlockReport> blocked
  4: i64 told
}

struct OperatorRequest {
  1: i64 id
  2: string command
  3: string body
  4: i64 timeout
}

struct OperatorReply {
  1: i64 id
  2: i8 status
  3: string body
}

/** Exactly one field is set. */
union Body {
  1: Heartbeat heartbeat
  2: SlotRequest slot_request
  3: SlotGrant slot_grant
  4: EndpointNotice endpoint_notice
  5: CrashNotice crash_notice
  6: ConfigEntries config_entries
  7: ConfigFetch config_fetch
  8: UnrecordedZone unrecorded_zone
  9: OperatorRequest operator_request
  10: OperatorReply operator_reply
  11: TableNews table_news
  12: TableFetch table_fetch
  13: PermitRequest permit_request
  14: PermitReply permit_reply
  17: QuotaRequest quota_request
  18: QuotaGrant quota_grant
  19: VersionEvidence version_evidence
  20: RolloutNotice rollout_notice
  15: EndpointStatement endpoint_statement
  16: CrashEvidence crash_evidence
}

struct Envelope {
  /**
   * Shared key of the deployment, set only in the first envelope of a connection. That envelope may
   * have an empty body. A receiver closes the connection if the key differs from its own.
   */
  1: string key
  2: string sender
  3: i64 incarnation
  4: HybridStamp stamp
  5: Body body
}
