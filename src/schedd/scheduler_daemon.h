#pragma once

#include "daemon/daemon.h"
#include "scheduling/scheduler.h"

#include <map>
#include <set>

namespace primrosecroft
{

/// Runs the scheduler's core: carries out its actions and feeds back what came of them.
class scheduler_daemon
{
public:
    explicit scheduler_daemon(const daemon_settings &settings);

    int run();

private:
    daemon_role makeRole();
    void applySheet(const planning_sheet &sheet);
    void receive(const wire::Message &message, const std::function<void(wire::Message)> &reply);
    void notePeers();

    void handle(const scheduler_message &message);
    void carryOut(const scheduler_action &action);
    /// Sends an order and feeds back its answer, or that it was lost.
    template<typename answered, typename order, typename parser>
    void callWorker(const order &action, const std::string &path, parser parse);

    void sendClaim(const send_claim &action);
    void sendExchange(const send_exchange &action);
    void sendRelease(const send_release &action);
    void writeRow(const write_row &action);
    void readRow(const demand_key &key);
    void scanRows(const scan_rows &action);
    void readScanned(std::uint64_t scan, std::vector<std::string> keys);
    void majorityChanged(bool held);
    void submitSheetDemands();
    std::string workerUrl(const worker_id &worker, const std::string &path) const;
    std::string status() const;

    daemon m_daemon;
    scheduler_state m_state;
    std::optional<planning_sheet> m_sheet;
    std::set<demand_key> m_submitted; ///< demands of sheets that are surely accepted
    std::size_t m_writesInFlight = 0;
    timer m_ticker;
};

} // namespace primrosecroft
