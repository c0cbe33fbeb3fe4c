#include "core/clock.h"
#include "core/error.h"
#include "fake_store.h"
#include "jobs/job_rows.h"
#include "loopback.h"
#include "primrosecroft_types.h"
#include "relays/order_relay.h"
#include "relays/relayed_workers.h"

#include <catch2/catch.hpp>
#include <optional>
#include <thread>
#include <vector>

/// Orders between an owner and its relays, over real connections.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

const peer_address ownerAddress {"127.25.9.2", 7994};
const peer_address relayAddress {"127.25.9.2", 7995};
constexpr row_version token = 7;
constexpr std::int64_t incarnation = 11;
const vm_capacity narrowLink {120, 2};
constexpr auto tooLong = 1'000ms; ///< for an order to wait in a relay

wire::Sender senderOf(const std::string &process)
{
    wire::Sender sender;
    sender.process = process;
    sender.role = "celld";
    sender.failureDomain = "dyce";
    sender.incarnation = incarnation;
    return sender;
}

/// Workers that carry out each order at once.
struct obedient_workers : worker_gateway
{
    void start(const send_start &order, row_version orderToken, std::chrono::milliseconds /*timeout*/,
               std::function<void(start_answered)> done) override
    {
        starts.push_back(order);
        tokens.push_back(orderToken);
        done({order.worker, order.boot, order.run, order_result::done, {}});
    }

    void stop(const send_stop &order, row_version orderToken, std::chrono::milliseconds /*timeout*/,
              std::function<void(stop_answered)> done) override
    {
        stops.push_back(order);
        tokens.push_back(orderToken);
        done({order.worker, order.boot, order.run, order_result::alreadyEnded, {}});
    }

    void list(const send_list &order, row_version orderToken, std::chrono::milliseconds /*timeout*/,
              std::function<void(list_answered)> done) override
    {
        lists.push_back(order);
        tokens.push_back(orderToken);
        done(listAnswer);
    }

    std::vector<send_start> starts;
    std::vector<send_stop> stops;
    std::vector<send_list> lists;
    std::vector<row_version> tokens;
    list_answered listAnswer;
};

/// An owner with one relay.
struct owner_and_relay
{
    explicit owner_and_relay(const vm_capacity &capacity = {500, 200})
        : owner(directWorkers, ownerHub, ownerAddress, incarnation, capacity, links(), log, measures)
    {
        ownerHub.listen(ownerAddress);
        startRelay();
    }

    void startRelay()
    {
        relay.emplace(relayRun, workers, rows,
                      relayHub.emplace(senderOf("relay"),
                                       [this](const wire::Message &message, const auto &) {
                                           relay->handle(message.orderBatch, message.sender);
                                       }),
                      log, measures);
        relayHub->listen(relayAddress);
    }

    relay_links links() const
    {
        return {[](const worker_id &) { return "dyce"; },
                [this](const relay_plan &) { return hasRelay ? relay_plan {{{"dyce", {"relay"}}}} : relay_plan {}; },
                [](const process_id &) { return relayAddress; }, [this](const process_id &) { return relayClock; }};
    }

    void start(const std::string &job, std::int32_t index, row_version orderToken = token)
    {
        send_start order;
        order.worker = "worker";
        order.boot = 3;
        order.run = {{job, 0, 1, index}, 1'001};
        order.payload = "payload of " + job;
        order.deadline = 5s;
        order.ticket = "ticket";
        owner.start(order, orderToken, 600ms, [this](const start_answered &answer) { started.push_back(answer); });
    }

    bool runUntilStarted(std::size_t count)
    {
        return loopback::runUntil([this, count] { return started.size() >= count; });
    }

    bool hasRelay = true;
    process_run relayRun {incarnation, bootNow() - 1min};
    relay_clock relayClock {incarnation, 1min, relayRun.startedAt + 1min}; ///< as the owner knows it
    decision_log log;
    metrics measures;
    fake_store rows; ///< as the relay reads it
    obedient_workers workers;
    obedient_workers directWorkers;
    std::vector<start_answered> started;
    std::optional<peer_hub> relayHub;
    std::optional<order_relay> relay;
    peer_hub ownerHub {senderOf("owner"),
                       [this](const wire::Message &message, const auto &) { owner.handle(message.orderResults); }};
    relayed_workers owner;
};

} // namespace

TEST_CASE("an order is carried by its relay under the owner's token, and answered with the time of its sending")
{
    owner_and_relay cell;
    const auto before = bootNow();
    cell.start("a", 4);
    REQUIRE(cell.runUntilStarted(1));
    REQUIRE(cell.workers.starts.size() == 1);
    const auto &order = cell.workers.starts.front();
    CHECK(order.worker == "worker");
    CHECK(order.boot == 3);
    CHECK(order.run == run_id {{"a", 0, 1, 4}, 1'001});
    CHECK(order.payload == "payload of a");
    CHECK(order.deadline == 5s);
    CHECK(order.ticket == "ticket");
    CHECK(cell.workers.tokens.front() == token);
    const auto &answer = cell.started.front();
    CHECK(answer.result == order_result::done);
    CHECK(answer.run == order.run);
    CHECK(answer.sentAt >= before);
    CHECK(answer.sentAt <= bootNow());
    CHECK(cell.directWorkers.starts.empty());
}

TEST_CASE("a list comes back whole")
{
    owner_and_relay cell;
    cell.workers.listAnswer.result = order_result::done;
    cell.workers.listAnswer.boot = 3;
    cell.workers.listAnswer.clock = 12s;
    cell.workers.listAnswer.running = {{{{"a", 0, 1, 2}, 1'001}, "checkpoint", 41, -7}};
    cell.workers.listAnswer.ended = {{9, {{"b", 2, 0, 0}, 2'000}, run_end::gangIncomplete, ""}};
    std::optional<list_answered> answer;
    cell.owner.list({"worker", "10.0.0.1:1", 3, 5s, 8, 700ms, 1'400ms}, token, 1'400ms,
                    [&](const list_answered &each) { answer = each; });
    REQUIRE(loopback::runUntil([&] { return answer.has_value(); }));
    CHECK(cell.workers.lists.front().acknowledgedEnd == 8);
    CHECK(cell.workers.lists.front().wait == 700ms);
    CHECK(answer->worker == "worker");
    CHECK(answer->clock == 12s);
    REQUIRE(answer->running.size() == 1);
    CHECK(answer->running.front().checkpoint == "checkpoint");
    CHECK(answer->running.front().percent == 41);
    CHECK(answer->running.front().load == -7);
    REQUIRE(answer->ended.size() == 1);
    CHECK(answer->ended.front().number == 9);
    CHECK(answer->ended.front().run == run_id {{"b", 2, 0, 0}, 2'000});
    CHECK(answer->ended.front().how == run_end::gangIncomplete);
}

TEST_CASE("a payload goes to a relay once, and each task of its job starts with it")
{
    owner_and_relay cell;
    cell.start("a", 0);
    cell.start("a", 1);
    REQUIRE(cell.runUntilStarted(2));
    const auto sent = cell.ownerHub.bytesSent();
    cell.start("a", 2);
    REQUIRE(cell.runUntilStarted(3));
    CHECK(std::ranges::all_of(cell.workers.starts, [](const auto &each) { return each.payload == "payload of a"; }));
    const auto withoutPayload = cell.ownerHub.bytesSent() - sent;
    cell.start("b", 0);
    REQUIRE(cell.runUntilStarted(4));
    CHECK(cell.ownerHub.bytesSent() - sent - withoutPayload > withoutPayload);
}

TEST_CASE("a restarted relay starts no task without its payload, and gets it with the next start")
{
    owner_and_relay cell;
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(1));
    cell.relay.reset();
    cell.relay.emplace(cell.relayRun, cell.workers, cell.rows, *cell.relayHub, cell.log, cell.measures);
    cell.start("a", 1);
    REQUIRE(cell.runUntilStarted(2));
    CHECK(cell.started.back().result == order_result::notSent);
    CHECK(cell.workers.starts.size() == 1);
    cell.start("a", 1);
    REQUIRE(cell.runUntilStarted(3));
    CHECK(cell.started.back().result == order_result::done);
    CHECK(cell.workers.starts.back().payload == "payload of a");
}

TEST_CASE("a relay reads in the store the payload that an owner on a narrow link doesn't send")
{
    owner_and_relay cell(narrowLink);
    accepted_job job;
    job.id = "a";
    job.spec.payload = std::string(4'000, 'x');
    job.spec.steps.emplace_back();
    cell.rows.rows.commit({{}, {{jobPlace("a"), encodeJob(job)}}, {}});
    cell.start("a", 0);
    cell.start("a", 1);
    REQUIRE(cell.runUntilStarted(2));
    CHECK(cell.started.back().result == order_result::done);
    CHECK(cell.workers.starts.back().payload == job.spec.payload);
    CHECK(cell.rows.reads == 1);
    CHECK(cell.ownerHub.bytesSent() < 1'000);
}

TEST_CASE("an owner on a narrow link sends the payload that its relay couldn't read in the store")
{
    owner_and_relay cell(narrowLink);
    cell.rows.refusesReads = true;
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.back().result == order_result::notSent);
    CHECK(cell.workers.starts.empty());
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(2));
    CHECK(cell.started.back().result == order_result::done);
    CHECK(cell.workers.starts.back().payload == "payload of a");
}

TEST_CASE("the orders of a relay whose process has ended are answered as lost, and the relay is suspected")
{
    owner_and_relay cell;
    cell.relay.reset();
    cell.relayHub.reset();
    const auto lastContactAt = bootNow();
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.front().result == order_result::lost);
    CHECK(bootNow() < lastContactAt + 500ms); // sooner than by the timeout
    CHECK(cell.owner.isSuspected("relay", lastContactAt));
    CHECK_FALSE(cell.owner.isSuspected("relay", bootNow() + 1s));
    CHECK_FALSE(cell.owner.isSuspected("relay", lastContactAt + 100ms)); // a message after the order: slow, not gone
}

// Guards against TWICE: a worker that has restarted since the take-over has seen no token, so it obeys a former owner.
TEST_CASE("a relay that has carried orders of a later owner carries none of an earlier one")
{
    owner_and_relay cell;
    cell.start("a", 0, token + 1);
    REQUIRE(cell.runUntilStarted(1));
    cell.start("a", 1, token);
    REQUIRE(cell.runUntilStarted(2));
    CHECK(cell.started.back().result == order_result::fenced);
    CHECK(cell.workers.starts.size() == 1);
    std::optional<list_answered> answer;
    cell.owner.list({"worker", "10.0.0.1:1", 3, 5s, 8, 700ms, 1'400ms}, token, 1'400ms,
                    [&](const list_answered &each) { answer = each; });
    REQUIRE(loopback::runUntil([&] { return answer.has_value(); }));
    CHECK(answer->result == order_result::fenced);
    CHECK(cell.workers.lists.empty());
    cell.start("a", 2, token + 1);
    REQUIRE(cell.runUntilStarted(3));
    CHECK(cell.started.back().result == order_result::done);
}

// Guards against the same through a relay that the later owner hasn't used.
TEST_CASE("a relay that knows of a later owner carries no orders of an earlier one")
{
    owner_and_relay cell;
    cell.relay->noteOwner(token + 1);
    cell.start("a", 0, token);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.back().result == order_result::fenced);
    CHECK(cell.workers.starts.empty());
}

TEST_CASE("a batch whose start names a payload that it doesn't have is refused, and starts nothing")
{
    owner_and_relay cell;
    wire::OrderBatch batch;
    wire::StartOrder start;
    start.run.job = "a";
    for (const auto index : {0, -1, 7}) {
        start.__set_payload(index);
        batch.starts = {start};
        CHECK_THROWS_AS(cell.relay->handle(batch, senderOf("owner")), error);
    }
    CHECK(cell.workers.starts.empty());
}

TEST_CASE("orders go to the workers directly while there is no relay")
{
    owner_and_relay cell;
    cell.hasRelay = false;
    cell.start("a", 0);
    CHECK(cell.directWorkers.starts.size() == 1);
    CHECK(cell.started.size() == 1);
}

TEST_CASE("the end of an ownership leaves no order to be answered")
{
    owner_and_relay cell;
    cell.start("a", 0);
    cell.owner.reset();
    cell.start("b", 0);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.front().run.task.job == "b");
    CHECK(cell.started.size() == 1);
}

// Guards against TWICE: a relay that woke sent a start that its worker had been told to refuse before it restarted.
TEST_CASE("a relay that stood still sends no order whose time is up")
{
    owner_and_relay cell;
    cell.start("a", 0);
    REQUIRE(loopback::runUntil([&cell] { return cell.ownerHub.messagesSent() == 1; }));
    std::this_thread::sleep_for(tooLong);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.front().result != order_result::done);
    CHECK(cell.workers.starts.empty());
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(2));
    CHECK(cell.started.back().result == order_result::done);
}

TEST_CASE("a relay whose read of a payload takes too long doesn't send the start")
{
    owner_and_relay cell(narrowLink);
    accepted_job job;
    job.id = "a";
    job.spec.steps.emplace_back();
    cell.rows.rows.commit({{}, {{jobPlace("a"), encodeJob(job)}}, {}});
    cell.rows.delaysAnswers = true;
    cell.start("a", 0);
    REQUIRE(loopback::runUntil([&cell] { return cell.rows.reads == 1; }));
    std::this_thread::sleep_for(tooLong);
    cell.rows.release();
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.front().result != order_result::done);
    CHECK(cell.workers.starts.empty());
}

TEST_CASE("a relay sends no orders that were meant for an earlier run of its process")
{
    owner_and_relay cell;
    cell.relayClock.incarnation = incarnation + 1;
    cell.start("a", 0);
    REQUIRE(cell.runUntilStarted(1));
    CHECK(cell.started.front().result == order_result::notSent);
    CHECK(cell.workers.starts.empty());
}

TEST_CASE("an owner takes a relay's run for no longer than the quickest of its messages shows")
{
    const instant start {1h};
    relay_clock clock;
    noteUptime(clock, 7, 10s, start + 10'080ms);
    CHECK(leastUptime(clock, start + 11s) == 10'919ms);
    noteUptime(clock, 7, 11s, start + 11'005ms);
    noteUptime(clock, 7, 12s, start + 12'300ms);
    CHECK(leastUptime(clock, start + 13s) == 12'993ms);
    noteUptime(clock, 7, 70'950ms, start + 71s); // clocks of two machines may drift apart
    CHECK(leastUptime(clock, start + 71s) == 70'950ms);
    noteUptime(clock, 8, 1s, start + 72s);
    CHECK(clock.incarnation == 8);
    CHECK(leastUptime(clock, start + 73s) == 1'999ms);
}
