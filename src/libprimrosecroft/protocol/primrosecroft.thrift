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
}

struct ConfigurationRequest {
  1: required i64 aboveVersion
}

struct ConfigurationBody {
  1: required i64 version
  2: required string hash
  3: required binary body
}

struct TaskReport {
  1: required i32 index
  2: required string state
  3: optional string worker
}

/** An upstream said that it is leaving. */
struct LeavingNotice {
  1: required string upstream
}

/** To the owner: a job was accepted, or cancelled. */
struct JobNotice {
  1: required string id
  2: required bool cancelled
}

/** To the owner: store that a job is accepted, or cancelled, with others in one transaction. */
struct JobSubmission {
  1: required string id
  2: required binary row
  3: required bool cancelled
}

struct JobQuery {
  1: required string id
  2: optional bool withTasks
}

/** What the owner knows of a job, or what became of a submission. */
struct JobReport {
  1: required bool known
  2: optional string state
  3: optional i32 outcome
  4: optional list<TaskReport> tasks
}

/** To a daemon: ask the advice service which workers may run a step. */
struct AdviceQuery {
  1: required string job
  2: required i32 occurrence
  3: required i32 step
  4: required list<string> workers
  5: required i64 patienceMs
}

struct AdvisedWorker {
  1: required string worker
  2: required string ticket
}

struct AdviceReport {
  1: required bool answered
  2: required list<AdvisedWorker> allowed
  3: required i64 validMs
}

/** To the owner: the sender lives, and when it last reached the store. */
struct Presence {
  1: required string address
  2: required i32 port
  3: required i64 storeAgeMs
  4: required bool leaving
  5: required i64 upMs
  6: optional i64 storeDistanceMs
  7: optional string region
}

/** The owner's answer to a presence. */
struct OwnerReport {
  1: required bool owns
  2: required i64 token
  3: required map<string, i64> waiting
}

/** A shard has a new owner. */
struct OwnerNotice {
  1: required binary row
  2: required i64 version
}

/** The owner asks the receiver to take over. */
struct Handover {
  1: required i64 token
}

struct Message {
  1: required i64 id
  2: optional i64 replyTo
  3: required Sender sender
  4: optional Heartbeat heartbeat
  5: optional ConfigurationRequest configurationRequest
  6: optional ConfigurationBody configurationBody
  10: optional LeavingNotice leavingNotice
  11: optional JobNotice jobNotice
  12: optional JobSubmission jobSubmission
  13: optional JobQuery jobQuery
  14: optional JobReport jobReport
  15: optional AdviceQuery adviceQuery
  16: optional AdviceReport adviceReport
  17: optional Presence presence
  18: optional OwnerReport ownerReport
  19: optional OwnerNotice ownerNotice
  20: optional Handover handover
}
