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
#include <memory>
#include <optional>
#include <set>

namespace primrosecroft
{

/// Where one task of a demand is, as the owner of the cell says.
struct task_report
{
    std::int32_t index = 0;
    std::string state;
    worker_id worker;
};

using report_handler = std::function<void(std::optional<std::vector<task_report>>)>;

/// What the demand service needs of the rest of its process.
struct demand_links
{
    std::function<void(const job_id &job, report_handler done)> askOwner;
    std::function<const planning_sheet *()> sheet; ///< none before the first version
    std::function<std::chrono::milliseconds()> storeTime; ///< the store's steady clock, as far as known
};

struct demand_settings
{
    failure_domain_id ownDomain;
    std::string pool; ///< the workers that run demands
    std::chrono::milliseconds acceptDeadline {0}; ///< for a demand to be committed
};

/**
 * Callers' demands: accepted when the row is committed, queried, cancelled. The row
 * under the caller's key is the truth; a lost commit is resolved by repeating it.
 */
class demand_service
{
public:
    demand_service(guarded_store &rows, metrics &measures, demand_links links, demand_settings settings);

    /// Serves POST /v1/demands and GET or DELETE /v1/demands/{key}; GET /v1/demands is the administration's.
    void serve(const std::shared_ptr<http_request> &request);

    /// Accepts those demands of the sheet in force whose home is the own failure domain; the key makes it idempotent.
    void acceptSheetDemands();

private:
    struct submission;
    struct cancellation;

    /// A demand as the store has it.
    struct stored_demand
    {
        demand_row row;
        row_version liveVersion = 0; ///< of its job's row; 0 when that has ended
        bool isCancelled = false; ///< a mark beside the job's row says so
        std::optional<ended_job> ended;
    };

    /// Empty when it couldn't be read; an empty demand when there is none.
    using demand_reading = std::optional<std::optional<stored_demand>>;

    void submit(const std::shared_ptr<http_request> &request);
    void refuseUnlessAccepted(const std::shared_ptr<submission> &entry);
    void advance(const std::shared_ptr<submission> &entry, const acceptance_message &message);
    void carryOut(const std::shared_ptr<submission> &entry, const acceptance_action &action);
    void commit(const std::shared_ptr<submission> &entry);
    void answerAccepted(const std::shared_ptr<submission> &entry);
    void answerUnknown(const std::shared_ptr<submission> &entry);
    void readStored(const demand_key &key, std::function<void(const demand_reading &)> done);
    void readLive(const demand_row &row, std::function<void(const demand_reading &)> done);
    void readEnded(stored_demand found, std::function<void(const demand_reading &)> done);
    void query(const std::shared_ptr<http_request> &request, const demand_key &key);
    void list(const std::shared_ptr<http_request> &request);
    void cancel(const std::shared_ptr<cancellation> &entry);
    void commitCancel(const std::shared_ptr<cancellation> &entry, const stored_demand &found);
    void giveUpCancel(const std::shared_ptr<cancellation> &entry);
    void refuse(const std::shared_ptr<http_request> &request, unsigned status, const std::string &step,
                const std::string &detail, std::optional<std::chrono::milliseconds> retryAfter);

    static http_response listAnswer(const std::vector<store_row> &rows, const failure_domain_id &home,
                                    const demand_key &after);
    static http_response queryAnswer(const stored_demand &found, const std::optional<std::vector<task_report>> &tasks);
    static std::string stateOf(const stored_demand &found);

    guarded_store &m_store;
    metrics &m_measures;
    demand_links m_links;
    demand_settings m_settings;
    std::deque<demand_key> m_unresolved; ///< answered as unknown, oldest first
    std::set<demand_key> m_accepted; ///< of sheets, surely
};

/// Where a demand that names no failure domain is at home: @p own if it could ever hold it, else the first that could.
std::optional<failure_domain_id> chooseHome(const planning_sheet &sheet, const demand_spec &spec,
                                            const failure_domain_id &own);

} // namespace primrosecroft
