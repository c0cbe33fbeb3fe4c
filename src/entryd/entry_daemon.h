#pragma once

#include "configuration/sheet_service.h"
#include "daemon/daemon.h"
#include "demands/demand_service.h"
#include "routing/booking_proxy.h"

#include <optional>

namespace primrosecroft
{

/// Serves callers and operators on one entry VM: joins the slices that take part.
class entry_daemon
{
public:
    explicit entry_daemon(const daemon_settings &settings);

    int run();

private:
    daemon_role makeRole();
    demand_links makeLinks();
    void serve(const std::shared_ptr<http_request> &request);
    void receive(const wire::Message &message);
    void notifyHome(const failure_domain_id &home, const demand_key &key);
    void askHome(const failure_domain_id &home, const demand_key &key, const report_handler &done);
    void askNext(std::vector<peer_address> schedulers, const demand_key &key, const report_handler &done);
    void spreadLeaving(const upstream_id &upstream);
    std::string status() const;

    daemon m_daemon;
    std::optional<planning_sheet> m_sheet;
    booking_proxy m_bookings;
    demand_service m_demands;
    sheet_service m_sheets;
};

} // namespace primrosecroft
