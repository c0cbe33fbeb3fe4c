#include "configuration_link.h"
#include "core/clock.h"
#include "core/error.h"
#include "io/timer.h"
#include "primrosecroft_types.h"
#include "protocol/frame.h"
#include "protocol/sender.h"
#include "store/monitored_store.h"
#include "store_emulator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <glib.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

/// Daemons that share one transfer of the configuration, with real messages between them.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// Address of this host that no other run of this test uses at the same time.
const std::string loopback =
    "127.26." + std::to_string(getpid() / 250 % 250) + '.' + std::to_string(getpid() % 250 + 1);
constexpr std::uint16_t firstPort = 7'100;
constexpr int daemonCount = 15;
constexpr std::size_t usualRowBytes = 700'000;
const row_place configurationPlace {"op", "", "config"};

/// Text of a configuration: its version, and blanks up to the size of the row.
std::string configurationText(const std::string &version)
{
    return version + std::string(usualRowBytes - version.size(), ' ');
}

queue_table decode(const std::string &text)
{
    if (text.starts_with("invalid")) {
        throw error("decode configuration", "", "it is invalid");
    }
    queue_table table;
    table.version = std::stoll(text.substr(0, text.find(' ')));
    return table;
}

/// A store that counts how often it sends the configuration, and whose polls wait for a change.
class counting_store : public store
{
public:
    counting_store()
    {
        m_timer.every(5ms, [this] { answerPolls(); });
    }

    void write(const std::string &text)
    {
        m_rows.commit({{}, {{configurationPlace, text}}, {}});
    }

    void commit(const store_transaction & /*transaction*/, std::chrono::milliseconds /*timeout*/,
                std::function<void(commit_result)> /*done*/) override
    {
    }

    void read(const row_range &range, std::chrono::milliseconds /*timeout*/,
              std::function<void(range_result)> done) override
    {
        auto result = m_rows.read(range);
        send(result.rows);
        done(result);
    }

    void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds wait,
                     std::chrono::milliseconds /*timeout*/, std::function<void(feed_result)> done) override
    {
        m_polls.push_back({table, after, bootNow() + wait, std::move(done)});
    }

    int transfers = 0;
    std::size_t rowPadding = 0; ///< blanks added to each row that is sent, as the emulator takes no larger rows

private:
    struct waiting_poll
    {
        std::string table;
        row_version after = 0;
        instant dueAt;
        std::function<void(feed_result)> done;
    };

    void send(std::vector<store_row> &rows)
    {
        transfers += static_cast<int>(rows.size());
        for (auto &row : rows) {
            row.value.append(rowPadding, ' ');
        }
    }

    void answerPolls()
    {
        for (auto &poll : std::exchange(m_polls, {})) {
            auto result = m_rows.follow(poll.table, poll.after);
            if (result.rows.empty() && poll.dueAt > bootNow()) {
                m_polls.push_back(std::move(poll));
                continue;
            }
            send(result.rows);
            poll.done(result);
        }
    }

    store_emulator m_rows;
    std::vector<waiting_poll> m_polls;
    timer m_timer;
};

peer_address addressOf(int index)
{
    return {loopback, static_cast<std::uint16_t>(firstPort + index)};
}

std::string nameOf(int index)
{
    return "p" + std::to_string(firstPort + index);
}

struct far_daemon
{
    far_daemon(store &target, int number)
        : index(number)
        , rows(target)
        , hub(makeSender(nameOf(number), "celld", "domain", 1),
              [this](const wire::Message &message, const auto &reply) {
                  if (message.__isset.configurationPoll) {
                      link.handlePoll(message.configurationPoll, reply);
                  }
              })
        , queues(rows, {configurationPlace.table, configurationPlace.key, decode}, log,
                 [this](const ask_source &question, auto done) { link.ask(question, std::move(done)); })
        , link(hub, queues, addressOf(number))
    {
        hub.listen(addressOf(number));
        queues.start([this](const queue_table &table) { versions.push_back(table.version); });
    }

    std::int64_t version() const
    {
        return versions.empty() ? 0 : versions.back();
    }

    wire::Message presence() const
    {
        wire::Message message;
        message.sender.process = nameOf(index);
        message.presence.address = addressOf(index).address;
        message.presence.port = addressOf(index).port;
        message.presence.__set_region("far");
        message.presence.__set_storeDistanceMs(46);
        link.addAge(message.presence);
        message.__isset.presence = true;
        return message;
    }

    int index;
    monitored_store rows;
    decision_log log;
    peer_hub hub;
    queue_follower queues;
    configuration_link link;
    std::vector<std::int64_t> versions; ///< that came into force, in their order
};

/// The daemons, and an owner that hears of them.
struct far_region
{
    far_region()
        : ownerHub(makeSender("owner", "celld", "domain", 1), [](const wire::Message &, const auto &) { })
        , ownerQueues(rows, {"", "", decode}, log)
        , owner(ownerHub, ownerQueues, {loopback, firstPort - 1})
    {
        rows.write(configurationText("1"));
        for (int index = 0; index < daemonCount; ++index) {
            daemons.push_back(std::make_unique<far_daemon>(rows, index));
        }
        presenceTimer.every(100ms, [this] { sendPresences(); });
    }

    void sendPresences()
    {
        for (const auto &each : daemons) {
            const auto message = each->presence();
            owner.notePresence(message);
            wire::OwnerReport report;
            owner.addSource(report, message.sender.process, ownsSince);
            each->link.handleReport(report, {loopback, firstPort - 1}, bootNow());
        }
    }

    bool allHave(std::int64_t version) const
    {
        return std::ranges::all_of(daemons, [version](const auto &each) { return each->version() == version; });
    }

    counting_store rows;
    decision_log log;
    peer_hub ownerHub;
    queue_follower ownerQueues;
    configuration_link owner;
    instant ownsSince = bootNow() - 2s;
    std::vector<std::unique_ptr<far_daemon>> daemons;
    timer presenceTimer;
};

/// Runs the main loop until @p isDone returns true, but for no longer than @p limit.
bool runUntil(const std::function<bool()> &isDone, std::chrono::milliseconds limit = 20s)
{
    const auto end = bootNow() + limit;
    timer wake;
    wake.every(5ms, [] { });
    while (!isDone() && bootNow() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return isDone();
}

void runFor(std::chrono::milliseconds span)
{
    runUntil([] { return false; }, span);
}

} // namespace

TEST_CASE("fifteen daemons of a far region take one transfer of a change from the store")
{
    far_region far;
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    runFor(2s);
    far.rows.transfers = 0;
    far.rows.write(configurationText("2"));
    CHECK(runUntil([&] { return far.allHave(2); }, 2s));
    CHECK(far.rows.transfers == 1);
    for (const auto &each : far.daemons) {
        CHECK(each->queues.confirmedAt() + 2'200ms > bootNow());
        CHECK(each->versions == std::vector<std::int64_t> {1, 2});
    }
}

TEST_CASE("a daemon never counts as confirmed later than its source")
{
    far_region far;
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    runFor(2s);
    const auto &source = far.daemons.front()->queues;
    for (int turn = 0; turn < 150; ++turn) {
        runFor(10ms);
        for (const auto &each : far.daemons) {
            CHECK(each->queues.confirmedAt() <= source.confirmedAt());
        }
    }
}

TEST_CASE("a daemon that asks a source still notices that it reaches the store")
{
    far_region far;
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    runFor(2s);
    far.rows.transfers = 0;
    for (int turn = 0; turn < 150; ++turn) {
        runFor(20ms);
        for (const auto &each : far.daemons) {
            CHECK(each->rows.lastReachedAt() + 1'500ms > bootNow());
        }
    }
    CHECK(far.rows.transfers == 0);
}

TEST_CASE("a version that is invalid or older is not put in force, whoever sends it")
{
    far_region far;
    far.rows.write(configurationText("5"));
    REQUIRE(runUntil([&] { return far.allHave(5); }));
    runFor(2s);
    far.rows.transfers = 0;
    far.rows.write(configurationText("invalid"));
    runFor(500ms);
    far.rows.write(configurationText("4"));
    runFor(500ms);
    CHECK(far.allHave(5));
    far.rows.write(configurationText("6"));
    CHECK(runUntil([&] { return far.allHave(6); }, 2s));
    CHECK(far.rows.transfers == 3);
}

TEST_CASE("a configuration that doesn't fit a message is read from the store by each daemon")
{
    far_region far;
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    runFor(2s);
    far.rows.transfers = 0;
    far.rows.rowPadding = maxFrameBytes;
    far.rows.write(configurationText("2"));
    CHECK(runUntil([&] { return far.allHave(2); }, 3s));
    CHECK(far.rows.transfers == daemonCount);
}

TEST_CASE("an owner that has just begun names no source")
{
    far_region far;
    far.presenceTimer.stop();
    wire::OwnerReport report;
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    const auto message = far.daemons.front()->presence();
    far.owner.notePresence(message);
    far.owner.addSource(report, message.sender.process, bootNow() - 900ms);
    CHECK_FALSE(report.__isset.configurationAddress);
    far.owner.addSource(report, message.sender.process, bootNow() - 1s);
    CHECK(report.configurationAddress == loopback);
    CHECK(report.configurationPort == firstPort);
}

TEST_CASE("times that another process can't mean are limited")
{
    far_region far;
    far.presenceTimer.stop();
    REQUIRE(runUntil([&] { return far.allHave(1); }));
    auto message = far.daemons.front()->presence();
    message.presence.__set_configurationAgeMs(INT64_MAX);
    far.owner.notePresence(message);
    wire::OwnerReport report;
    far.owner.addSource(report, message.sender.process, far.ownsSince);
    CHECK_FALSE(report.__isset.configurationAddress);
    wire::ConfigurationPoll poll;
    poll.waitMs = INT64_MIN;
    bool isAnswered = false;
    far.daemons.front()->link.handlePoll(poll, [&isAnswered](const wire::Message &) { isAnswered = true; });
    CHECK(isAnswered);
}
