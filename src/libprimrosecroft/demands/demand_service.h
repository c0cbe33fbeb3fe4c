#pragma once

#include "configuration/sheet.h"
#include "demands/acceptance.h"
#include "demands/demand_row.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "observability/metrics.h"
#include "platform/platform_client.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace primrosecroft
{

/// Where one task of a demand is, as its home scheduler says.
struct task_report
{
    std::int32_t index = 0;
    std::string state;
    worker_id worker;
};

using report_handler = std::function<void(std::optional<std::vector<task_report>>)>;

/// What the demand service needs of the other processes.
struct demand_links
{
    std::function<void(const failure_domain_id &home, const demand_key &key)> notify;
    std::function<void(const failure_domain_id &home, const demand_key &key, report_handler done)> ask;
    std::function<const planning_sheet *()> sheet; ///< none before the first version
};

/**
 * Callers' demands: accepted when the row is committed, queried, cancelled. The row
 * under the caller's key is the truth; a lost commit is resolved by repeating it.
 */
class demand_service
{
public:
    demand_service(platform_client &platform, metrics &measures, demand_links links, failure_domain_id ownDomain,
                   std::chrono::milliseconds acceptDeadline);

    /// Serves POST /v1/demands and GET or DELETE /v1/demands/{key}; GET /v1/demands is the administration's.
    void serve(const std::shared_ptr<http_request> &request);

private:
    struct submission;
    struct cancellation;

    struct versioned_row
    {
        demand_row row;
        std::int64_t version = 0;
    };

    /// Empty when the row couldn't be read; an empty row when there is none.
    using row_reading = std::optional<std::optional<versioned_row>>;

    void submit(const std::shared_ptr<http_request> &request);
    void refuseUnlessAccepted(const std::shared_ptr<submission> &entry);
    void settle(const std::shared_ptr<submission> &entry, const acceptance_message &message);
    void carryOut(const std::shared_ptr<submission> &entry, const acceptance_action &action);
    void commit(const std::shared_ptr<submission> &entry);
    void accepted(const std::shared_ptr<submission> &entry);
    void unresolved(const std::shared_ptr<submission> &entry);
    void readDemandRow(const demand_key &key, std::function<void(const row_reading &)> done);
    void query(const std::shared_ptr<http_request> &request, const demand_key &key);
    void list(const std::shared_ptr<http_request> &request);
    void listPage(const std::shared_ptr<http_request> &request, const std::vector<demand_key> &keys, bool hasMore);
    void cancel(const std::shared_ptr<cancellation> &entry);
    void commitCancel(const std::shared_ptr<cancellation> &entry, const versioned_row &found);
    void giveUpCancel(const std::shared_ptr<cancellation> &entry);
    void refuse(const std::shared_ptr<http_request> &request, unsigned status, const std::string &step,
                const std::string &detail, std::optional<std::chrono::milliseconds> retryAfter);

    platform_client &m_platform;
    metrics &m_measures;
    demand_links m_links;
    failure_domain_id m_ownDomain;
    std::chrono::milliseconds m_acceptDeadline;
    std::deque<demand_key> m_unresolved; ///< answered as unknown, oldest first
};

/// Where a demand that names no failure domain is at home: @p own if it could ever hold it, else the first that could.
std::optional<failure_domain_id> chooseHome(const planning_sheet &sheet, const demand_spec &spec,
                                            const failure_domain_id &own);

} // namespace primrosecroft
