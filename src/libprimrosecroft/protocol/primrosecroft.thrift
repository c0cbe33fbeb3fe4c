/**
 * Messages between primrosecroft's own processes. One message is one frame: a
 * length of four bytes, then the struct in Thrift's compact protocol.
 */
namespace cpp primrosecroft.wire

struct Sender {
  1: required string process
  2: required string role
  3: required string failureDomain
  4: required i64 incarnation
}

/** Liveness, what the sender has in force, and whether it leaves. */
struct Heartbeat {
  1: required i64 configurationVersion
  2: required bool leaving
  3: optional bool placing
}

struct ConfigurationRequest {
  1: required i64 aboveVersion
}

struct ConfigurationBody {
  1: required i64 version
  2: required string hash
  3: required binary body
}

/** A demand's row has changed; its home scheduler should read it. */
struct DemandNotice {
  1: required string key
}

struct DemandQuery {
  1: required string key
}

struct TaskReport {
  1: required i32 index
  2: required string state
  3: optional string worker
}

struct DemandReport {
  1: required string key
  2: required bool known
  3: required list<TaskReport> tasks
}

/** An upstream said that it is leaving. */
struct LeavingNotice {
  1: required string upstream
}

struct Message {
  1: required i64 id
  2: optional i64 replyTo
  3: required Sender sender
  4: optional Heartbeat heartbeat
  5: optional ConfigurationRequest configurationRequest
  6: optional ConfigurationBody configurationBody
  7: optional DemandNotice demandNotice
  8: optional DemandQuery demandQuery
  9: optional DemandReport demandReport
  10: optional LeavingNotice leavingNotice
}
