#include "io/http_server.h"
#include "loopback.h"
#include "platform/worker_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

/// Orders to a worker that restarts at its address, over real connections.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

using json = nlohmann::json;

/// A process that listens at the worker's address and answers each list request.
class listening_boot
{
public:
    listening_boot(worker_boot boot, std::uint16_t port)
        : m_boot(boot)
    {
        m_server.listen("127.0.0.1", port);
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

    std::vector<std::int64_t> forgettableEnds; ///< of the requests so far

private:
    void answer(http_request &request)
    {
        forgettableEnds.push_back(json::parse(request.body()).at("lastSeen").get<std::int64_t>());
        const json body {{"clockMs", 1}, {"born", m_boot}, {"running", json::array()}, {"finished", json::array()}};
        request.answer({statusOk, {}, body.dump()});
    }

    worker_boot m_boot;
    http_server m_server {{}, [this](const std::shared_ptr<http_request> &request) { answer(*request); }};
};

/// An owner's or relay's orders to the worker, whose first boot runs.
struct restarted_worker
{
    order_result requestList(worker_boot boot, std::int64_t acknowledgedEnd)
    {
        send_list order;
        order.worker = "w";
        order.address = "127.0.0.1:" + std::to_string(port);
        order.boot = boot;
        order.acknowledgedEnd = acknowledgedEnd;
        std::optional<order_result> result;
        client.list(order, 1, 2s, [&result](const list_answered &answer) { result = answer.result; });
        loopback::runUntil([&result] { return result.has_value(); });
        return result.value_or(order_result::invalid);
    }

    void restart()
    {
        running.reset();
        running.emplace(2, port);
    }

    std::optional<listening_boot> running {std::in_place, 1, std::uint16_t {0}};
    std::uint16_t port = running->port();
    http_client http;
    platform::worker_client client {http};
};

/// Sends a start to the port and returns its result.
order_result startAt(std::uint16_t port)
{
    http_client http;
    platform::worker_client client {http};
    send_start order;
    order.worker = "w";
    order.address = "127.0.0.1:" + std::to_string(port);
    order.run = {{"63153fa08da81d76", 0, 0, 0}, 1};
    std::optional<order_result> result;
    client.start(order, 1, 300ms, [&result](const start_answered &answer) { result = answer.result; });
    loopback::runUntil([&result] { return result.has_value(); });
    return result.value_or(order_result::invalid);
}

} // namespace

TEST_CASE("a start for which no connection came up is known to have done nothing, one without answer isn't")
{
    const loopback::choked_peer choked;
    CHECK(startAt(choked.port()) == order_result::unreachable);
    CHECK(startAt(loopback::closedPort()) == order_result::unreachable);
    const loopback::scripted_peer silent([](loopback::raw_connection &connection, int) { connection.readAll(); });
    CHECK(startAt(silent.port()) == order_result::lost);
}

TEST_CASE("a worker is told which ends it may forget over a connection on which it has listed its runs")
{
    restarted_worker worker;
    CHECK(worker.requestList(1, 7) == order_result::done);
    CHECK(worker.requestList(1, 7) == order_result::done);
    CHECK(worker.running->forgettableEnds == std::vector<std::int64_t> {0, 7});
}

// Guards against TWICE: the next boot forgets ends that nobody has seen, because they have the numbers of an earlier
// one's.
TEST_CASE("a worker that has restarted isn't told the number of an end of its earlier boot")
{
    restarted_worker worker;
    worker.requestList(1, 0);
    worker.restart();
    while (worker.running->forgettableEnds.size() < 3) {
        worker.requestList(1, 7); // this process doesn't know of the restart, or the request was on its way
    }
    CHECK(worker.running->forgettableEnds == std::vector<std::int64_t> {0, 0, 0});
    worker.requestList(2, 3);
    CHECK(worker.running->forgettableEnds.back() == 3);
}
