#pragma once

#include "configuration/sheet.h"
#include "demands/acceptance.h"
#include "demands/demand_row.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "jobs/job_rows.h"
#include "observability/metrics.h"
#include "store/guarded_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace primrosecroft
{

/// State and worker of one task of a demand, as reported by the owner of the cell.
struct task_report
{
    std::int32_t index = 0;
    std::string state; ///< waiting, starting, running or done
    worker_id worker; ///< empty if the task is waiting or done
};

/// Gets std::nullopt if the owner didn't answer or doesn't have the job.
using report_handler = std::function<void(std::optional<std::vector<task_report>>)>;

/// Functions of the rest of the process that the demand service calls.
struct demand_links
{
    std::function<void(const job_id &job, report_handler done)> askOwner;
    std::function<const planning_sheet *()> sheet; ///< the sheet in force; nullptr before the first version
    std::function<std::chrono::milliseconds()> storeTime; ///< the store's steady clock; 0 before its first answer
};

struct demand_settings
{
    failure_domain_id failureDomain;
    std::string pool; ///< of the workers that run demands
    std::chrono::milliseconds acceptDeadline {0}; ///< from a demand's arrival; no retry starts later
};

/**
 * Accepts, reports and cancels callers' demands. A demand is accepted if and only if its row
 * under the caller's key is committed. A commit whose answer was lost is resolved by repeating
 * it; the row's key keeps it from taking effect twice.
 */
class demand_service
{
public:
    demand_service(guarded_store &rows, metrics &measures, demand_links links, demand_settings settings);

    /// Serves POST /v1/demands and GET or DELETE /v1/demands/{key}. Also serves GET /v1/demands, which is a request of
    /// administration: the caller of this function has checked its authorization.
    void serve(const std::shared_ptr<http_request> &request);

    /// Accepts those demands of the sheet in force whose home is this process's failure domain. Several processes may
    /// do this at once: the key of a demand makes it idempotent. A demand whose key belongs to another one is refused,
    /// logged and counted. Called for each new sheet and periodically.
    void acceptSheetDemands();

private:
    struct submission;
    struct cancellation;

    /// A demand as read from the store.
    struct stored_demand
    {
        demand_row row;
        row_version liveVersion = 0; ///< of the row of its live job; 0 if the job has ended
        bool isCancelled = false; ///< true if the live job has a cancellation row
        std::optional<ended_job> ended; ///< std::nullopt while the job is live
    };

    /// The outer std::nullopt means that the read failed, the inner one that there is no such demand.
    using demand_result = std::optional<std::optional<stored_demand>>;

    void submit(const std::shared_ptr<http_request> &request);
    void refuseUnlessAccepted(const std::shared_ptr<submission> &entry);
    void advance(const std::shared_ptr<submission> &entry, const acceptance_message &message);
    void carryOut(const std::shared_ptr<submission> &entry, const acceptance_action &action);
    void commit(const std::shared_ptr<submission> &entry);
    void answerAccepted(const std::shared_ptr<submission> &entry);
    void answerUnknown(const std::shared_ptr<submission> &entry);
    void readStored(const demand_key &key, std::function<void(const demand_result &)> done);
    void readLive(const demand_row &row, std::function<void(const demand_result &)> done);
    void readEnded(stored_demand found, std::function<void(const demand_result &)> done);
    void query(const std::shared_ptr<http_request> &request, const demand_key &key);
    void list(const std::shared_ptr<http_request> &request);
    void cancel(const std::shared_ptr<cancellation> &entry);
    void commitCancel(const std::shared_ptr<cancellation> &entry, const stored_demand &found);
    void acceptSheetDemand(const demand_row &row);
    void settleSheetDemand(const demand_row &row);
    void giveUpCancel(const std::shared_ptr<cancellation> &entry);
    void refuse(const std::shared_ptr<http_request> &request, unsigned status, const std::string &step,
                const std::string &detail, std::optional<std::chrono::milliseconds> retryAfter);

    void refuseWithoutSheet(const std::shared_ptr<http_request> &request);

    static http_response listResponse(const std::vector<store_row> &rows, const failure_domain_id &home,
                                      const demand_key &after);
    static http_response queryResponse(const stored_demand &found,
                                       const std::optional<std::vector<task_report>> &tasks);
    static std::string stateOf(const stored_demand &found);

    guarded_store &m_store;
    metrics &m_measures;
    demand_links m_links;
    demand_settings m_settings;
    std::deque<demand_key> m_unresolved; ///< keys that were answered with an unknown outcome, oldest first
    /// Demands of sheets, by their keys, that are known to be accepted, or refused because their key belongs to
    /// another.
    std::map<demand_key, demand_spec> m_settledSheetDemands;
};

/// Chooses the failure domain in which a demand runs: the one that it names, otherwise @p own, otherwise the first one
/// of the sheet. Considers only failure domains whose workers, when empty, could hold the demand. Returns std::nullopt
/// if there is none.
std::optional<failure_domain_id> chooseHome(const planning_sheet &sheet, const demand_spec &spec,
                                            const failure_domain_id &own);

} // namespace primrosecroft
