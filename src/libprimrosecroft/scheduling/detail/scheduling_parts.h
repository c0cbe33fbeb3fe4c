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

/// As sendExchanges, but looks only at workers that have orders.
void sendOrders(scheduler_state &state, instant now, action_list &actions);

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

/// Brings up to date which workers may be given tasks, and until when that holds.
void refreshSchedulable(scheduler_state &state, instant now);

/// Room was gained at the worker: sizes that fit there now are tried again.
void roomGained(scheduler_state &state, const worker_id &worker);
void orderStart(scheduler_state &state, demand_record &demand, std::int32_t index);
waiting_rank rankOf(const demand_record &demand);

// preemption.cpp: urgent work takes the place of other work.

/// Has tasks checkpointed so that the urgent demand's waiting tasks get room.
void preemptFor(scheduler_state &state, const demand_record &urgent, instant now);

/// Drops evictions that made their room or failed to, and hurries those that take long.
void reviewEvictions(scheduler_state &state, instant now);

/// Gives up the room of all evictions; tasks that were told to save themselves still end.
void dropEvictions(scheduler_state &state);

// quarantine.cpp: workers that fail whatever they are given.

/// Takes note of an attempt's end, before its capacity is freed.
void noteEnd(scheduler_state &state, const worker_id &worker, const ended_attempt &ended);

/// True when the worker's failures say nothing about the tasks.
bool isQuarantined(const scheduler_state &state, const worker_id &worker);

/// Says whether the worker may get tasks at all, or one on probation.
void reviewHealth(scheduler_state &state, const worker_id &worker, instant now);

/// The attempt was given to the worker; on probation nothing else is until it ends.
void noteProbe(scheduler_state &state, const worker_id &worker, attempt_id attempt);

// reservations.cpp: room for gangs.

/// Keeps room for the gang on the workers that are to be free soonest, unless an older one has a reservation.
void reserveForGang(scheduler_state &state, const waiting_rank &gang, instant now);
void releaseReservation(scheduler_state &state);

/// Gives the reservation up when its gang waits no more or one of its workers can't be used.
void reviewReservation(scheduler_state &state);

/// True when the demand's tasks may take room that is kept for a gang.
bool mayUseHeld(const scheduler_state &state, const demand_record &demand, instant now);

} // namespace primrosecroft::detail
