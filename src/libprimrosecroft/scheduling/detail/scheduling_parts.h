#pragma once

#include "scheduling/scheduler.h"

/// Parts of the scheduler's step, one duty each; only step() calls across them.
namespace primrosecroft::detail
{

using action_list = std::vector<scheduler_action>;

// takeover.cpp: claims, the majority, and reading what workers run.

void configureWorkers(scheduler_state &state, const workers_configured &message, instant now);

/// Removed workers are remembered until what they run has surely stopped.
void dropRetired(scheduler_state &state, instant now);
void acceptClaim(scheduler_state &state, const claim_answered &message, instant now);
void updateMajority(scheduler_state &state, instant now, action_list &actions);
void releaseAll(scheduler_state &state, action_list &actions);
void requestClaims(scheduler_state &state, instant now, action_list &actions);
void loseSilentWorkers(scheduler_state &state, instant now);
void resolveDoubt(scheduler_state &state, instant now);

// exchanges.cpp: orders to workers and their answers.

void acceptExchange(scheduler_state &state, const exchange_answered &message, instant now, action_list &actions);
void exchangeLost(scheduler_state &state, const worker_request_lost &message, instant now);
void sendExchanges(scheduler_state &state, instant now, action_list &actions);

// lifecycle.cpp: what becomes of tasks and demands.

void learnRow(scheduler_state &state, const row_read &message, instant now);
void rememberClosed(scheduler_state &state, const demand_key &key, std::int64_t version, instant now);
void loseDoubtfulTasks(scheduler_state &state, demand_record &demand);
void adoptTask(scheduler_state &state, const worker_id &worker, const task_listing &listing);
void endAttempt(scheduler_state &state, const worker_id &worker, const ended_attempt &ended);
void loseAttempt(scheduler_state &state, const worker_id &worker, attempt_id attempt);
void orderStop(scheduler_state &state, const worker_id &worker, attempt_id attempt);
void reviewDemands(scheduler_state &state, instant now, action_list &actions);
void finishScan(scheduler_state &state, const scan_finished &message, instant now, action_list &actions);
void requestScan(scheduler_state &state, instant now, action_list &actions);
void makeWaiting(scheduler_state &state, demand_record &demand, task_record &task);
void occupy(scheduler_state &state, const worker_id &worker, attempt_id attempt, const occupation &what);
void vacate(scheduler_state &state, const worker_id &worker, attempt_id attempt);

/// A task whose attempt surely runs nowhere any more, without a known end.
void taskLost(scheduler_state &state, demand_record &demand, std::int32_t index);

// rows.cpp: the demands' rows in the table.

void writeIfChanged(scheduler_state &state, demand_record &demand, action_list &actions);
void writeCommitted(scheduler_state &state, const row_written &message);
void writeLost(scheduler_state &state, const row_write_lost &message, instant now);
void writeRefused(scheduler_state &state, const row_write_refused &message, action_list &actions);
void storeLost(scheduler_state &state, const demand_key &key, instant now);
void retryStore(scheduler_state &state, instant now, action_list &actions);

// placing.cpp: waiting tasks get workers.

void placeWaiting(scheduler_state &state, instant now);
void orderStart(scheduler_state &state, demand_record &demand, std::int32_t index);
waiting_rank rankOf(const demand_record &demand);

} // namespace primrosecroft::detail
