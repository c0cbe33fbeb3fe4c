#include "relays/order_frames.h"

#include "core/error.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <iterator>

namespace primrosecroft::order_frames
{

namespace
{

constexpr std::int64_t maxMilliseconds = 60'000; ///< for a wait or a timeout

/// Returns @p value as an enumerator of @p type. Throws error unless it is at most @p last.
template<typename type>
type enumeratorOf(std::int32_t value, type last, const char *step)
{
    if (value < 0 || value > static_cast<std::int32_t>(last)) {
        throw error(step, "", "the value " + std::to_string(value) + " is out of range");
    }
    return static_cast<type>(value);
}

wire::TaskRun encodeRun(const run_id &run)
{
    wire::TaskRun result;
    result.job = run.task.job;
    result.occurrence = run.task.occurrence;
    result.step = run.task.step;
    result.index = run.task.index;
    result.attempt = run.attempt;
    return result;
}

run_id decodeRun(const wire::TaskRun &run)
{
    return {{run.job, run.occurrence, run.step, run.index}, static_cast<std::uint32_t>(run.attempt)};
}

template<typename order_type>
wire::OrderTarget targetOf(std::int64_t number, const order_type &order)
{
    wire::OrderTarget target;
    target.number = number;
    target.worker = order.worker;
    target.address = order.address;
    target.boot = order.boot;
    return target;
}

template<typename order_type>
void setTarget(order_type &order, const wire::OrderTarget &target)
{
    order.worker = target.worker;
    order.address = target.address;
    order.boot = target.boot;
}

std::chrono::milliseconds boundedTime(std::int64_t amount)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(amount, 0, maxMilliseconds));
}

listed_run decodeListedRun(const wire::ListedRun &run)
{
    return {decodeRun(run.run), run.checkpoint, run.percent, run.load};
}

wire::ListedRun encodeListedRun(const listed_run &run)
{
    wire::ListedRun result;
    result.run = encodeRun(run.run);
    if (!run.checkpoint.empty()) {
        result.__set_checkpoint(run.checkpoint);
    }
    result.percent = run.percent;
    result.load = run.load;
    return result;
}

listed_end decodeListedEnd(const wire::ListedEnd &end)
{
    return {end.number, decodeRun(end.run), enumeratorOf(end.how, run_end::gangIncomplete, "decode listed end"),
            end.checkpoint};
}

wire::ListedEnd encodeListedEnd(const listed_end &end)
{
    wire::ListedEnd result;
    result.number = end.number;
    result.run = encodeRun(end.run);
    result.how = static_cast<std::int32_t>(end.how);
    if (!end.checkpoint.empty()) {
        result.__set_checkpoint(end.checkpoint);
    }
    return result;
}

} // namespace

wire::StartOrder encode(std::int64_t number, const send_start &order)
{
    wire::StartOrder result;
    result.target = targetOf(number, order);
    result.run = encodeRun(order.run);
    result.deadlineMs = order.deadline.count();
    if (!order.checkpoint.empty()) {
        result.__set_checkpoint(order.checkpoint);
    }
    if (!order.ticket.empty()) {
        result.__set_ticket(order.ticket);
    }
    return result;
}

wire::StopOrder encode(std::int64_t number, const send_stop &order)
{
    wire::StopOrder result;
    result.target = targetOf(number, order);
    result.run = encodeRun(order.run);
    return result;
}

wire::ListOrder encode(std::int64_t number, const send_list &order)
{
    wire::ListOrder result;
    result.target = targetOf(number, order);
    if (order.deadline) {
        result.__set_deadlineMs(order.deadline->count());
    }
    result.acknowledgedEnd = order.acknowledgedEnd;
    result.waitMs = order.wait.count();
    result.timeoutMs = order.timeout.count();
    return result;
}

send_start decode(const wire::StartOrder &order)
{
    send_start result;
    setTarget(result, order.target);
    result.run = decodeRun(order.run);
    result.deadline = worker_time(order.deadlineMs);
    result.checkpoint = order.checkpoint;
    result.ticket = order.ticket;
    return result;
}

send_stop decode(const wire::StopOrder &order)
{
    send_stop result;
    setTarget(result, order.target);
    result.run = decodeRun(order.run);
    return result;
}

send_list decode(const wire::ListOrder &order)
{
    send_list result;
    setTarget(result, order.target);
    if (order.__isset.deadlineMs) {
        result.deadline = worker_time(order.deadlineMs);
    }
    result.acknowledgedEnd = order.acknowledgedEnd;
    result.wait = boundedTime(order.waitMs);
    result.timeout = boundedTime(order.timeoutMs);
    return result;
}

wire::ListResult encode(std::int64_t number, const list_answered &answer)
{
    wire::ListResult result;
    result.number = number;
    result.result = static_cast<std::int32_t>(answer.result);
    result.boot = answer.boot;
    result.clockMs = answer.clock.count();
    std::ranges::transform(answer.running, std::back_inserter(result.running), encodeListedRun);
    std::ranges::transform(answer.ended, std::back_inserter(result.ended), encodeListedEnd);
    return result;
}

list_answered decode(const wire::ListResult &result)
{
    list_answered answer;
    answer.result = decodeResult(result.result);
    answer.boot = result.boot;
    answer.clock = worker_time(result.clockMs);
    std::ranges::transform(result.running, std::back_inserter(answer.running), decodeListedRun);
    std::ranges::transform(result.ended, std::back_inserter(answer.ended), decodeListedEnd);
    return answer;
}

order_result decodeResult(std::int32_t result)
{
    return enumeratorOf(result, order_result::notSent, "decode order result");
}

} // namespace primrosecroft::order_frames
