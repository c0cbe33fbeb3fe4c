#include "callers/caller_service.h"
#include "core/checksum.h"
#include "core/clock.h"
#include "figure.h"
#include "io/glib_pointer.h"
#include "io/http_server.h"
#include "platform/wire.h"
#include "store/store.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <glib.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/**
 * Measures the processor time that a daemon's main thread takes to refuse a call with an unknown key and to accept a
 * job, each over HTTP on one open connection. The owner answers at once, so an acceptance takes more in a deployment.
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;

constexpr int callCount = 20'000;
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

/// Sends @p callCount calls one after the other. Returns how many had another status than @p status.
int callRepeatedly(std::uint16_t port, const std::string &key, const std::string &status)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return callCount;
    }
    const std::string text =
        "POST /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 3000\r\nCredential: " + key
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(std::string(body).size())
        + "\r\n\r\n" + body;
    int others = 0;
    std::array<char, 2'048> answer {};
    for (int number = 0; number < callCount; ++number) {
        const bool isSent = send(descriptor, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size());
        const auto size = isSent ? recv(descriptor, answer.data(), answer.size(), 0) : 0;
        const std::string_view head(answer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        others += head.starts_with("HTTP/1.1 " + status) ? 0 : 1;
    }
    close(descriptor);
    return others;
}

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
        others = callRepeatedly(port, key, status);
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
    constexpr double floodRate = 5'000;
    bench::printFigure("cores_for_5000_refusals_a_second", refused * floodRate / 1e6, "");
    return bench::figuresOutOfBounds() == 0 ? 0 : 1;
}
