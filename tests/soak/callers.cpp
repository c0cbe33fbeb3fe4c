#include "callers.h"

#include "core/clock.h"
#include "platform/wire.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusGone = 410;
constexpr int mostTries = 5;
constexpr auto callerDeadline = 3'000ms;
constexpr auto answerSlack = 1'000ms; ///< in which an answer that is late by the deadline still arrives
constexpr auto visibleAfter = 3'000ms; ///< of an acceptance, until each daemon knows the job
constexpr auto askInterval = 500ms;
constexpr std::size_t asksAtOnce = 30;

bool isSuccess(unsigned status)
{
    return status >= statusOk && status < 300;
}

json stepBody(int count, int cpu, int work)
{
    return {{"count", count}, {"cpu", cpu}, {"memMb", 256}, {"estimateMs", work}};
}

bool hasEnded(const job_record &job)
{
    return job.state == "complete" || job.state == "failed" || job.state == "cancelled" || job.state == "gone";
}

bool lasts(const job_record &job)
{
    return std::ranges::any_of(job.steps, &step_record::lasts);
}

} // namespace

callers::callers(parts environment, std::uint64_t seed)
    : m_parts(environment)
    , m_random(seed + 3)
    , m_nextQuick(bootNow())
    , m_nextLonger(bootNow())
    , m_nextService(bootNow())
{
}

milliseconds callers::now() const
{
    return std::chrono::duration_cast<milliseconds>(bootNow() - m_parts.start);
}

void callers::act(bool submits)
{
    if (submits) {
        submitDue(job_kind::quick, m_parts.site.quickJobs, m_nextQuick);
        submitDue(job_kind::longer, m_parts.site.longJobs, m_nextLonger);
        submitDue(job_kind::service, m_parts.site.services, m_nextService);
    }
    if (m_nextAsk <= bootNow()) {
        m_nextAsk = bootNow() + askInterval;
        askStates();
    }
}

void callers::submitDue(job_kind kind, double rate, instant &next)
{
    const auto mean = milliseconds(static_cast<int>(1'000 / rate));
    while (next <= bootNow()) {
        next += m_random.time(mean / 4, mean * 7 / 4);
        submit(kind);
    }
}

void callers::submit(job_kind kind)
{
    job_record job;
    job.queue = m_random.chance(0.25) ? "advised" : "q";
    static constexpr std::array digits {'0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    for (int i = 0; i < 16; ++i) {
        job.id += digits.at(static_cast<std::size_t>(m_random.number(0, 15)));
    }
    job.id.replace(0, 2, job.queue == "advised" ? "ad" : "0c");
    auto phases = json::array();
    auto behaviours = json::array();
    const auto steps = kind == job_kind::longer ? 2 : kind == job_kind::quick ? m_random.number(1, 2) : 1;
    for (int i = 0; i < steps; ++i) {
        step_record step;
        step.count = m_random.number(1, m_parts.site.widest);
        step.lasts = kind == job_kind::service;
        step.isGang = kind == job_kind::longer && m_random.chance(0.15);
        const auto work = kind == job_kind::longer ? m_random.number(1'500, 3'500) : m_random.number(200, 1'500);
        auto phase = stepBody(step.count, kind == job_kind::longer ? 4'500 : 2'500, work);
        json behaviour {{"work", work}};
        if (i > 0) {
            phase["after"] = {i - 1};
        }
        if (step.lasts) {
            phase["longRunning"] = true;
            behaviour["lasts"] = true;
        }
        if (step.isGang) {
            phase["gang"] = true;
            behaviour["gang"] = step.count;
        } else if (m_random.chance(0.05)) {
            behaviour["fails"] = m_random.number(0, step.count - 1); // the first run of this task
        }
        phases.push_back(phase);
        behaviours.push_back(behaviour);
        job.steps.push_back(step);
    }
    json body {{"spec", json {{"steps", behaviours}}.dump()}, {"phases", phases}};
    if (kind == job_kind::quick && m_random.chance(0.03)) {
        job.occurrences = 3;
        body["repeatCount"] = job.occurrences;
        body["intervalMs"] = 1'500;
        body["startAtMs"] = timeOfDay().count() + 1'000;
    }
    job.sentAt = now();
    m_jobs[job.id] = job;
    call({"POST", job.id, body.dump(), mostTries});
    if (m_random.chance(kind == job_kind::service ? 0.5 : 0.06)) {
        m_parts.calls.add(bootNow() + m_random.time(300ms, 8'000ms), [this, id = job.id] { cancel(id); });
    }
}

/// Cancels a job that is accepted: another one may be unknown when the cancelling comes, and accepted after that.
void callers::cancel(const job_id &id)
{
    if (!m_jobs.at(id).acceptedAt) {
        return;
    }
    m_jobs.at(id).cancelSentAt = now();
    call({"DELETE", id, "", mostTries});
}

/// Returns a daemon in rotation or, if there is none, any.
int callers::chooseDaemon()
{
    auto choice = m_parts.processes.inRotation();
    if (choice.size() * 2 < m_parts.site.daemons.size()) {
        choice.resize(m_parts.site.daemons.size());
        std::ranges::generate(choice, [next = 0]() mutable { return next++; });
    }
    return choice.at(static_cast<std::size_t>(m_random.number(0, static_cast<int>(choice.size()) - 1)));
}

void callers::call(const attempt &what)
{
    const auto daemon = chooseDaemon();
    const auto sentAt = bootNow();
    http_call request;
    request.method = what.method;
    request.url =
        "http://" + m_parts.processes.callersAddress(daemon) + '/' + m_jobs.at(what.job).queue + '/' + what.job;
    request.headers = {{"Host", "jobs.example"}, {platform::deadlineHeader, std::to_string(callerDeadline.count())}};
    request.body = what.body;
    request.timeout = callerDeadline + answerSlack;
    request.needsFreshConnection = true;
    m_client.call(request, [this, what, daemon, sentAt](const http_outcome &outcome) {
        answered(what, daemon, sentAt, outcome);
    });
}

void callers::answered(const attempt &what, int daemon, instant sentAt, const http_outcome &outcome)
{
    auto &job = m_jobs.at(what.job);
    if (const auto *failure = std::get_if<http_failure>(&outcome)) {
        judgeFailure(what, daemon, sentAt, *failure);
        retry(what);
        return;
    }
    ++m_answered;
    const auto &answer = std::get<http_response>(outcome);
    if (what.method == "GET") {
        readState(job, daemon, sentAt, answer);
    } else if (what.method == "DELETE" && (isSuccess(answer.status) || answer.status == statusGone)) {
        job.cancelledAt = now();
    } else if (what.method == "POST" && isSuccess(answer.status)) {
        accepted(what, job);
    } else if (answer.status == statusBadGateway || answer.status == statusGatewayTimeout
               || answer.status == statusUnavailable || answer.status == statusTooManyRequests) {
        retry(what);
    }
}

void callers::accepted(const attempt &what, job_record &job)
{
    const bool isFirst = !job.acceptedAt;
    job.acceptedAt = job.acceptedAt.value_or(now());
    if (isFirst && m_random.chance(0.15)) {
        m_parts.calls.add(bootNow() + m_random.time(100ms, 6'000ms),
                          [this, what] { call({"POST", what.job, what.body, 1}); });
    }
}

bool callers::isCalmCall(int daemon, instant sentAt) const
{
    const auto since = sentAt - m_parts.site.contactTime;
    return m_parts.processes.ranCalmly(daemon, since, bootNow()) && m_parts.doors.servedCalmly(daemon, since);
}

/// A process that ran undisturbed has to answer each request that it read. While the store disturbs it, the caller's
/// time limit may pass first.
void callers::judgeFailure(const attempt &what, int daemon, instant sentAt, const http_failure &failure)
{
    if (failure.isConnectionRefused
        || !m_parts.processes.ranCalmly(daemon, sentAt - m_parts.site.contactTime, bootNow())) {
        ++m_unanswered;
        return;
    }
    const auto sent = std::chrono::duration_cast<milliseconds>(sentAt - m_parts.start).count();
    m_findings.push_back({"LOST",
                          what.method + ' ' + what.job + " at " + m_parts.processes.nameOf(daemon) + " sent "
                              + std::to_string(sent) + " got no answer until " + std::to_string(now().count())
                              + (failure.hasTimedOut ? " (silence)" : " (broken off)"),
                          failure.hasTimedOut && !isCalmCall(daemon, sentAt)});
}

void callers::readState(job_record &job, int daemon, instant sentAt, const http_response &answer)
{
    if (answer.status == statusGone) {
        const auto sent = std::chrono::duration_cast<milliseconds>(sentAt - m_parts.start);
        if (job.acceptedAt && !job.cancelSentAt && *job.acceptedAt + visibleAfter < sent
            && isCalmCall(daemon, sentAt)) {
            m_findings.push_back({"LOST",
                                  "job " + job.id + ", accepted at " + std::to_string(job.acceptedAt->count())
                                      + ", is unknown (410) at " + m_parts.processes.nameOf(daemon) + " at "
                                      + std::to_string(sent.count()),
                                  false});
        }
        return;
    }
    const auto body = json::parse(answer.body, nullptr, false);
    if (!isSuccess(answer.status) || !body.is_object()) {
        return;
    }
    job.state = body.value("state", "");
    if (job.state == "complete" && !job.completeAt) {
        job.completeAt = now();
    }
}

void callers::retry(attempt what)
{
    if (--what.triesLeft > 0) {
        m_parts.calls.add(bootNow() + m_random.time(100ms, 1'500ms), [this, what] { call(what); });
    }
}

void callers::askStates()
{
    std::vector<job_id> open;
    for (const auto &[id, job] : m_jobs) {
        if (job.acceptedAt && !hasEnded(job) && *job.acceptedAt + askInterval < now()) {
            open.push_back(id);
        }
    }
    for (std::size_t i = 0; i < std::min(asksAtOnce, open.size()); ++i) {
        const auto index = static_cast<std::size_t>(m_random.number(0, static_cast<int>(open.size()) - 1));
        call({"GET", open[index], "", 1});
    }
}

bool callers::haveAllEnded() const
{
    return std::ranges::all_of(std::views::values(m_jobs), [](const job_record &job) {
        return !job.acceptedAt || job.cancelSentAt || lasts(job) || hasEnded(job);
    });
}

const std::map<job_id, job_record> &callers::jobs() const
{
    return m_jobs;
}

const std::vector<finding> &callers::findings() const
{
    return m_findings;
}

std::string callers::summary() const
{
    const auto count = [this](auto isCounted) {
        return std::to_string(std::ranges::count_if(std::views::values(m_jobs), isCounted));
    };
    return "jobs " + std::to_string(m_jobs.size()) + " accepted "
        + count([](const job_record &job) { return job.acceptedAt.has_value(); }) + " complete "
        + count([](const job_record &job) { return job.completeAt.has_value(); }) + " cancelled "
        + count([](const job_record &job) { return job.cancelledAt.has_value(); }) + ", calls answered "
        + std::to_string(m_answered) + " unanswered by disturbed daemons " + std::to_string(m_unanswered);
}

} // namespace primrosecroft::soak
