#pragma once

#include "scheduling/scheduler.h"
#include "worker_model.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

/**
 * One scheduler with its workers and its rows of the table in virtual time: the
 * actions of step() are carried out against models, without processes or sockets.
 */
namespace primrosecroft::standins
{

struct cell_row
{
    demand_row row;
    std::int64_t version = 0;
};

/// A message on its way to the scheduler, or a request on its way to a worker.
struct cell_event
{
    instant when;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const cell_event &left, const cell_event &right)
    {
        return std::pair(left.when, left.order) > std::pair(right.when, right.order);
    }
};

struct placed_task
{
    worker_id worker;
    instant when;
    std::chrono::milliseconds waited {0};
};

using step_function =
    std::function<std::vector<scheduler_action>(scheduler_state &, const scheduler_message &, instant)>;

struct virtual_cell
{
    scheduler_state scheduler;
    std::map<worker_id, worker_model> workers;
    std::set<worker_id> unreachable;
    std::map<demand_key, cell_row> rows;
    step_function run = step; ///< replaced by drivers that measure it
    instant now;
    std::chrono::microseconds workerLatency {1'500}; ///< one way
    std::chrono::milliseconds storeLatency {5}; ///< there and back
    std::chrono::milliseconds tick {50};

    std::multimap<task_id, placed_task> placed;
    std::uint64_t exchanges = 0;
    std::uint64_t startsSent = 0;
    std::uint64_t stopsSent = 0;
    std::uint64_t ended = 0; ///< demands whose outcome was written

    std::priority_queue<cell_event, std::vector<cell_event>, std::greater<>> events;
    std::uint64_t lastEvent = 0;
    instant nextTick;
};

/// Adds workers of @p total, @p rackSize to a rack, numbered on from those there.
void addWorkers(virtual_cell &cell, std::size_t count, const resources &total, std::size_t rackSize);

/// Tells the scheduler of all workers and runs until it holds each of them.
void takeOver(virtual_cell &cell);

/// Accepts a demand: its row is committed and the scheduler reads it now.
void submit(virtual_cell &cell, const demand_key &key, const demand_spec &spec);

/// Marks the row as cancelled and lets the scheduler read it now.
void cancel(virtual_cell &cell, const demand_key &key);

void runUntil(virtual_cell &cell, instant end);

/// Gives the scheduler one message and carries out its actions.
void deliver(virtual_cell &cell, const scheduler_message &message);

/// Tasks of a demand that run at workers now.
std::size_t runningTasks(const virtual_cell &cell, const demand_key &key);

/// What all workers run now, in total.
resources inUse(const virtual_cell &cell);

/// What all workers have, in total.
resources capacity(const virtual_cell &cell);

} // namespace primrosecroft::standins
