#pragma once

#include "scheduling/scheduler.h"
#include "table_model.h"
#include "worker_model.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * Two schedulers, a few workers and the table in virtual time, joined by a network
 * that loses, delays, doubles and reorders messages as a seed says. After each event
 * the promises are checked.
 */
namespace primrosecroft::schedules
{

enum class fault_kind
{
    messages, ///< lost, late, doubled, reordered
    pauses, ///< a scheduler stops, also between its decision and its sends
    kills, ///< a scheduler dies and starts anew
    workerCuts,
    storeCuts,
    storeFaults, ///< out, slow, or losing answers after taking effect
    workerRestarts,
    workerSets, ///< the sheet drops a worker and takes it back
};

inline constexpr int faultKinds = 8;

/// Rules switched off to prove that the checks see it.
struct broken_rules
{
    bool noTakeoverWait = false;
    bool oldStampsStart = false;
    bool forgottenStart = false; ///< a worker doesn't bar what it was told to forget
};

struct schedule_settings
{
    std::uint64_t seed = 0;
    int workers = 3;
    int schedulers = 2;
    std::set<fault_kind> faults;
    broken_rules broken;
    std::chrono::milliseconds faultsEnd {120'000};
    bool callers = true; ///< demands come and are cancelled until the faults end
};

struct scheduler_node
{
    scheduler_state state;
    bool alive = true;
    int incarnation = 0;
    instant pausedUntil;
};

struct worker_node
{
    standins::worker_model model;
    double clockRate = 1.0;
    bool alive = true;
};

struct cell_schedule
{
    schedule_settings settings;
    std::mt19937_64 random;
    instant now = instant {} + std::chrono::seconds(1);
    std::multimap<instant, std::function<void()>> events;
    std::vector<scheduler_node> schedulers;
    std::map<worker_id, worker_node> workers;
    standins::table_model table;
    bool faulty = true; ///< random faults happen
    bool storeOut = false;
    bool storeSlow = false;
    bool storeLosesAnswers = false;
    std::set<std::pair<int, worker_id>> cuts;
    std::set<int> storeCuts;
    std::map<task_id, std::set<attempt_id>> attempts; ///< ever seen running
    std::set<attempt_id> running; ///< at the last check
    std::uint64_t messages = 0;
    std::uint64_t storeOperations = 0;
    std::map<std::int64_t, std::uint64_t> storeOperationsBySecond;
    int lastDemand = 0;
    std::vector<std::string> trace;
    std::vector<std::string> violations;
};

/// Events hold a reference to @p cell: it must not move afterwards.
void begin(cell_schedule &cell, const schedule_settings &settings);

/// Stops at the first violation.
void runUntil(cell_schedule &cell, instant until);

/// Ends all faults, and checks that every demand ends or runs in bounded time.
void settle(cell_schedule &cell);

/// A whole schedule from its seed: faults, then quiet.
void runSchedule(cell_schedule &cell, const schedule_settings &settings);

void submit(cell_schedule &cell, const demand_spec &spec);
void killScheduler(cell_schedule &cell, int index);
void restartScheduler(cell_schedule &cell, int index);
void healAll(cell_schedule &cell);

/// The running tasks by worker.
std::map<task_id, worker_id> runningTasks(const cell_schedule &cell);

/// What the table says of a demand.
demand_row rowOf(const cell_schedule &cell, const demand_key &key);

std::string describe(const cell_schedule &cell);

} // namespace primrosecroft::schedules
