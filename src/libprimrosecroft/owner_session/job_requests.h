#pragma once

#include "owner_session/acceptance_batcher.h"
#include "owner_session/admission_control.h"
#include "owner_session/owned_commits.h"
#include "owner_session/runner_context.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace primrosecroft
{

/// Accepts and cancels jobs for the callers' requests.
class job_requests
{
public:
    /// @p readJob is called with a job that is stored already, but that the core may not have yet.
    job_requests(const runner_context &context, owned_commits &commits, std::function<void(const job_id &id)> readJob);

    /// Accepts a job, or turns it away. The outcome is conflict if the job has been accepted before, and refused if @p
    /// row can't be read or, with a time to come back, if the job was turned away.
    void submit(const job_id &id, const std::string &row, stored_handler done);

    /// Returns whether the job's acceptance is in flight.
    bool isBeingAccepted(const job_id &id) const;

    /// Cancels a live job. The outcome is done once the cancellation is stored, conflict if the job has ended before,
    /// and refused if the job isn't known.
    void cancel(const job_id &id, stored_handler done);

    /// Answers the cancellations of a job whose end is stored now.
    void handleJobEnd(const job_id &id);

    /// Ends all waiting requests with the outcome lost.
    void close();

private:
    stored_handler noted(const job_id &id, stored_handler done);
    void addAcceptedJob(const std::string &row, row_version version);

    const runner_context &m_context;
    admission_control m_admission;
    acceptance_batcher m_acceptances;
    std::map<job_id, std::vector<stored_handler>> m_cancellations; ///< called when the job's end is stored
};

} // namespace primrosecroft
