#include "callers/caller_service.h"
#include "core/checksum.h"
#include "figure.h"
#include "io/http_server.h"
#include "platform/wire.h"
#include "store/store.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <glib.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/**
 * Measures the processor time that a daemon's main thread takes to refuse a call with an unknown key and to accept a
 * job, each over HTTP on one open connection. The owner answers at once, so an acceptance takes more in a deployment.
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;

constexpr int callCount = 20'000;
constexpr auto quotaPeriod = 100ms;
constexpr double quotaMicroseconds = 12'000; ///< of each period, for 0.12 cores
constexpr auto floodInterval = 200us; ///< 5,000 calls with wrong keys a second, of all callers together
constexpr int floodCallers = 8;
constexpr auto validInterval = 5ms;
constexpr auto measuredTime = 8s;
constexpr int workspaceCount = 84;
constexpr int keysPerWorkspace = 3;
constexpr const char *validKey = "key-17-1";
constexpr const char *body =
    R"({"spec":"x","phases":[{"count":10,"cpu":2200,"memMb":4700,"estimateMs":800},{"count":6,"cpu":2200,"after":[0]}]})";

/// A store that nobody reaches.
class absent_store : public store
{
public:
    void commit(const store_transaction & /*transaction*/, std::chrono::milliseconds /*timeout*/,
                std::function<void(commit_result)> done) override
    {
        done({});
    }

    void read(const row_range & /*range*/, std::chrono::milliseconds /*timeout*/,
              std::function<void(range_result)> done) override
    {
        done({});
    }

    void pollChanges(const std::string & /*table*/, row_version /*after*/, std::chrono::milliseconds /*wait*/,
                     std::chrono::milliseconds /*timeout*/, std::function<void(feed_result)> done) override
    {
        done({});
    }
};

queue_table makeTable()
{
    queue_table table;
    queue_route route;
    route.host = "jobs.example";
    route.prefix = "/q/";
    route.queue.name = "q";
    table.routes = {route};
    table.workspaces.emplace();
    for (int number = 0; number < workspaceCount; ++number) {
        workspace each;
        each.name = "w" + std::to_string(number);
        for (int key = 0; key < keysPerWorkspace; ++key) {
            each.keys.insert(sha256("key-" + std::to_string(number) + '-' + std::to_string(key)));
        }
        table.workspaces->push_back(each);
    }
    return table;
}

/// A daemon's side of callers' calls.
struct served_callers
{
    caller_links makeLinks()
    {
        caller_links links;
        links.queues = [this] { return &table; };
        links.keys = [this] { return &keys; };
        links.isConfigurationCurrent = [] { return true; };
        links.storeTime = [] { return 1'000ms; };
        links.notifyOwner = [](const job_id &, bool) { };
        links.storeThroughOwner = [](const job_id &, const std::string &, bool, std::chrono::milliseconds,
                                     const std::function<void(store_outcome)> &done) { done(store_outcome::done); };
        links.askOwner = [](const job_id &, std::chrono::milliseconds, const std::function<void(owner_answer)> &done) {
            done({});
        };
        links.isOwnerResponsive = [] { return true; };
        links.isIsolated = [] { return false; };
        links.countWaitingJobs = [](const queue_name &) { return std::nullopt; };
        return links;
    }

    queue_table table = makeTable();
    key_index keys {*table.workspaces};
    absent_store rows;
    decision_log log {40, -1};
    metrics measures;
    caller_service service {
        rows,
        {platform::decodeJobBody, platform::encodeStatus, platform::encodeWaiting, "Deadline-Ms", "Credential"},
        makeLinks(),
        log,
        measures};
    http_server server {{}, [this](const std::shared_ptr<http_request> &request) { service.serve(request); }};
};

/// A caller with one open connection.
class caller
{
public:
    caller(std::uint16_t port, const std::string &key)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
        , m_text("POST /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 3000\r\nCredential: " + key
                 + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(std::string(body).size())
                 + "\r\n\r\n" + body)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isConnected = connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }

    ~caller()
    {
        close(m_descriptor);
    }

    caller(const caller &) = delete;
    caller &operator=(const caller &) = delete;

    /// Sends one call and waits for its answer. Returns whether it had this status.
    bool call(const std::string &status)
    {
        std::array<char, 2'048> answer {};
        const bool isSent =
            m_isConnected && send(m_descriptor, m_text.data(), m_text.size(), 0) == static_cast<ssize_t>(m_text.size());
        const auto size = isSent ? recv(m_descriptor, answer.data(), answer.size(), 0) : 0;
        const std::string_view head(answer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        return head.starts_with("HTTP/1.1 " + status);
    }

private:
    int m_descriptor;
    std::string m_text;
    bool m_isConnected = false;
};

double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Returns the microseconds of the main thread for each call.
double measure(served_callers &callers, const std::string &key, const std::string &status)
{
    std::atomic<int> others = -1;
    const auto port = callers.server.port();
    std::thread client([&others, port, key, status] {
        caller own(port, key);
        int count = 0;
        for (int number = 0; number < callCount; ++number) {
            count += own.call(status) ? 0 : 1;
        }
        others = count;
        g_main_context_wakeup(nullptr);
    });
    const auto before = threadMicroseconds();
    while (others < 0) {
        g_main_context_iteration(nullptr, TRUE);
    }
    const auto result = (threadMicroseconds() - before) / callCount;
    client.join();
    bench::printFigure("calls_answered_otherwise_than_" + status, others, "", bench::bound_side::atMost, 0);
    return result;
}

/// Lets the main loop run with a share of a core: in each period it gets so much processor time and then stands still,
/// as under a VM's quota.
void serveUntil(const std::atomic<bool> &isOver)
{
    auto periodEnd = std::chrono::steady_clock::now() + quotaPeriod;
    auto used = threadMicroseconds();
    while (!isOver) {
        g_main_context_iteration(nullptr, TRUE);
        if (threadMicroseconds() - used >= quotaMicroseconds) {
            std::this_thread::sleep_until(periodEnd);
        }
        if (const auto now = std::chrono::steady_clock::now(); now >= periodEnd) {
            periodEnd = now + quotaPeriod;
            used = threadMicroseconds();
        }
    }
}

/// Sends calls with wrong keys at the rate of one of floodCallers until @p isOver. Returns how many were sent.
int flood(std::uint16_t port, const std::atomic<bool> &isOver)
{
    caller own(port, "another-key");
    int count = 0;
    for (auto next = std::chrono::steady_clock::now(); !isOver; next += floodInterval * floodCallers) {
        std::this_thread::sleep_until(next);
        own.call("401");
        ++count;
    }
    return count;
}

struct flood_result
{
    double p99 = 0; ///< of valid calls, in milliseconds
    double floodRate = 0; ///< calls with wrong keys a second
    double cores = 0; ///< that the main thread took
};

/// Measures valid calls at a small VM, with a flood of wrong keys or without it.
flood_result measureValidCalls(served_callers &callers, bool hasFlood)
{
    std::atomic<bool> isOver = false;
    std::atomic<int> flooded = 0;
    std::vector<std::thread> threads;
    const auto port = callers.server.port();
    for (int number = 0; hasFlood && number < floodCallers; ++number) {
        threads.emplace_back([&] { flooded += flood(port, isOver); });
    }
    std::vector<double> times;
    threads.emplace_back([&] {
        caller own(port, validKey);
        const auto end = std::chrono::steady_clock::now() + measuredTime;
        for (auto next = end - measuredTime; next < end; next += validInterval) {
            std::this_thread::sleep_until(next);
            own.call("200");
            const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - next;
            times.push_back(took.count());
        }
        isOver = true;
        g_main_context_wakeup(nullptr);
    });
    const auto before = threadMicroseconds();
    serveUntil(isOver);
    const auto seconds = std::chrono::duration<double>(measuredTime).count();
    const auto cores = (threadMicroseconds() - before) / 1e6 / seconds;
    // The flood's last calls still wait for their answers.
    std::atomic<bool> isJoined = false;
    std::thread joiner([&] {
        std::ranges::for_each(threads, &std::thread::join);
        isJoined = true;
        g_main_context_wakeup(nullptr);
    });
    while (!isJoined) {
        g_main_context_iteration(nullptr, TRUE);
    }
    joiner.join();
    std::ranges::sort(times);
    return {times[times.size() * 99 / 100], flooded / seconds, cores};
}

} // namespace

int main()
{
    served_callers callers;
    callers.server.listen("127.0.0.1", 0);
    measure(callers, validKey, "200"); // warms up
    const auto served = measure(callers, validKey, "200");
    const auto refused = measure(callers, "another-key", "401");
    bench::printFigure("job_accepted", served, "us");
    bench::printFigure("key_refused", refused, "us");
    bench::printFigure("key_refused_to_job_accepted", refused / served, "", bench::bound_side::atMost, 1);
    const auto calm = measureValidCalls(callers, false);
    const auto flooded = measureValidCalls(callers, true);
    bench::printFigure("wrong_keys", flooded.floodRate, "/s", bench::bound_side::atLeast, 4'900);
    bench::printFigure("cores_in_flood", flooded.cores, "");
    bench::printFigure("valid_call_p99_calm", calm.p99, "ms");
    bench::printFigure("valid_call_p99_flood", flooded.p99, "ms");
    bench::printFigure("valid_call_p99_flood_to_calm", flooded.p99 / calm.p99, "", bench::bound_side::atMost, 2);
    return bench::figuresOutOfBounds() == 0 ? 0 : 1;
}
