#pragma once

#include "daemons.h"
#include "judge.h"
#include "seeded.h"
#include "store_doors.h"

#include <deque>
#include <map>
#include <string>

namespace primrosecroft::soak
{

/// The callers of a soak: they submit jobs, retry as the users' pages say, ask for states, and cancel.
class callers
{
public:
    struct parts
    {
        const soak_site &site;
        daemons &processes;
        const store_doors &doors;
        standins::waiting_calls &calls;
        instant start; ///< of the soak
    };

    callers(parts environment, std::uint64_t seed);

    /// Submits what is due and asks for states. New jobs come while @p submits.
    void act(bool submits);

    /// Returns whether each accepted job that ends by itself, and isn't cancelled, has ended.
    bool haveAllEnded() const;

    const std::map<job_id, job_record> &jobs() const;
    const std::vector<finding> &findings() const;
    std::string summary() const;

private:
    enum class job_kind
    {
        quick,
        longer,
        service,
    };

    /// One call of a caller, which is made again after some outcomes.
    struct attempt
    {
        std::string method;
        job_id job;
        std::string body;
        int triesLeft = 0;
    };

    void submitDue(job_kind kind, double rate, instant &next);
    void submit(job_kind kind);
    void cancel(const job_id &id);
    void call(const attempt &what);
    void answered(const attempt &what, int daemon, instant sentAt, const http_outcome &outcome);
    void judgeFailure(const attempt &what, int daemon, instant sentAt, const http_failure &failure);
    void readState(job_record &job, int daemon, instant sentAt, const http_response &answer);
    void accepted(const attempt &what, job_record &job);
    void retry(attempt what);
    void askStates();
    /// Tells whether neither the process nor the store, for it, has been disturbed since shortly before the call.
    bool isCalmCall(int daemon, instant sentAt) const;
    int chooseDaemon();
    milliseconds now() const;

    parts m_parts;
    seeded m_random;
    http_client m_client {64};
    std::map<job_id, job_record> m_jobs;
    std::vector<finding> m_findings;
    instant m_nextQuick;
    instant m_nextLonger;
    instant m_nextService;
    instant m_nextAsk;
    std::int64_t m_lastJob = 0;
    int m_unanswered = 0; ///< calls without an answer from a disturbed daemon
    int m_answered = 0;
};

} // namespace primrosecroft::soak
