#include "routing/routing.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

/// Compares whole sessions of the routing core with golden files. `UPDATE_GOLDEN=1` rewrites the files; git shows the
/// difference.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// Sends messages to one daemon's routing core and records its actions as text.
class session
{
public:
    session()
    {
        routing_settings settings;
        settings.address = "10.0.0.1";
        settings.failureDomain = "grangemouth";
        settings.region = "central-belt";
        settings.seed = 7;
        m_state = makeRouting(settings);
    }

    void list(bool leaving = false)
    {
        upstreams_listed message;
        message.upstreams = {{"executor-1", "grangemouth", "central-belt", leaving},
                             {"executor-2", "motherwell", "central-belt", false},
                             {"executor-3", "dyce", "north-east", false}};
        message.entries = {{"10.0.0.1", "grangemouth", "central-belt"}, {"10.0.0.2", "motherwell", "central-belt"}};
        apply(leaving ? "the VM list shows 3 executors, executor-1 leaving" : "the VM list shows 3 executors", message);
    }

    void request(std::uint64_t id, bool repeatable, std::chrono::milliseconds deadline = 5'000ms)
    {
        std::ostringstream text;
        text << "request " << id << (repeatable ? ", repeatable" : ", not repeatable") << ", within "
             << deadline.count() << " ms";
        apply(text.str(), request_arrived {id, m_now + deadline, repeatable});
    }

    void finish(std::uint64_t id, attempt_result result, const std::string &what, bool leaving = false)
    {
        attempt_finished message {id, result, leaving, result == attempt_result::answered, 1, 20ms, 4'096};
        apply("request " + std::to_string(id) + ' ' + what, message);
    }

    void apply(const std::string &what, const routing_message &message)
    {
        m_text << '+' << std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start).count() << " ms  " << what
               << '\n';
        for (const auto &action : step(m_state, message, m_now)) {
            m_text << "      -> " << describe(action) << '\n';
        }
    }

    void advance(std::chrono::milliseconds time)
    {
        m_now += time;
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    static std::string describe(const routing_action &action)
    {
        if (const auto *sent = std::get_if<send_attempt>(&action)) {
            return "send " + std::to_string(sent->id) + " to " + sent->upstream;
        }
        if (const auto *refused = std::get_if<refuse_request>(&action)) {
            return "refuse " + std::to_string(refused->id) + ", " + refused->reason + ", retry after "
                + std::to_string(refused->retryAfter.count()) + " ms";
        }
        if (const auto *unknown = std::get_if<report_unknown>(&action)) {
            return "report " + std::to_string(unknown->id) + " as unknown";
        }
        if (const auto *delivered = std::get_if<deliver_answer>(&action)) {
            return "deliver the fault of " + std::to_string(delivered->id);
        }
        return "tell peers that " + std::get<announce_leaving>(action).upstream + " leaves";
    }

    static constexpr instant start = instant {} + 1h;

    routing_state m_state;
    instant m_now = start;
    std::ostringstream m_text;
};

void compare(const session &recorded, const std::string &name)
{
    const auto path = "../golden/" + name;
    if (std::getenv("UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << recorded.text();
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    CHECK(recorded.text() == expected.str());
}

} // namespace

TEST_CASE("a session without failures matches its golden file")
{
    session recorded;
    recorded.list();
    recorded.request(1, true);
    recorded.request(2, false);
    recorded.advance(20ms);
    recorded.finish(1, attempt_result::answered, "answered");
    recorded.finish(2, attempt_result::answered, "answered");
    for (std::uint64_t id = 3; id <= 18; ++id) {
        recorded.request(id, false);
    }
    recorded.advance(20ms);
    recorded.finish(3, attempt_result::answered, "answered");
    compare(recorded, "routing-happy.txt");
}

TEST_CASE("a session with failures matches its golden file")
{
    session recorded;
    recorded.request(1, true);
    recorded.list();
    for (std::uint64_t id = 2; id <= 11; ++id) {
        recorded.request(id, true);
        recorded.advance(5ms);
        recorded.finish(id, attempt_result::answered, "answered");
    }
    recorded.request(12, true);
    recorded.finish(12, attempt_result::lost, "lost its answer");
    recorded.finish(12, attempt_result::lost, "lost its answer");
    recorded.request(13, false);
    recorded.finish(13, attempt_result::lost, "lost its answer");
    recorded.request(14, false);
    recorded.finish(14, attempt_result::failed, "failed");
    recorded.request(15, false);
    recorded.finish(15, attempt_result::notRun, "was refused by the executor, which leaves", true);
    recorded.advance(1'000ms);
    recorded.list();
    recorded.request(16, false);
    recorded.advance(2'000ms);
    recorded.finish(16, attempt_result::unreachable, "found no connection");
    recorded.apply("a peer reported that executor-2 leaves", upstream_leaving_reported {"executor-2"});
    recorded.request(17, false);
    recorded.advance(30'000ms);
    recorded.list(true);
    recorded.advance(30'000ms);
    recorded.list();
    recorded.request(18, false);
    compare(recorded, "routing-failing.txt");
}
