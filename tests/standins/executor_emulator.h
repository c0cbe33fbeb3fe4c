#pragma once

#include "cell/cell_messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace primrosecroft
{

/// How a task behaves when it runs.
struct task_behaviour
{
    std::chrono::milliseconds work {500};
    bool fails = false;
    bool lasts = false;
    std::uint32_t gang = 0; ///< members that must be present before it works; 0 for no gang
};

/**
 * One worker as the platform describes it: fences, leases on its own clock, stops that bar,
 * lists of ends. Pure; the owner of the emulator moves its clock.
 */
class executor_emulator
{
public:
    executor_emulator(worker_description described, double clockRate);

    const worker_description &described() const;
    worker_description &described();

    /// Moves time by @p real; the worker's own clock may be slower. Ends what is due.
    void advance(std::chrono::milliseconds real);

    /// It starts anew: nothing of before is known, its clock begins at 0.
    void reboot(worker_boot boot);

    order_result start(const send_start &order, row_version token, const task_behaviour &behaviour);
    order_result stop(const run_id &run, row_version token);
    list_answered list(const std::optional<worker_time> &deadline, std::int64_t noted, row_version token);

    worker_time clock() const;

    /// Runs that work or wait now.
    std::set<run_id> running() const;
    resources used() const;

    /// What the worker has seen, for checks: each end, and whether it was forgotten on an owner's word.
    struct seen_end
    {
        listed_end end;
        worker_boot boot = 0; ///< numbers start anew with each
        bool noted = false;
    };
    const std::vector<seen_end> &ends() const;

    /// Sizes are told apart from orders, which don't carry them.
    std::map<task_ref, resources> sizes;

private:
    struct own_run
    {
        task_behaviour behaviour;
        std::chrono::milliseconds worked {0};
        std::string checkpoint;
        std::optional<std::chrono::milliseconds> stopsIn; ///< while it is being stopped
    };

    bool obeys(row_version token);
    void extend(const std::optional<worker_time> &deadline);
    void end(const run_id &run, run_end how);
    bool isGangWhole(const run_id &run, const own_run &own) const;

    worker_description m_described;
    double m_clockRate;
    std::chrono::duration<double, std::milli> m_clock {0};
    worker_time m_lease {0};
    row_version m_token = 0;
    std::map<run_id, own_run> m_runs;
    std::map<task_ref, std::uint32_t> m_barred; ///< highest attempt stopped or ended here
    std::vector<listed_end> m_listed;
    std::vector<seen_end> m_ends;
    std::int64_t m_lastEnd = 0;
};

} // namespace primrosecroft
