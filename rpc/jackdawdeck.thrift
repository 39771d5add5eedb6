/** Messages between jackdawdeck processes. Fields are optional so that versions can differ. */
namespace cpp jd.wire

struct Heartbeat {
  1: optional string zone
}

struct Envelope {
  1: optional string key
  2: optional string sender
  3: optional i64 incarnation
}
