/**
 * Messages between primrosecroft's own processes. One message is one frame: a
 * header of four bytes with the length of the body, big endian, then the body,
 * a Message in Thrift's compact protocol.
 */
namespace cpp primrosecroft.wire

/** Identifies the process that sent a message, and the run of that process. */
struct Sender {
  1: required string process // name of the process from its settings
  // Program of the process: "celld" or "entryd". No receiver uses it, but builds that run beside this one refuse a
  // message without it.
  2: required string role
  3: required string failureDomain
  4: required i64 incarnation // random number that identifies one run of the process; has no order
}

/**
 * Sent by an entry daemon to other entry daemons at each heartbeat interval, when a new configuration has come into
 * force, and when it leaves. Shows that the sender runs, which version of the configuration is in force there, and
 * whether it leaves. The reply is a ConfigurationBody if the receiver has a higher version in force, and a
 * ConfigurationRequest if it has a lower one. Otherwise there is no reply.
 */
struct Heartbeat {
  1: required i64 configurationVersion // 0 if the sender has no configuration yet
  2: required bool leaving // the sender is about to stop; final for its incarnation
}

/**
 * Requests the receiver's configuration if its version is higher than the sender's. It is answered by a
 * ConfigurationBody: a new message if the request was itself the reply to a heartbeat, otherwise a reply.
 */
struct ConfigurationRequest {
  1: required i64 aboveVersion // version in force at the sender; 0 if there is none
}

/**
 * A version of the configuration. The receiver puts it in force if the version is higher than its own, the hash matches
 * the body and the sheet can be read.
 */
struct ConfigurationBody {
  1: required i64 version
  2: required string hash // SHA-256 of the body, and its name in the object store
  3: required binary body // text of the sheet
}

/** State and worker of one task in a job's first occurrence. */
struct TaskReport {
  1: required i32 index // counted through all steps, from 0
  2: required string state // "waiting", "starting", "running" or "done"
  3: optional string worker // missing or empty if the task is waiting or done
}

/**
 * Sent by an entry daemon to all other entry daemons when an answer of an upstream, or the list of VMs, shows that the
 * upstream is leaving. There is no reply.
 */
struct LeavingNotice {
  1: required string upstream
}

/**
 * Notifies the owner that a job or its cancellation has been stored. May be sent more than once for a job. The reply is
 * a JobReport. If none arrives, or the receiver isn't the owner, the sender repeats the notice, and finally writes it
 * to the owner's inbox in the store.
 */
struct JobNotice {
  1: required string id // of the job
  2: required bool cancelled // false: the job was accepted; true: it was cancelled
}

/**
 * Requests that the owner stores a job or its cancellation, together with those of other requests in one transaction.
 * The reply is a JobReport with the outcome. Without a reply, the outcome is unknown.
 */
struct JobSubmission {
  1: required string id // of the job
  2: required binary row // the job's encoded row; not used for a cancellation
  3: required bool cancelled // false: accept the job; true: cancel it
}

/** Queries the owner for the status of a job. The reply is a JobReport. */
struct JobQuery {
  1: required string id // of the job
  2: optional bool withTasks // the report has to contain the job's tasks; false if missing
}

/**
 * Reply to a JobNotice, a JobSubmission or a JobQuery. The request determines which fields are set. The sender of the
 * reply may no longer be the owner.
 */
struct JobReport {
  // In the reply to a query, true if the sender is the owner, has loaded the stored state and has the job. In the reply
  // to a notice, true if the sender is the owner. In the reply to a submission, always true.
  1: required bool known
  2: optional string state // status of the job; only set in the reply to a query, if known is true
  // Only set in the reply to a submission. 0: stored. 1: conflict, since the job was accepted before or, for a
  // cancellation, has ended before. 2: refused, nothing was done. 3: unknown, it may be stored now or later.
  3: optional i32 outcome
  // Only set in the reply to a query with withTasks, if the sender is the owner and has loaded the stored state. Empty
  // if the owner doesn't have the job, or the job has begun no occurrence.
  4: optional list<TaskReport> tasks
  // Only set in the reply to a submission that was turned away (outcome 2), since the job can't be done in time: after
  // this time the caller may try again. A receiver of an earlier build takes the outcome for any other refusal.
  5: optional i64 retryAfterMs
}

/**
 * Requests that a cell daemon asks the advice service which workers may run a step. The owner distributes such requests
 * over the daemons, because the service answers one call at a time for each machine that calls it. The reply is an
 * AdviceReport.
 */
struct AdviceQuery {
  1: required string job
  2: required i32 occurrence // number of the occurrence of the job, from 0
  3: required i32 step // index of the step within the job, from 0
  4: required list<string> workers // the workers that the service is asked about
  5: required i64 patienceMs // timeout of the call to the service, in milliseconds; the receiver limits it to 1..60000
}

/** Permission of the advice service to run tasks of a step on a worker. */
struct AdvisedWorker {
  1: required string worker
  2: required string ticket
}

/** Answer of the advice service. */
struct AdviceReport {
  1: required bool answered // false if the service gave no usable answer; the other fields are then meaningless
  2: required list<AdvisedWorker> allowed // workers of the query that may run the step
  3: required i64 validMs // milliseconds for which the tickets may be used, from the arrival of this report
}

/**
 * Sent to the owner by the other cell daemons at short intervals. Shows that the sender runs, so that the owner sends
 * it advice queries, and gives the data by which the owner chooses a successor for a hand-over. The reply is an
 * OwnerReport.
 */
struct Presence {
  1: required string address // at which the sender listens for messages of other processes
  2: required i32 port // of that address
  3: required i64 storeAgeMs // milliseconds since the sender sent the last store call that was answered
  4: required bool leaving // the sender is about to stop
  5: required i64 upMs // milliseconds since the sender started
  // Milliseconds that the sender's shortest read of the store has taken since it started. Missing, or 0 from a sender of
  // an earlier build, before the first read.
  6: optional i64 storeDistanceMs
  7: optional string region // of the sender; a missing value counts as empty
  // Capacity of the sender's VM, in thousandths of a core and in Mbit/s. Missing if the sender doesn't know it.
  8: optional i64 milliCores
  9: optional i64 linkMbps
  10: optional i64 lateMs // milliseconds by which the sender's regular ticks come late, smoothed
  11: optional bool relays // the sender can relay orders; false if missing, as from an earlier build
  // Milliseconds since the sender's configuration was last confirmed. Missing if it never was, and from an earlier
  // build, which doesn't answer a ConfigurationPoll.
  12: optional i64 configurationAgeMs
}

/** Reply to a Presence. Shows whether the sender is still the owner, and how many jobs wait. */
struct OwnerReport {
  1: required bool owns // the sender is the owner
  2: required i64 token // version of the latest owner row that the sender has; its fencing token if it is the owner
  // Number of live jobs of which no task has started, by the name of their queue. A queue without such jobs is missing.
  // Has no meaning unless waitingAgeMs is present.
  3: required map<string, i64> waiting
  // Milliseconds since the moment for which these numbers hold. Missing if the sender isn't the owner or hasn't loaded
  // the stored state.
  4: optional i64 waitingAgeMs
  // The daemon of the receiver's region that reads the configuration from the store for the others. It is the receiver
  // itself if the address is its own. Missing if the sender names none, as in an earlier build.
  5: optional string configurationAddress
  6: optional i32 configurationPort
  // Version of the configuration's row that the sender has, and milliseconds from the moment at which that row was the
  // newest one to the arrival of the Presence. Missing if the sender's configuration has no workspaces, if it was never
  // confirmed, and from an earlier build.
  7: optional i64 configurationRow
  8: optional i64 configurationAgeMs
}

/**
 * Sent by a cell daemon when it has become the owner of the shard, or has resigned, to all daemons from which it has
 * received a Presence, and to the former owner. A receiver to which the row is new passes the notice on to all daemons
 * from which it has received a Presence itself. The others notice it when they next read the owner's row. There is no
 * reply.
 */
struct OwnerNotice {
  1: required binary row // the owner's row in the encoding of the store
  2: required i64 version // of the row; a notice that isn't newer than the row the receiver has is ignored
}

/** The owner requests that the receiver takes over the shard. There is no reply. */
struct Handover {
  1: required i64 token // the sender's fencing token; no effect unless it is the known owner's
}

/** One attempt at a task. */
struct TaskRun {
  1: required string job
  2: required i32 occurrence // number of the occurrence of the job, from 0
  3: required i32 step // index of the step within the job, from 0
  4: required i32 index // of the task within the step, from 0
  5: required i64 attempt
}

/** The worker that an order is for. */
struct OrderTarget {
  1: required i64 number // of the order; identifies its result
  2: required string worker
  3: required string address // IP address and port
  4: required i64 boot // the only boot that may carry out the order; 0 for any
}

/** Starts a run on a worker. */
struct StartOrder {
  1: required OrderTarget target
  2: required TaskRun run
  3: optional i32 payload // index into the batch's payloads; missing: the one that came with an earlier start of the job
  4: required i64 deadlineMs // end of the lease on the worker's clock
  5: optional binary checkpoint // missing: the task begins from its start
  6: optional string ticket // missing if the queue needs none
}

/** Stops a run. */
struct StopOrder {
  1: required OrderTarget target
  2: required TaskRun run
}

/** Polls a worker for its runs, and extends their leases. */
struct ListOrder {
  1: required OrderTarget target
  2: optional i64 deadlineMs // new end of the leases on the worker's clock; missing: they stay as they are
  3: required i64 acknowledgedEnd // the worker may forget ends up to this number
  4: required i64 waitMs // for which the worker may hold its answer back until a run ends
  5: required i64 timeoutMs // for the answer, from the relay's request to the worker
}

/**
 * Sent by the owner to a relay, which sends each order to its worker. The results come in OrderResults messages. A
 * relay decides nothing: it neither repeats nor keeps an order.
 */
struct OrderBatch {
  1: required i64 token // the owner's fencing token, for all orders
  2: required string replyAddress // to which the results are sent
  3: required i32 replyPort
  4: required i64 timeoutMs // for the workers' answers to starts and stops
  5: required list<binary> payloads // of the jobs whose tasks start
  6: required list<StartOrder> starts
  7: required list<StopOrder> stops
  8: required list<ListOrder> lists
  // The run of the receiver that the orders are for, and the time after that run's start at which they were made, or
  // later. The owner works it out from the receiver's Presence messages. The receiver sends no order that is too old.
  // Missing from an earlier build; the orders then count as made when they arrive.
  9: optional i64 receiverIncarnation
  10: optional i64 madeAtUpMs
}

/** Outcome of a start or a stop. */
struct OrderResult {
  1: required i64 number // of the order
  2: required i32 result // an order_result
}

struct ListedRun {
  1: required TaskRun run
  2: optional binary checkpoint
  3: required i32 percent
  4: required i64 load
}

struct ListedEnd {
  1: required i64 number
  2: required TaskRun run
  3: required i32 how // a run_end
  4: optional binary checkpoint
}

/** A worker's answer to a ListOrder. All but the first two fields are meaningless unless the result is done. */
struct ListResult {
  1: required i64 number // of the order
  2: required i32 result // an order_result
  3: required i64 boot
  4: required i64 clockMs // the worker's clock
  5: required list<ListedRun> running
  6: required list<ListedEnd> ended
}

/** Sent by a relay to the owner, with the results of some orders in any order. There is no reply. */
struct OrderResults {
  1: required i64 incarnation // of the owner that gave the orders; another run of the process ignores the results
  2: required list<OrderResult> results
  3: required list<ListResult> lists
}

/**
 * Asks a cell daemon for a newer row of the configuration. The reply is a ConfigurationNews: at once if the receiver
 * has a newer row, otherwise when its own row is confirmed again, at the latest after waitMs.
 */
struct ConfigurationPoll {
  1: required i64 rowVersion // version of the newest row that the sender has; 0 if it has none
  2: required i64 waitMs // the receiver limits it to 0..2000
}

/** Reply to a ConfigurationPoll. */
struct ConfigurationNews {
  1: required i64 rowVersion // version of the newest row that the sender has; 0 if it has none
  2: required i64 checkedVersion // version of the store up to which the sender has all changes of the configuration
  // Milliseconds from the moment at which the sender's row was the newest one to the arrival of the poll; negative if
  // it was so after that. Missing if the store has never confirmed the row.
  3: optional i64 confirmedAgeMs
  4: optional binary value // the row; missing if the poll names this version or a later one
  5: optional bool tooLarge // the row doesn't fit a message and has to be read from the store
}

/** One message. Exactly one of the fields from heartbeat on is set. */
struct Message {
  1: required i64 id // number of the message, from 1 in each run of its sender; 0 in a reply
  2: optional i64 replyTo // in a reply: id of the message that it answers; otherwise missing
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
  21: optional OrderBatch orderBatch
  22: optional OrderResults orderResults
  23: optional ConfigurationPoll configurationPoll
  24: optional ConfigurationNews configurationNews
}
