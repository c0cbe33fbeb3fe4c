#include "worker_model.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::standins
{

namespace
{

using namespace std::chrono_literals;

/// A task that fails does so this long after its start.
constexpr auto failureDelay = 20ms;

resources freeOf(const worker_model &worker)
{
    auto result = worker.total;
    result -= inUse(worker);
    return result;
}

instant timeOf(const worker_model &worker, worker_stamp stamp)
{
    return worker.bootedAt + stamp;
}

void end(worker_model &worker, attempt_id attempt, attempt_end how)
{
    const auto found = worker.running.find(attempt);
    if (found == worker.running.end()) {
        return;
    }
    worker.ended[attempt] = {found->second.order.task, attempt, how};
    worker.running.erase(found);
}

instant endOf(const worker_model &worker, const start_order &order, instant now)
{
    if (worker.failsEveryTask) {
        return now + failureDelay;
    }
    if (order.endless) {
        return instant::max();
    }
    const auto took = std::chrono::duration<double, std::milli>(order.runTime) * worker.runTimeFactor;
    return now + std::chrono::duration_cast<duration>(took);
}

start_result start(worker_model &worker, const start_order &order, const exchange_request &request, instant now)
{
    if (worker.running.contains(order.attempt)) {
        return start_result::running;
    }
    if (worker.barred.contains(order.attempt) || worker.ended.contains(order.attempt)) {
        return start_result::barred;
    }
    if (timeOf(worker, request.stamp) + worker.startLife < now) {
        return start_result::stale;
    }
    if (!fits(order.size, freeOf(worker))) {
        ++worker.overcommitRefusals;
        return start_result::full;
    }
    worker.running[order.attempt] = {order, timeOf(worker, request.stamp) + request.taskTerm,
                                     endOf(worker, order, now)};
    return start_result::running;
}

} // namespace

worker_stamp stampAt(const worker_model &worker, instant now)
{
    return std::chrono::duration_cast<worker_stamp>(now - worker.bootedAt);
}

resources inUse(const worker_model &worker)
{
    resources used;
    std::ranges::for_each(worker.running | std::views::values,
                          [&used](const running_attempt &each) { used += each.order.size; });
    return used;
}

void advance(worker_model &worker, instant now)
{
    const auto running = worker.running;
    for (const auto &[attempt, each] : running) {
        if (each.endsAt <= now && each.endsAt <= each.leaseUntil) {
            end(worker, attempt, worker.failsEveryTask ? attempt_end::failed : attempt_end::succeeded);
        } else if (each.leaseUntil <= now) {
            end(worker, attempt, attempt_end::lapsed);
        }
    }
    std::erase_if(worker.barred, [now](const auto &entry) { return entry.second < now; });
    if (worker.isHeld && worker.heldUntil <= now) {
        worker.isHeld = false;
    }
}

claim_answer claim(worker_model &worker, const claim_request &request, instant now)
{
    advance(worker, now);
    claim_answer answer;
    answer.total = worker.total;
    if (worker.isHeld) {
        return answer;
    }
    worker.isHeld = true;
    worker.heldUntil = now + request.term;
    // Larger than any token of an earlier boot, as the clock has moved on.
    worker.token = std::max(worker.token + 1, std::chrono::duration_cast<worker_stamp>(now.time_since_epoch()).count());
    answer.granted = true;
    answer.token = worker.token;
    answer.stamp = stampAt(worker, now);
    std::ranges::transform(worker.running, std::back_inserter(answer.running), [](const auto &entry) {
        return task_listing {entry.second.order.task, entry.first, entry.second.order.size};
    });
    std::ranges::copy(worker.ended | std::views::values, std::back_inserter(answer.ended));
    return answer;
}

exchange_answer exchange(worker_model &worker, const exchange_request &request, instant now)
{
    advance(worker, now);
    exchange_answer answer;
    if (!worker.isHeld || request.token != worker.token) {
        return answer;
    }
    answer.accepted = true;
    worker.heldUntil = std::max(worker.heldUntil, timeOf(worker, request.stamp) + request.holderTerm);
    for (auto &each : worker.running | std::views::values) {
        each.leaseUntil = std::max(each.leaseUntil, timeOf(worker, request.stamp) + request.taskTerm);
    }
    std::ranges::transform(request.starts, std::back_inserter(answer.starts), [&](const start_order &order) {
        return start_answer {order.attempt, start(worker, order, request, now)};
    });
    for (const auto attempt : request.stops) {
        worker.barred[attempt] = now + worker.barLife;
        end(worker, attempt, attempt_end::stopped);
    }
    for (const auto attempt : request.forgets) {
        if (worker.barsForgotten) {
            worker.barred[attempt] = now + worker.barLife;
        }
        worker.ended.erase(attempt);
    }
    std::ranges::copy(worker.ended | std::views::values, std::back_inserter(answer.ended));
    answer.stamp = stampAt(worker, now);
    return answer;
}

void release(worker_model &worker, fencing_token token, instant now)
{
    advance(worker, now);
    if (token == worker.token) {
        worker.isHeld = false;
    }
}

} // namespace primrosecroft::standins
