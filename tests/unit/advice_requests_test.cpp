#include "placing_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

/// Requests for advice: which steps ask, about which workers, and the use of the tickets.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr advice_policy costlyAdvice {440ms, 6ms, 2s};

/// Cell with workers that have room for one task of a core each.
owned_cell makeNarrowCell(int workers)
{
    owned_cell cell;
    cell.adviceRoutes = 40;
    for (int number = 0; number < workers; ++number) {
        cell.addWorker(owned_cell::makeWorker("w" + std::to_string(number), "r", {1'000, 4'000, 0}));
    }
    return cell;
}

accepted_job makeAdvised(const job_id &id, int tasks, const advice_policy &policy, bool isGang = false)
{
    auto step = makeStep(tasks);
    step.isGang = isGang;
    auto result = owned_cell::makeJob(id, {step});
    result.queue.advice = policy;
    return result;
}

std::vector<ask_advice> callsOf(const owned_cell &cell)
{
    return actionsOf<ask_advice>(cell.actions);
}

/// Answers the call: @p allowed of the workers that it names may run the step, with tickets that are valid for 2 s.
void answerCall(owned_cell &cell, const ask_advice &call, std::size_t allowed)
{
    advice_answered answer;
    answer.step = call.step;
    answer.asked = call.workers;
    answer.isAnswered = true;
    answer.isCostly = call.isCostly;
    answer.valid = 2s;
    answer.issuedAt = cell.now;
    for (std::size_t index = 0; index < std::min(allowed, call.workers.size()); ++index) {
        answer.allowed.push_back({call.workers[index], "ticket"});
    }
    step(cell.state, answer, cell.now, cell.actions);
}

/// Returns the first request for advice of the last pass, if it made one.
std::optional<ask_advice> lastAdviceRequest(const owned_cell &cell)
{
    const auto calls = callsOf(cell);
    return calls.empty() ? std::nullopt : std::optional(calls.front());
}

/// Answers that each worker of the request may run the step.
void allowAll(owned_cell &cell, const ask_advice &request)
{
    answerCall(cell, request, request.workers.size());
}

} // namespace

TEST_CASE("a backlog of steps with costly advice leaves a quarter of a large cell's advice routes to cheap calls")
{
    owned_cell cell;
    cell.adviceRoutes = 40;
    for (int number = 0; number < 80; ++number) {
        const auto id = "w" + std::to_string(number);
        cell.addWorker(owned_cell::makeWorker(id, "r", {16'000, 64'000, 0})); // room isn't what limits the calls
        auto costly = owned_cell::makeJob("costly-" + std::to_string(number), {makeStep(1)});
        costly.queue.advice = advice_policy {440ms, 6ms, 2s};
        cell.addJob(costly);
    }
    cell.runSchedulingPass();
    cell.runSchedulingPass();
    CHECK(cell.state.costlyAdviceCalls == 30);
}

TEST_CASE("steps that ask for advice at the same time ask about different workers while there are enough")
{
    auto cell = makeNarrowCell(20);
    for (const auto *id : {"a", "b", "c"}) {
        auto job = makeAdvised(id, 2, costlyAdvice);
        job.queue.name = "sure";
        cell.addJob(job);
    }
    cell.state.advice["sure"].allowedShare = 1;
    cell.runSchedulingPass();
    const auto calls = callsOf(cell);
    REQUIRE(calls.size() == 3);
    std::set<worker_id> asked;
    std::size_t named = 0;
    for (const auto &call : calls) {
        asked.insert(call.workers.begin(), call.workers.end());
        named += call.workers.size();
    }
    CHECK(asked.size() == named);
    CHECK(cell.state.adviceClaims.size() == 3);
    for (const auto &call : calls) {
        answerCall(cell, call, 0);
    }
    CHECK(cell.state.adviceClaims.empty());
    CHECK(std::ranges::all_of(cell.state.workers | std::views::values,
                              [](const worker_state &worker) { return worker.adviceClaims.empty(); }));
}

TEST_CASE("a step of an earlier priority asks about workers that others have asked about")
{
    auto cell = makeNarrowCell(2);
    auto later = makeAdvised("later", 2, costlyAdvice);
    later.queue.priority = 1;
    cell.state.advice[later.queue.name].allowedShare = 1;
    cell.addJob(later);
    cell.runSchedulingPass();
    REQUIRE(callsOf(cell).size() == 1);
    cell.addJob(makeAdvised("urgent", 2, costlyAdvice));
    cell.runSchedulingPass();
    const auto calls = callsOf(cell);
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().step.job == "urgent");
    CHECK(calls.front().workers.size() == 2);
}

TEST_CASE("tickets of workers without room aren't renewed, and those of a worker that gets room are")
{
    auto cell = makeNarrowCell(3);
    cell.addJob(makeAdvised("a", 1, costlyAdvice));
    cell.runSchedulingPass();
    REQUIRE(callsOf(cell).size() == 1);
    answerCall(cell, callsOf(cell).front(), 3);
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    cell.state.workers.at(starts.front().worker).health.quarantinedUntil = cell.now + 1h;
    for (auto &worker : cell.state.workers | std::views::values) {
        worker.used.milliCores = 1'000;
    }
    auto &waiting = cell.state.jobs.at("a").occurrences.at(0).steps.front();
    waiting.tasks.front().runs.clear();
    waiting.pendingTasks = {0};
    cell.advance(5s);
    for (const auto &[id, worker] : cell.state.workers) {
        cell.answerList(id, {});
    }
    cell.runSchedulingPass();
    CHECK(callsOf(cell).empty()); // it is known who is allowed, and nobody has room
    for (auto &[id, worker] : cell.state.workers) {
        worker.used.milliCores = id == starts.front().worker ? 1'000 : 0;
    }
    cell.runSchedulingPass();
    CHECK(callsOf(cell).size() == 1);
}

TEST_CASE("a gang asks for advice while workers that may be allowed have room for all its members, and not after")
{
    for (const auto decide : {15ms, 440ms}) {
        auto cell = makeNarrowCell(6);
        cell.adviceRoutes = 1;
        auto gang = makeAdvised("gang", 4, {decide, 1ms, 2s}, true);
        cell.state.advice[gang.queue.name].allowedShare = 0.3;
        cell.addJob(gang);
        cell.runSchedulingPass();
        const auto calls = callsOf(cell);
        REQUIRE(calls.size() == 1);
        REQUIRE(calls.front().workers.size() == 6);
        answerCall(cell, calls.front(), 3); // too few
        cell.advance(3s);
        for (const auto &id : cell.state.workers | std::views::keys) {
            cell.answerList(id, {});
        }
        cell.runSchedulingPass();
        CHECK(callsOf(cell).empty());
        cell.addWorker(owned_cell::makeWorker("w6", "r", {1'000, 4'000, 0}));
        cell.runSchedulingPass();
        CHECK(callsOf(cell).size() == 1);
    }
}

TEST_CASE("a cheap advice call names workers for three times the tasks that wait, so that others may take some of them")
{
    for (const auto decide : {30ms, 440ms}) {
        owned_cell cell;
        for (int number = 0; number < 40; ++number) {
            const auto id = "w" + std::to_string(number);
            cell.addWorker(owned_cell::makeWorker(id, "r", {1'000, 4'000, 0}));
        }
        auto advised = owned_cell::makeJob("advised", {makeStep(5)});
        advised.queue.advice = advice_policy {decide, 1ms, 2s};
        cell.state.advice[advised.queue.name].allowedShare = 0.5;
        cell.addJob(advised);
        cell.runSchedulingPass();
        const auto call = std::ranges::find_if(
            cell.actions, [](const auto &action) { return std::holds_alternative<ask_advice>(action); });
        REQUIRE(call != cell.actions.end());
        CHECK(std::get<ask_advice>(*call).workers.size() == (decide == 30ms ? 30 : 13));
    }
}

TEST_CASE("a step isn't asked about one worker after the other in costly calls, each of which may be in vain")
{
    owned_cell cell;
    for (int number = 0; number < 20; ++number) {
        cell.addWorker(owned_cell::makeWorker("w" + std::to_string(number), "r", wholeWorker));
    }
    auto advised = owned_cell::makeJob("advised", {makeStep(1)});
    advised.queue.advice = advice_policy {440ms, 6ms, 2s};
    for (const auto &[share, expected] : {std::pair(0.5, 5), std::pair(0.9, 2), std::pair(0.1, 7)}) {
        advised.id = "advised-" + std::to_string(expected);
        cell.state.advice[advised.queue.name].allowedShare = share;
        cell.state.costlyAdviceCalls = 0;
        cell.addJob(advised);
        cell.runSchedulingPass();
        const auto call = std::ranges::find_if(cell.actions, [&advised](const auto &action) {
            const auto *ask = std::get_if<ask_advice>(&action);
            return ask != nullptr && ask->step.job == advised.id;
        });
        REQUIRE(call != cell.actions.end());
        CHECK(std::ssize(std::get<ask_advice>(*call).workers) == expected);
    }
}

TEST_CASE("advice is asked about workers whose last list request got no answer only after all others with room")
{
    auto cell = makeCellOf({"a", "b"});
    list_answered unanswered;
    unanswered.worker = "a";
    unanswered.sentAt = cell.now;
    step(cell.state, unanswered, cell.now, cell.actions);
    auto job = owned_cell::makeJob("job", {makeStep(1)});
    job.queue.advice = advice_policy {50ms, 1ms, 2s};
    cell.addJob(job);
    cell.runSchedulingPass();
    const auto request = lastAdviceRequest(cell);
    REQUIRE(request);
    CHECK(request->workers == std::vector<worker_id> {"b"});
}

TEST_CASE("a late run gets its copy on another worker although its own, with room and a ticket, needs no more advice")
{
    auto cell = makeCellOf({"a", "b"});
    auto copied = makeStep(1);
    copied.allowsCopies = true;
    auto job = owned_cell::makeJob("job", {copied});
    job.queue.advice = advice_policy {50ms, 1ms, 2s};
    cell.addJob(job);
    std::vector<send_start> starts;
    std::vector<listed_run> runs;
    for (int number = 0; number < 50 && starts.size() < 2; ++number) {
        const auto newest = cell.runSchedulingPass();
        starts.insert(starts.end(), newest.begin(), newest.end());
        if (const auto request = lastAdviceRequest(cell)) {
            cell.advance(50ms);
            allowAll(cell, *request);
        }
        cell.advance(100ms);
        for (const auto &id : {"a", "b"}) {
            const bool isThere = !starts.empty() && starts.front().worker == id;
            cell.answerList(id,
                            isThere ? std::vector<listed_run> {{starts.front().run, "", number, 0}}
                                    : std::vector<listed_run> {});
        }
    }
    REQUIRE(starts.size() == 2);
    CHECK(workersOf(starts) == std::set<worker_id> {"a", "b"});
}

TEST_CASE("a task that avoids a worker with room asks for advice about others while its other allowed worker is full")
{
    auto cell = makeCellOf({"a", "b", "c"});
    auto job = owned_cell::makeJob("job", {makeStep(1)});
    job.queue.advice = advice_policy {50ms, 1ms, 2s};
    cell.addJob(job);
    auto &waiting = cell.state.jobs.at("job").occurrences.at(0).steps.front();
    waiting.tasks.front().avoidedWorkers = {"a"};
    for (const auto *id : {"a", "b"}) {
        waiting.advice.workers[id] = {true, "ticket", cell.now + 2s};
    }
    cell.state.workers.at("b").used = wholeWorker;
    CHECK(cell.runSchedulingPass().empty());
    const auto request = lastAdviceRequest(cell);
    REQUIRE(request);
    CHECK(request->workers == std::vector<worker_id> {"c"});
    // Where no other worker is left, the one that is avoided is asked about, so that the task can run there at last.
    waiting.advice = {};
    waiting.advice.workers["b"] = {};
    waiting.advice.workers["c"] = {};
    CHECK(cell.runSchedulingPass().empty());
    const auto last = lastAdviceRequest(cell);
    REQUIRE(last);
    CHECK(last->workers == std::vector<worker_id> {"a"});
}

TEST_CASE("a step whose tasks are larger than any worker takes no advice route from a step that fits")
{
    auto cell = makeCellOf({"a", "b"});
    for (const auto &[id, milliCores] : {std::pair {"1-large", 9'000}, std::pair {"2-small", 1'000}}) {
        auto job = owned_cell::makeJob(id, {makeStep(1, milliCores)});
        job.queue.advice = advice_policy {440ms, 6ms, 2s};
        cell.addJob(job);
    }
    cell.runSchedulingPass();
    const auto request = lastAdviceRequest(cell);
    REQUIRE(request);
    CHECK(request->step.job == "2-small");
}

TEST_CASE("a ticket is used for as long as it is valid from its issue, not from the handling of a late answer")
{
    for (const auto lateness : {100ms, 1'500ms}) {
        auto cell = makeCellOf({"a"});
        auto advised = owned_cell::makeJob("advised", {makeStep(1)});
        advised.queue.advice = advice_policy {25ms, 350us, 2s};
        cell.addJob(advised);
        CHECK(cell.runSchedulingPass().empty());
        const auto issuedAt = cell.now + 26ms;
        cell.advance(lateness);
        step(cell.state, advice_answered {{"advised", 0, 0}, {"a"}, true, {{"a", "ticket"}}, 2s, false, issuedAt},
             cell.now, cell.actions);
        cell.advance(450ms);
        cell.answerList("a", {});
        CHECK(cell.runSchedulingPass().size() == (lateness == 100ms ? 1 : 0));
    }
}
