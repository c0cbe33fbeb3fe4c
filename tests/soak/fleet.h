#pragma once

#include "advice_server.h"
#include "executor_emulator.h"
#include "fault_plan.h"
#include "judge.h"
#include "seeded.h"
#include "store_server.h"
#include "worker_server.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace primrosecroft::soak
{

/// The emulated workers of a soak, their servers, their entries in the store and the faults that hit them.
class fleet
{
public:
    struct parts
    {
        const soak_site &site;
        std::string network; ///< first two numbers of all addresses
        executor_bounds bounds;
        standins::waiting_calls &calls;
        standins::store_server &store;
        standins::advice_server &advice;
        instant start;
        std::function<std::string(row_version token)> ownerOf; ///< names the daemon that took over with this token
    };

    fleet(parts environment, std::uint64_t seed);
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Carries time forward to the present, ends runs that are due, and brings up workers that were down.
    void advance();

    /// Writes the entries that are due into the store, and removes those that have expired.
    void announce();

    /// Begins a fault that hits these workers.
    void begin(const fault &what, const std::vector<int> &targets);

    /// Returns the worker of the task that a series of cuts follows. It is one that lasts, chosen when the series
    /// begins and again when it has ended. Returns std::nullopt while it waits to start again.
    std::optional<int> followTask();

    const std::vector<run_record> &runs() const;
    std::vector<worker_boot> boots() const;

private:
    struct member
    {
        explicit member(executor_emulator emulator);

        executor_emulator executor;
        std::vector<std::unique_ptr<http_server>> servers; ///< one a side; empty pointers while it refuses connections
        std::vector<instant> cutUntil; ///< of each side
        std::vector<fault_manner> cutManner;
        instant downUntil; ///< it has ended and restarts then
        bool isDown = false;
        instant frozenUntil;
        instant delaysUntil;
        instant losesUntil;
        bool losesAll = false;
        milliseconds entryDelay {0};
        instant entryFrom; ///< from then on its entry is written
        instant nextEntryAt;
        instant entryExpiresAt;
        bool isListed = false; ///< its entry is in the store
        instant cutFromStoreUntil;
        std::int64_t sequence = 0;
        std::size_t endsSeen = 0;
        std::vector<std::pair<std::size_t, std::size_t>> unnoted; ///< ends of this boot, and their records
    };

    /// A request on its way to a worker.
    struct delivery
    {
        int worker = 0;
        int side = 0;
        worker_boot boot = 0;
        instant sentAt;
        std::shared_ptr<http_request> request;
    };

    void listen(int worker, int side);
    void arrive(const delivery &order);
    bool isHeld(const delivery &order) const;
    void carryOut(const delivery &order, bool isLate);
    standins::worker_server_hooks hooksFor(const delivery &order, bool isLate);
    void recordStart(const delivery &order, const run_id &run, row_version token, bool isLate);
    const run_record *lastRunOf(const task_ref &task) const;
    const run_record *latestLastingRun() const;
    bool isCutOff(int worker) const;
    bool isFollowed() const;
    bool isAnnouncing(const member &worker) const;
    void cut(int worker, const fault &what, instant until);
    void takeDown(int worker, const fault &what);
    void bringUp(int worker);
    void collectEnds(int worker);
    void collectNotes(int worker);
    void endGang(const run_id &ended, run_end how);
    bool isGangPresent(const run_id &run) const;
    task_behaviour behaviourOf(const run_id &run, const std::string &payload) const;
    milliseconds now() const;
    member &at(int worker);

    parts m_parts;
    seeded m_random;
    std::deque<member> m_members;
    std::vector<run_record> m_runs;
    std::map<std::pair<int, run_id>, std::size_t> m_open; ///< records of the runs that haven't ended
    std::map<run_id, int> m_present; ///< of each gang with an attempt, named by index -1: members on workers
    std::map<run_id, int> m_gangSizes;
    std::optional<task_ref> m_followed; ///< by cuts
    std::set<task_ref> m_failed; ///< tasks of which a run has failed
    std::int64_t m_number = 0;
    instant m_advancedTo;
};

/// Returns the value of a worker's entry as daemons of that side are to see it.
std::string entryForSide(const std::string &value, int side);

} // namespace primrosecroft::soak
