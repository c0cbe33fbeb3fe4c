#include "scheduling/scheduler.h"

#include <catch2/catch.hpp>
#include <ranges>

/// What the Spin model of ownership (tests/model) found missing in the scheduler.

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr instant start = instant {} + 1h;

scheduler_state makeState()
{
    scheduler_settings settings;
    settings.process = "s";
    auto state = makeScheduler(settings);
    step(state, workers_configured {{{"w0", "r", false}, {"w1", "r", false}, {"w2", "r", false}}}, start);
    return state;
}

claim_answer granted(fencing_token token)
{
    claim_answer answer;
    answer.granted = true;
    answer.token = token;
    answer.total = {32'000, 65'536, 0};
    return answer;
}

void grant(scheduler_state &state, const worker_id &worker, fencing_token token, instant now)
{
    step(state, claim_answered {worker, state.ownership.workers.at(worker).request.value_or(0), granted(token)}, now);
}

template<typename action>
std::vector<action> only(const std::vector<scheduler_action> &actions)
{
    std::vector<action> result;
    for (const auto &each : actions) {
        if (const auto *found = std::get_if<action>(&each)) {
            result.push_back(*found);
        }
    }
    return result;
}

bool losesMajority(const std::vector<scheduler_action> &actions)
{
    return std::ranges::any_of(only<report_majority>(actions), [](const report_majority &each) { return !each.held; });
}

/// Holds all three workers, has read its rows, and waits for no answer.
scheduler_state makePlacing()
{
    auto state = makeState();
    for (const auto *worker : {"w0", "w1", "w2"}) {
        grant(state, worker, 1, start);
    }
    step(state, scan_finished {state.lastScan, true}, start);
    for (const auto *worker : {"w0", "w1", "w2"}) {
        exchange_answer renewed;
        renewed.accepted = true;
        const auto request = state.ownership.workers.at(worker).request.value_or(0);
        step(state, exchange_answered {worker, request, renewed}, start);
    }
    return state;
}

} // namespace

TEST_CASE("a majority that lapsed in a pause is lost, whatever the first message after it brings")
{
    auto state = makeState();
    grant(state, "w0", 1, start);
    step(state, worker_request_lost {"w1", state.ownership.workers.at("w1").request.value_or(0)}, start);
    step(state, worker_request_lost {"w2", state.ownership.workers.at("w2").request.value_or(0)}, start);
    step(state, timer_ticked {}, start + 3s);
    grant(state, "w1", 1, start + 3s);
    REQUIRE(state.ownership.placing);
    // The claim of w2 is under way; w0's lease lapses at 11 s, w1's later.
    step(state, worker_request_lost {"w2", state.ownership.workers.at("w2").request.value_or(0)}, start + 5s);
    step(state, timer_ticked {}, start + 10s);
    REQUIRE(state.ownership.workers.at("w2").request.has_value());
    REQUIRE(state.ownership.placing);
    const auto request = *state.ownership.workers.at("w2").request;
    const auto actions = step(state, claim_answered {"w2", request, granted(1)}, start + 12s);
    CHECK(losesMajority(actions));
}

TEST_CASE("a list read under a claim that has lapsed since is dropped")
{
    auto state = makeState();
    grant(state, "w0", 1, start);
    REQUIRE(state.records.at("w0").listing.has_value());
    // A claim of another worker is answered first after a pause.
    const auto request = state.ownership.workers.at("w1").request.value_or(0);
    step(state, claim_answered {"w1", request, {}}, start + 13s);
    CHECK_FALSE(state.records.at("w0").listing.has_value());
}

TEST_CASE("a start refused for want of room is barred there before the task goes elsewhere")
{
    auto state = makePlacing();
    REQUIRE(state.ownership.placing);
    demand_row row;
    row.key = "d";
    row.spec.size = {1'000, 1'024, 0};
    row.spec.declaredRunTime = 1h;
    const auto now = start + 10ms;
    step(state, row_read {"d", row, 1, state.takeover}, now);
    const auto &task = state.demands.at("d").tasks.front();
    const auto worker = task.worker;
    const auto attempt = task.attempt;
    REQUIRE(state.records.at(worker).sent.has_value());
    exchange_answer answer;
    answer.accepted = true;
    answer.starts = {{attempt, start_result::full}};
    const auto request = state.ownership.workers.at(worker).request.value_or(0);
    const auto next = step(state, exchange_answered {worker, request, answer}, now);
    CHECK(state.demands.at("d").tasks.front().phase == task_phase::stopping);
    const auto sent = only<send_exchange>(next);
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().message.stops == std::vector<attempt_id> {attempt});
    // The bar is in force: now the list is read again and the task may go elsewhere.
    exchange_answer barred;
    barred.accepted = true;
    const auto after = step(state, exchange_answered {worker, sent.front().request, barred}, now);
    CHECK(only<send_release>(after).size() == 1);
    CHECK(state.demands.at("d").tasks.front().attempt != attempt);
}
