#include "scheduling/scheduler.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t tokenOfClaim = 7;

/// Feeds a scheduler and writes down what goes in and out.
struct session
{
    scheduler_state state;
    instant now;
    std::string text;
    std::vector<scheduler_action> actions; ///< of the last message
};

struct action_text
{
    std::string operator()(const send_claim &each) const
    {
        return "claim " + each.worker + ' ' + toJson(each.message);
    }

    std::string operator()(const send_exchange &each) const
    {
        return "exchange " + each.worker + ' ' + toJson(each.message);
    }

    std::string operator()(const send_release &each) const
    {
        return "release " + each.worker + " token=" + std::to_string(each.token);
    }

    std::string operator()(const write_row &each) const
    {
        return "write if version=" + std::to_string(each.version) + ' ' + toJson(each.row);
    }

    std::string operator()(const read_row &each) const
    {
        return "read " + each.key;
    }

    std::string operator()(const scan_rows & /*each*/) const
    {
        return "scan the active rows";
    }

    std::string operator()(const report_placed &each) const
    {
        return "placed " + toString(each.task) + " on " + each.worker;
    }

    std::string operator()(const report_majority &each) const
    {
        return each.held ? "majority gained" : "majority lost";
    }
};

void feed(session &session, const std::string &what, const scheduler_message &message)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(session.now.time_since_epoch());
    session.text += "> " + std::to_string(at.count()) + " ms " + what + '\n';
    session.actions = step(session.state, message, session.now);
    for (const auto &action : session.actions) {
        session.text += "< " + std::visit(action_text {}, action) + '\n';
    }
}

template<typename kind>
kind lastOf(const session &session)
{
    for (const auto &action : session.actions) {
        if (const auto *found = std::get_if<kind>(&action)) {
            return *found;
        }
    }
    FAIL("no such action in\n" + session.text);
    return {};
}

/// Answers the last exchange: it was accepted, with @p starts and @p ended.
void answerExchange(session &session, const std::string &what, const std::vector<start_answer> &starts,
                    const std::vector<ended_attempt> &ended)
{
    const auto sent = lastOf<send_exchange>(session);
    const exchange_answer answer {true, std::chrono::duration_cast<worker_stamp>(session.now.time_since_epoch()),
                                  starts, ended};
    feed(session, what, exchange_answered {sent.worker, sent.request, answer});
}

session takeOver()
{
    scheduler_settings settings;
    settings.process = "schedd-a";
    settings.seed = 1;
    session result;
    result.state = makeScheduler(settings);
    result.now += 1s;
    feed(result, "one worker is configured", workers_configured {{{"w1", "rack1", false}}});
    const auto claim = lastOf<send_claim>(result);
    const claim_answer granted {true, tokenOfClaim, 1s, {8'000, 16'384, 0}, {}, {}};
    feed(result, "w1 grants the claim; nothing runs there", claim_answered {"w1", claim.request, granted});
    return result;
}

row_read rowOf(const session &session, bool repeatable)
{
    demand_row row;
    row.key = "wash-17";
    row.home = "dyce";
    row.spec.size = {1'000, 1'024, 0};
    row.spec.declaredRunTime = 5s;
    row.spec.repeatable = repeatable;
    return {row.key, row, 1, session.state.takeover};
}

void checkGolden(const std::string &name, const std::string &text)
{
    if (std::getenv("GOLDEN_UPDATE") != nullptr) {
        std::ofstream(name) << text;
    }
    std::stringstream expected;
    expected << std::ifstream(name).rdbuf();
    CHECK(text == expected.str());
}

} // namespace

TEST_CASE("a batch task runs and its end is recorded before it is forgotten")
{
    auto session = takeOver();
    feed(session, "the scan finds a demand", rowOf(session, true));
    const auto start = lastOf<send_exchange>(session).message.starts.at(0);
    answerExchange(session, "w1 runs it", {{start.attempt, start_result::running}}, {});
    feed(session, "the scan is complete", scan_finished {session.state.lastScan, true});
    session.now += 3s;
    feed(session, "tick", timer_ticked {});
    answerExchange(session, "w1 reports its end", {}, {{start.task, start.attempt, attempt_end::succeeded}});
    const auto write = lastOf<write_row>(session);
    feed(session, "the table has it", row_written {write.row.key, write.request, 2});
    session.now += 3s;
    feed(session, "tick", timer_ticked {});
    checkGolden("scheduler_happy.txt", session.text);
}

TEST_CASE("a lapsed task that must not be repeated is unknown")
{
    auto session = takeOver();
    feed(session, "the scan finds a demand that must not be repeated", rowOf(session, false));
    const auto write = lastOf<write_row>(session);
    session.now += 2s;
    feed(session, "the answer to the write is lost", row_write_lost {write.row.key, write.request});
    answerExchange(session, "w1 accepts the exchange", {}, {});
    session.now += 2s;
    feed(session, "tick: the write goes out again", timer_ticked {});
    const auto again = lastOf<write_row>(session);
    feed(session, "it is refused: the first one took effect", row_write_refused {write.row.key, again.request});
    auto read = rowOf(session, false);
    read.row->started = write.row.started;
    read.version = 2;
    feed(session, "the row read says so", read);
    const auto start = lastOf<send_exchange>(session).message.starts.at(0);
    answerExchange(session, "w1 runs it", {{start.attempt, start_result::running}}, {});
    session.now += 3s;
    feed(session, "tick", timer_ticked {});
    answerExchange(session, "w1 let it lapse", {}, {{start.task, start.attempt, attempt_end::lapsed}});
    checkGolden("scheduler_failing.txt", session.text);
}
