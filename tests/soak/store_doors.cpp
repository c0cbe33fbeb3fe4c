#include "store_doors.h"

#include "core/clock.h"
#include "fleet.h"
#include "platform/wire.h"

#include <algorithm>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int firstPort = 7701;
constexpr unsigned statusTooManyRequests = 429;
constexpr auto usualDelay = 5ms;

bool writesOwner(const store_transaction &transaction)
{
    return std::ranges::any_of(transaction.writes, [](const row_write &write) {
        return write.place.table == "cell" && write.place.key == "owner";
    });
}

} // namespace

store_doors::store_doors(const soak_site &site, standins::waiting_calls &calls, standins::store_server &server,
                         std::uint64_t seed)
    : m_site(site)
    , m_calls(calls)
    , m_server(server)
    , m_random(seed + 2)
    , m_doors(site.daemons.size())
{
}

void store_doors::listen(const std::string &network)
{
    for (std::size_t i = 0; i < m_site.daemons.size(); ++i) {
        m_servers.push_back(std::make_unique<http_server>(
            http_server_limits {.maxBodySize = std::int64_t {4} * 1024 * 1024},
            [this, i](const std::shared_ptr<http_request> &request) { serve(i, request); }));
        m_servers.back()->listen(network + ".0.1", static_cast<std::uint16_t>(firstPort + static_cast<int>(i)));
    }
}

std::string store_doors::addressFor(const std::string &network, std::size_t daemon)
{
    return network + ".0.1:" + std::to_string(firstPort + static_cast<int>(daemon));
}

void store_doors::serve(std::size_t daemon, const std::shared_ptr<http_request> &request)
{
    if (turnAway(m_allDoors, request) || turnAway(m_doors[daemon], request)) {
        return;
    }
    m_server.serve(request, optionsFor(daemon));
}

/// Returns false if the request is to be served.
bool store_doors::turnAway(const closed_door &door, const std::shared_ptr<http_request> &request)
{
    if (door.until <= bootNow()) {
        return false;
    }
    switch (door.manner) {
    case fault_manner::unavailable:
        request->answer({statusUnavailable, {}, ""});
        break;
    case fault_manner::busy:
        request->answer({statusTooManyRequests, {}, ""});
        break;
    case fault_manner::reset:
        request->abort();
        break;
    case fault_manner::silent:
        m_server.keepUnanswered(request);
        break;
    }
    return true;
}

standins::store_call_options store_doors::optionsFor(std::size_t daemon)
{
    standins::store_call_options options;
    options.delay = m_slowUntil > bootNow() ? m_random.time(50ms, 900ms) : usualDelay;
    if (m_losesUntil > bootNow() && m_random.chance(0.5)) {
        options.fate = m_random.chance(0.3) ? standins::answer_fate::reset : standins::answer_fate::lost;
        options.commitDelay = m_random.chance(0.3) ? m_random.time(200ms, 4'000ms) : 0ms;
    }
    options.committed = [this, daemon](const store_transaction &transaction, row_version version) {
        if (writesOwner(transaction)) {
            m_owners[version] = daemon;
        }
    };
    const auto side = static_cast<int>(m_site.daemons[daemon].domain) % m_site.workerSides;
    options.valueOf = [side](const store_row &row) {
        return row.place.table == platform::workerTable ? entryForSide(row.value, side) : row.value;
    };
    return options;
}

void store_doors::begin(const fault &what, const std::vector<int> &daemons)
{
    const auto until = bootNow() + what.duration;
    if (what.kind == fault_kind::turnDaemonsAway) {
        for (const auto daemon : daemons) {
            m_doors[static_cast<std::size_t>(daemon)] = {until, what.manner};
        }
    } else if (what.kind == fault_kind::stopStore) {
        m_allDoors = {until, what.manner};
        m_disturbedUntil = std::max(m_disturbedUntil, until);
    } else if (what.kind == fault_kind::slowStore) {
        m_slowUntil = until;
        m_disturbedUntil = std::max(m_disturbedUntil, until);
    } else if (what.kind == fault_kind::loseStoreAnswers) {
        m_losesUntil = until;
        m_disturbedUntil = std::max(m_disturbedUntil, until);
    } else if (what.kind == fault_kind::dropStoreHistory) {
        m_server.store.dropHistory();
    }
}

bool store_doors::servedCalmly(int daemon, instant since) const
{
    return m_disturbedUntil < since && m_doors.at(static_cast<std::size_t>(daemon)).until < since;
}

int store_doors::owner() const
{
    return m_owners.empty() ? -1 : static_cast<int>(m_owners.rbegin()->second);
}

int store_doors::ownerOf(row_version token) const
{
    const auto found = m_owners.find(token);
    return found == m_owners.end() ? -1 : static_cast<int>(found->second);
}

} // namespace primrosecroft::soak
