#include "executor_emulator.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr worker_time longestLease = 6'000ms;
constexpr auto stopTime = 200ms; ///< a run that is stopped keeps its room so long

} // namespace

executor_emulator::executor_emulator(worker_description described, double clockRate)
    : m_described(std::move(described))
    , m_clockRate(clockRate)
{
}

const worker_description &executor_emulator::described() const
{
    return m_described;
}

worker_description &executor_emulator::described()
{
    return m_described;
}

worker_time executor_emulator::clock() const
{
    return std::chrono::duration_cast<worker_time>(m_clock);
}

void executor_emulator::advance(std::chrono::milliseconds real)
{
    m_clock += real * m_clockRate;
    if (clock() >= m_lease) {
        for (const auto &run : running()) {
            end(run, run_end::lapsed);
        }
        return;
    }
    std::vector<std::pair<run_id, run_end>> over;
    for (auto &[run, own] : m_runs) {
        if (own.stopsIn) {
            *own.stopsIn -= real;
            if (*own.stopsIn <= 0ms) {
                over.emplace_back(run, run_end::stopped);
            }
            continue;
        }
        if (!isGangWhole(run, own)) {
            continue;
        }
        own.worked += real;
        if (own.worked >= own.behaviour.work && !own.behaviour.lasts) {
            over.emplace_back(run, own.behaviour.fails ? run_end::failed : run_end::done);
        }
    }
    for (const auto &[run, how] : over) {
        end(run, how);
    }
}

bool executor_emulator::isGangWhole(const run_id &run, const own_run &own) const
{
    // Members on other workers are not seen here: gangs of the emulator run on one worker each.
    const auto present = std::ranges::count_if(m_runs, [&](const auto &each) {
        return each.first.task.job == run.task.job && each.first.task.step == run.task.step
            && each.first.attempt == run.attempt;
    });
    return own.behaviour.gang == 0 || static_cast<std::uint32_t>(present) >= own.behaviour.gang;
}

void executor_emulator::reboot(worker_boot boot)
{
    m_described.boot = boot;
    m_clock = {};
    m_lease = {};
    m_token = 0;
    m_runs.clear();
    m_barred.clear();
    m_listed.clear();
    m_lastEnd = 0;
}

bool executor_emulator::obeys(row_version token)
{
    if (token < m_token) {
        return false;
    }
    m_token = token;
    return true;
}

void executor_emulator::extend(const std::optional<worker_time> &deadline)
{
    if (deadline) {
        m_lease = std::max(m_lease, std::min(*deadline, clock() + longestLease));
    }
}

order_result executor_emulator::start(const send_start &order, row_version token, const task_behaviour &behaviour)
{
    if (order.boot != m_described.boot) {
        return order_result::bootMismatch;
    }
    if (!obeys(token)) {
        return order_result::fenced;
    }
    extend(order.deadline);
    if (m_runs.contains(order.run)) {
        return order_result::done;
    }
    const auto barred = m_barred.find(order.run.task);
    if (barred != m_barred.end() && order.run.attempt <= barred->second) {
        return order_result::alreadyEnded;
    }
    if (order.deadline <= clock()) {
        return order_result::deadlinePassed;
    }
    m_runs[order.run] = {behaviour, 0ms, order.checkpoint, std::nullopt};
    return order_result::done;
}

order_result executor_emulator::stop(const run_id &run, row_version token)
{
    if (!obeys(token)) {
        return order_result::fenced;
    }
    auto &barred = m_barred[run.task];
    barred = std::max(barred, run.attempt);
    if (const auto found = m_runs.find(run); found != m_runs.end() && !found->second.stopsIn) {
        found->second.stopsIn = stopTime;
    }
    return order_result::done;
}

list_answered executor_emulator::list(const std::optional<worker_time> &deadline, std::int64_t noted, row_version token)
{
    list_answered answer;
    answer.worker = m_described.id;
    answer.boot = m_described.boot;
    answer.clock = clock();
    if (!obeys(token)) {
        answer.result = order_result::fenced;
        return answer;
    }
    extend(deadline);
    std::erase_if(m_listed, [noted](const listed_end &each) { return each.number <= noted; });
    for (auto &each : m_ends) {
        each.noted = each.noted || (each.boot == m_described.boot && each.end.number <= noted);
    }
    answer.result = order_result::done;
    for (const auto &[run, own] : m_runs) {
        if (own.stopsIn) {
            continue; // no longer running, not ended yet
        }
        const auto percent =
            own.behaviour.lasts ? 100 : static_cast<std::int32_t>(own.worked * 100 / own.behaviour.work);
        answer.running.push_back({run, own.checkpoint, percent, 0});
    }
    answer.ended = m_listed;
    return answer;
}

void executor_emulator::end(const run_id &run, run_end how)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    listed_end ended {++m_lastEnd, run, how, found->second.checkpoint};
    m_runs.erase(found);
    auto &barred = m_barred[run.task];
    barred = std::max(barred, run.attempt);
    m_listed.push_back(ended);
    m_ends.push_back({ended, m_described.boot, false});
}

std::set<run_id> executor_emulator::running() const
{
    const auto keys = std::views::keys(m_runs);
    return {keys.begin(), keys.end()};
}

resources executor_emulator::used() const
{
    resources sum;
    for (const auto &[run, own] : m_runs) {
        if (const auto size = sizes.find(run.task); size != sizes.end()) {
            sum += size->second;
        }
    }
    return sum;
}

const std::vector<executor_emulator::seen_end> &executor_emulator::ends() const
{
    return m_ends;
}

} // namespace primrosecroft
