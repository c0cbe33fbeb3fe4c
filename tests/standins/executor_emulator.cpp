#include "executor_emulator.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft
{

using namespace std::chrono_literals;

executor_emulator::executor_emulator(worker_description description, double clockRate, const executor_bounds &bounds)
    : m_description(std::move(description))
    , m_clockRate(clockRate)
    , m_bounds(bounds)
{
}

const worker_description &executor_emulator::description() const
{
    return m_description;
}

worker_description &executor_emulator::description()
{
    return m_description;
}

worker_time executor_emulator::clock() const
{
    return std::chrono::duration_cast<worker_time>(m_clock);
}

std::optional<run_id> executor_emulator::advance(std::chrono::milliseconds elapsed)
{
    m_clock += elapsed * m_clockRate;
    if (clock() >= m_leaseEnd) {
        m_lapses += std::exchange(m_isLeased, false) ? 1 : 0;
        for (const auto &run : running()) {
            end(run, run_end::lapsed);
        }
        return std::nullopt;
    }
    std::vector<std::pair<run_id, run_end>> ended;
    for (auto &[run, state] : m_runs) {
        if (state.stopRemaining) {
            *state.stopRemaining -= elapsed;
            if (*state.stopRemaining <= 0ms) {
                ended.emplace_back(run, run_end::stopped);
            }
            continue;
        }
        if (!isGangComplete(run, state)) {
            state.waited += elapsed;
            if (isGangPresent && state.waited >= m_bounds.gangTimeout) {
                ended.emplace_back(run, run_end::gangIncomplete);
            }
            continue;
        }
        state.worked += elapsed;
        if (state.behaviour.crashesAfter && state.worked >= *state.behaviour.crashesAfter) {
            return run;
        }
        if (state.worked >= state.behaviour.work && !state.behaviour.isService) {
            ended.emplace_back(run, state.behaviour.fails ? run_end::failed : run_end::done);
        }
    }
    for (const auto &[run, how] : ended) {
        end(run, how);
    }
    return std::nullopt;
}

bool executor_emulator::isGangComplete(const run_id &run, const active_run &state) const
{
    if (state.behaviour.gang == 0) {
        return true;
    }
    if (isGangPresent) {
        return isGangPresent(run);
    }
    const auto present = std::ranges::count_if(m_runs, [&](const auto &each) {
        return each.first.task.job == run.task.job && each.first.task.step == run.task.step
            && each.first.attempt == run.attempt;
    });
    return static_cast<std::uint32_t>(present) >= state.behaviour.gang;
}

void executor_emulator::reboot(worker_boot boot)
{
    m_description.boot = boot;
    m_clock = {};
    m_leaseEnd = {};
    m_isLeased = false;
    m_token = 0;
    m_runs.clear();
    m_endedAttempts.clear();
    m_listedEnds.clear();
    m_lastEnd = 0;
    m_highestAcknowledged = 0;
}

bool executor_emulator::acceptToken(row_version token)
{
    if (token < m_token) {
        return false;
    }
    m_token = token;
    return true;
}

void executor_emulator::extendLease(const std::optional<worker_time> &deadline)
{
    if (deadline) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(*deadline, clock() + m_bounds.maxLease));
        m_isLeased = m_isLeased || m_leaseEnd > clock();
    }
}

order_result executor_emulator::start(const send_start &order, row_version token, const task_behaviour &behaviour)
{
    if (!acceptToken(token)) {
        return order_result::fenced;
    }
    extendLease(order.deadline);
    if (m_runs.contains(order.run)) {
        return order_result::done;
    }
    const auto endedAttempt = m_endedAttempts.find(order.run.task);
    if (endedAttempt != m_endedAttempts.end() && order.run.attempt <= endedAttempt->second) {
        return order_result::alreadyEnded;
    }
    if (order.deadline <= clock()) {
        return order_result::deadlinePassed;
    }
    m_runs[order.run] = {behaviour, 0ms, 0ms, order.checkpoint, std::nullopt};
    return order_result::done;
}

order_result executor_emulator::stop(const run_id &run, row_version token)
{
    if (!acceptToken(token)) {
        return order_result::fenced;
    }
    auto &endedAttempt = m_endedAttempts[run.task];
    endedAttempt = std::max(endedAttempt, run.attempt);
    if (const auto found = m_runs.find(run); found != m_runs.end() && !found->second.stopRemaining) {
        found->second.stopRemaining = m_bounds.stopDuration;
    }
    return order_result::done;
}

list_answered executor_emulator::list(const std::optional<worker_time> &deadline, std::int64_t acknowledgedEnd,
                                      row_version token)
{
    list_answered answer;
    answer.worker = m_description.id;
    answer.boot = m_description.boot;
    answer.clock = clock();
    if (!acceptToken(token)) {
        answer.result = order_result::fenced;
        return answer;
    }
    extendLease(deadline);
    m_highestAcknowledged = std::max(m_highestAcknowledged, acknowledgedEnd);
    acknowledge(acknowledgedEnd);
    answer.result = order_result::done;
    for (const auto &[run, state] : m_runs) {
        if (state.stopRemaining) {
            continue; // it is listed neither as running nor, until it has stopped, as ended
        }
        answer.running.push_back({run, state.checkpoint, percentOf(state), 0});
    }
    answer.ended = m_listedEnds;
    return answer;
}

/// Forgets the ends up to @p number.
void executor_emulator::acknowledge(std::int64_t number)
{
    std::erase_if(m_listedEnds, [number](const listed_end &each) { return each.number <= number; });
    for (auto &each : m_ends) {
        if (!each.isAcknowledged && each.boot == m_description.boot && each.end.number <= number) {
            each.isAcknowledged = true;
            each.hasLapsedSince = each.lapses != m_lapses;
        }
    }
}

std::int32_t executor_emulator::percentOf(const active_run &run)
{
    const auto whole = run.behaviour.isService ? run.behaviour.startUp : run.behaviour.work;
    return run.worked >= whole ? 100 : static_cast<std::int32_t>(run.worked * 100 / whole);
}

void executor_emulator::end(const run_id &run, run_end how)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    listed_end ended {++m_lastEnd, run, how, found->second.checkpoint};
    m_runs.erase(found);
    auto &endedAttempt = m_endedAttempts[run.task];
    endedAttempt = std::max(endedAttempt, run.attempt);
    m_listedEnds.push_back(ended);
    m_ends.push_back({ended, m_description.boot, false, m_lapses, false});
    if (m_bounds.forgetsUpToHighest) {
        acknowledge(m_highestAcknowledged);
    }
}

std::set<run_id> executor_emulator::running() const
{
    const auto keys = std::views::keys(m_runs);
    return {keys.begin(), keys.end()};
}

std::set<run_id> executor_emulator::atWork() const
{
    std::set<run_id> result;
    for (const auto &[run, state] : m_runs) {
        if (state.behaviour.isService && !state.stopRemaining && percentOf(state) == 100) {
            result.insert(run);
        }
    }
    return result;
}

resources executor_emulator::used() const
{
    resources sum;
    for (const auto &[run, state] : m_runs) {
        if (const auto size = sizes.find(run.task); size != sizes.end()) {
            sum += size->second;
        }
    }
    return sum;
}

const std::vector<executor_emulator::run_end_record> &executor_emulator::ends() const
{
    return m_ends;
}

} // namespace primrosecroft
