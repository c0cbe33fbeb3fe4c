#pragma once

#include "cell/cell_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace primrosecroft
{

class executor_emulator;

/**
 * The gangs of an emulated cell, whose members run on several workers: they work while all of them are present, the end
 * of one ends the others, and a worker ends a member that has waited for the platform's gang timeout. Checks that the
 * owner lets no member wait that long.
 */
class gang_check
{
public:
    /// The gang that a run belongs to.
    struct gang_ref
    {
        step_ref step;
        std::uint32_t attempt = 0;

        friend auto operator<=>(const gang_ref &, const gang_ref &) = default;
    };

    /// Tells the number of members of the job's gangs.
    void addJob(const accepted_job &job);

    /// Counts the members that are present, before the workers advance.
    void countMembers(const std::vector<executor_emulator *> &workers);

    bool isPresent(const run_id &run) const;

    /// Called when the worker crashes, before it loses its runs.
    void recordCrash(const executor_emulator &worker);

    /// Ends the other members of the gangs of which one has ended or was lost with its worker. Returns the violation if
    /// a worker has ended a member that waited for others; an empty string if none has.
    std::string endMembers(const std::vector<executor_emulator *> &workers);

private:
    bool isGang(const step_ref &step) const;

    std::map<step_ref, std::size_t> m_sizes;
    std::map<gang_ref, std::size_t> m_present;
    std::set<gang_ref> m_crashed; ///< gangs of which a member was lost with its worker
    std::map<worker_id, std::size_t> m_endsSeen;
};

} // namespace primrosecroft
