#pragma once

#include "fault_plan.h"
#include "seeded.h"
#include "store_server.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primrosecroft::soak
{

/// The store's addresses of a soak, one a daemon, so that it can turn single daemons away, and the store's faults.
class store_doors
{
public:
    store_doors(const soak_site &site, standins::waiting_calls &calls, standins::store_server &server,
                std::uint64_t seed);
    store_doors(const store_doors &) = delete;
    store_doors &operator=(const store_doors &) = delete;

    void listen(const std::string &network);
    static std::string addressFor(const std::string &network, std::size_t daemon);

    /// Begins a fault of the store. @p daemons are those that it turns away.
    void begin(const fault &what, const std::vector<int> &daemons);

    /// Tells whether the store has served this daemon without a disturbance since then.
    bool servedCalmly(int daemon, instant since) const;

    /// Returns the number of the daemon that took over last; -1 if none has.
    int owner() const;

    /// Returns the number of the daemon that took over with this token; -1 if none has.
    int ownerOf(row_version token) const;

private:
    struct closed_door
    {
        instant until;
        fault_manner manner = fault_manner::silent;
    };

    void serve(std::size_t daemon, const std::shared_ptr<http_request> &request);
    bool turnAway(const closed_door &door, const std::shared_ptr<http_request> &request);
    standins::store_call_options optionsFor(std::size_t daemon);

    const soak_site &m_site;
    standins::waiting_calls &m_calls;
    standins::store_server &m_server;
    seeded m_random;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::vector<closed_door> m_doors; ///< of each daemon
    closed_door m_allDoors;
    instant m_slowUntil;
    instant m_losesUntil;
    instant m_disturbedUntil; ///< for all daemons
    std::map<row_version, std::size_t> m_owners;
};

} // namespace primrosecroft::soak
