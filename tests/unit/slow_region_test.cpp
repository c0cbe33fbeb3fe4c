#include "core/clock.h"
#include "io/http_client.h"
#include "leadership/leadership.h"
#include "loopback.h"
#include "platform/store_client.h"
#include "queues/queue_follower.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

/// Processes whose path to the store is slow: answers come, but late or in small pieces.
using namespace primrosecroft;
using namespace std::chrono_literals;
using loopback::runUntil;

namespace
{

constexpr instant start {1h};

/// A store that sends the configuration in pieces, with a pause before each.
class slow_store
{
public:
    slow_store(int pieces, std::chrono::milliseconds pause)
        : m_pieces(pieces)
        , m_pause(pause)
        , m_peer([this](loopback::raw_connection &connection, int) { serve(connection); })
    {
    }

    std::uint16_t port() const
    {
        return m_peer.port();
    }

    int reads() const
    {
        return m_reads;
    }

private:
    void serve(loopback::raw_connection &connection)
    {
        while (true) {
            const auto request = connection.readRequest();
            if (request.empty()) {
                return;
            }
            if (request.find("/rows-get") == std::string::npos) {
                connection.readAll(); // a poll for changes, which finds none
                return;
            }
            ++m_reads;
            const std::string body =
                R"({"rows":[{"table":"op","part":"","key":"config","value":"","ver":7}],"hasMore":false,"ver":7})"
                + std::string(static_cast<std::size_t>(m_pieces), ' ');
            const auto size = body.size() - static_cast<std::size_t>(m_pieces);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                             + body.substr(0, size));
            for (int piece = 0; piece < m_pieces; ++piece) {
                std::this_thread::sleep_for(m_pause);
                connection.write(" ");
            }
        }
    }

    int m_pieces;
    std::chrono::milliseconds m_pause;
    std::atomic<int> m_reads = 0;
    loopback::scripted_peer m_peer;
};

/// A process that follows the configuration in the slow store.
struct following_process
{
    explicit following_process(const slow_store &source)
        : client(http, {"127.0.0.1", source.port()})
    {
        queues.start([this](const queue_table &table) { version = table.version; });
    }

    http_client http;
    platform::store_client client;
    decision_log log;
    std::int64_t version = 0;
    queue_follower queues {client,
                           {"op", "config",
                            [](const std::string &) {
                                queue_table table;
                                table.version = 7;
                                return table;
                            }},
                           log};
};

template<typename action>
bool hasAction(const std::vector<leadership_action> &actions)
{
    return std::ranges::any_of(actions, [](const auto &each) { return std::holds_alternative<action>(each); });
}

owner_row ownerRow()
{
    owner_row row;
    row.process = "b";
    row.incarnation = 2;
    return row;
}

/// Returns whether a process takes over from an owner that it doesn't hear, but that renews each 300 ms. Each poll of
/// the store is answered @p answerTime after it was sent.
bool takesOverFromRenewingOwner(std::chrono::milliseconds answerTime, store_outcome outcome)
{
    leadership_settings settings;
    settings.process = "a";
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, ownerRow(), 9, 10, 46ms}, start);
    std::optional<instant> polledAt;
    row_version renewal = 10;
    for (auto now = start; now < start + 30s; now += 10ms) {
        std::vector<leadership_action> actions;
        if (polledAt && now >= *polledAt + answerTime) {
            polledAt.reset();
            actions = step(state, owner_poll_answered {outcome, ownerRow(), 9, renewal, answerTime}, now);
        } else if ((now - start) % 200ms == 0ms) {
            actions = step(state, leadership_ticked {}, now);
        }
        if (hasAction<take_ownership>(actions)) {
            return true;
        }
        if (hasAction<poll_owner>(actions)) {
            polledAt = now;
            renewal = 10 + (now - start) / 300ms; // as the store holds it when it reads
        }
    }
    return false;
}

} // namespace

TEST_CASE("a configuration that takes longer to arrive than a read may take comes into force, and is read once")
{
    const slow_store store(12, 150ms);
    following_process process(store);
    CHECK(runUntil([&, end = bootNow() + 6s] { return process.version == 7 || bootNow() > end; }));
    CHECK(process.version == 7);
    CHECK(store.reads() == 1);
}

TEST_CASE("a read that isn't marked as large ends at its timeout, although its answer still arrives")
{
    const slow_store source(12, 150ms);
    http_client http;
    platform::store_client client(http, {"127.0.0.1", source.port()});
    std::optional<store_outcome> outcome;
    const auto sentAt = bootNow();
    client.read(rangeOf({"op", "", "config"}), 400ms, [&](const range_result &result) { outcome = result.outcome; });
    CHECK(runUntil([&] { return outcome.has_value(); }));
    CHECK(outcome == store_outcome::lost);
    CHECK(bootNow() < sentAt + 1s);
}

TEST_CASE("no process takes over from an owner that renews, because its own polls of the store get no answer")
{
    CHECK_FALSE(takesOverFromRenewingOwner(500ms, store_outcome::lost));
}

TEST_CASE("no process takes over from an owner that renews, because the answers to its own polls are late")
{
    for (const auto answerTime : {100ms, 250ms, 340ms, 400ms, 450ms, 490ms}) {
        INFO("answers take " << answerTime.count() << " ms");
        CHECK_FALSE(takesOverFromRenewingOwner(answerTime, store_outcome::done));
    }
}
