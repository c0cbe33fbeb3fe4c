#include "daemons.h"

#include "core/clock.h"
#include "core/error.h"
#include "store_doors.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ranges>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto startTime = 2'000ms; ///< after a start, in which a daemon counts as disturbed
constexpr auto restartAfterEnd = 500ms; ///< of a process that ended by itself
constexpr int missesUntilOut = 2;

/// Replaces this process, a fork, by the daemon. It ends with its parent.
[[noreturn]] void runDaemon(const std::string &program, const std::string &settings, const std::string &log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(3, ~0U, 0);
    ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
}

} // namespace

daemons::daemons(parts environment)
    : m_parts(std::move(environment))
    , m_processes(m_parts.site.daemons.size())
{
}

daemons::~daemons()
{
    for (const auto &each : m_processes) {
        if (each.pid != 0) {
            ::kill(each.pid, SIGKILL);
            ::waitpid(each.pid, nullptr, 0);
        }
    }
}

daemons::daemon_process &daemons::at(int number)
{
    return m_processes.at(static_cast<std::size_t>(number));
}

std::string daemons::nameOf(int number) const
{
    if (number < 0) {
        return "nobody";
    }
    const auto &plan = m_parts.site.daemons.at(static_cast<std::size_t>(number));
    return m_parts.site.domains.at(plan.domain).name + '-' + std::to_string(number);
}

std::string daemons::callersAddress(int number) const
{
    return m_parts.network + ".1." + std::to_string(number + 1) + ":8100";
}

std::string daemons::writeSettings(int number) const
{
    const auto &plan = m_parts.site.daemons.at(static_cast<std::size_t>(number));
    const auto &domain = m_parts.site.domains.at(plan.domain);
    const auto ip = m_parts.network + ".1." + std::to_string(number + 1);
    const auto store = store_doors::addressFor(m_parts.network, static_cast<std::size_t>(number));
    const auto &bounds = m_parts.site.bounds;
    const json settings {{"nodeName", nameOf(number)},
                         {"zone", domain.name},
                         {"region", domain.region},
                         {"ip", ip},
                         {"bindAddrs", {{"frontend", ip + ":8100"}, {"ready", ip + ":8101"}}},
                         {"internalPorts", {8102, 8110}},
                         {"limits", {{"cpuShare", plan.cpuShare}, {"cores", 1}, {"linkMbps", plan.linkMbps}}},
                         {"platform", {{"address", store}}},
                         {"advice", m_parts.network + ".0.2:7702"},
                         {"bounds",
                          {{"holdMaxMs", bounds.maxLease.count()},
                           {"stopMs", bounds.stopDuration.count()},
                           {"configApplyMs", 2'500},
                           {"graceS", gracePeriod / 1s},
                           {"status_s", 120}}}};
    auto file = m_parts.folder + '/' + nameOf(number) + ".json";
    std::ofstream(file) << settings.dump(1) << '\n';
    return file;
}

void daemons::startAll()
{
    for (int i = 0; i < static_cast<int>(m_processes.size()); ++i) {
        start(i);
    }
}

void daemons::start(int number)
{
    auto &process = at(number);
    const auto settings = writeSettings(number);
    const auto log = m_parts.folder + '/' + nameOf(number) + ".log";
    const auto pid = ::fork();
    if (pid < 0) {
        throw error("start daemon", nameOf(number), "can't fork");
    }
    if (pid == 0) {
        runDaemon(m_parts.program, settings, log);
    }
    process.pid = pid;
    process.isToEnd = false;
    process.misses = missesUntilOut;
    disturb(process, bootNow() + startTime);
}

void daemons::disturb(daemon_process &what, instant until)
{
    what.disturbances.emplace_back(bootNow(), until);
    what.disturbedUntil = std::max(what.disturbedUntil, until);
}

/// Sends the signal to the present process, unless that has ended until then.
void daemons::sendLater(milliseconds delay, int number, int signal)
{
    m_parts.calls.add(bootNow() + delay, [this, number, signal, pid = at(number).pid] {
        if (pid != 0 && at(number).pid == pid) {
            ::kill(pid, signal);
        }
    });
}

void daemons::begin(const fault &what, const std::vector<int> &numbers)
{
    for (const auto number : numbers) {
        auto &process = at(number);
        if (process.pid == 0) {
            continue;
        }
        if (what.kind == fault_kind::pauseDaemons) {
            disturb(process, bootNow() + what.duration);
            ::kill(process.pid, SIGSTOP);
            sendLater(what.duration, number, SIGCONT);
        } else if (what.kind == fault_kind::killDaemons) {
            process.isToEnd = true;
            process.startAt = bootNow() + what.duration;
            disturb(process, process.startAt);
            ::kill(process.pid, SIGKILL);
        } else if (what.kind == fault_kind::terminateDaemons) {
            process.isToEnd = true;
            process.startAt = bootNow() + what.duration;
            disturb(process, bootNow() + gracePeriod + what.duration);
            ::kill(process.pid, SIGTERM);
            sendLater(gracePeriod, number, SIGKILL);
        }
    }
}

void daemons::supervise()
{
    for (int i = 0; i < static_cast<int>(m_processes.size()); ++i) {
        auto &process = at(i);
        int status = 0;
        if (process.pid != 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
            process.pid = 0;
            process.misses = missesUntilOut;
            if (!process.isToEnd) {
                m_unexpected.push_back(nameOf(i) + " ended by itself, status " + std::to_string(status));
                process.startAt = bootNow() + restartAfterEnd;
            }
        }
        if (process.pid == 0 && process.startAt <= bootNow()) {
            start(i);
        }
    }
}

void daemons::pollReadiness(http_client &client)
{
    for (int i = 0; i < static_cast<int>(m_processes.size()); ++i) {
        http_call call;
        call.url = "http://" + m_parts.network + ".1." + std::to_string(i + 1) + ":8101/readyz";
        call.timeout = 900ms;
        client.call(call, [this, i](const http_outcome &outcome) {
            const auto *answer = std::get_if<http_response>(&outcome);
            auto &process = at(i);
            process.misses = answer != nullptr && answer->status == statusOk ? 0 : process.misses + 1;
        });
    }
}

std::vector<int> daemons::inRotation() const
{
    std::vector<int> result;
    for (int i = 0; i < static_cast<int>(m_processes.size()); ++i) {
        if (m_processes[static_cast<std::size_t>(i)].misses < missesUntilOut) {
            result.push_back(i);
        }
    }
    return result;
}

bool daemons::areAllReady() const
{
    return inRotation().size() == m_processes.size();
}

bool daemons::ranCalmly(int number, instant from, instant until) const
{
    const auto &process = m_processes.at(static_cast<std::size_t>(number));
    return process.pid != 0 && std::ranges::none_of(process.disturbances, [&](const auto &each) {
               return each.first <= until && each.second >= from;
           });
}

const std::vector<std::string> &daemons::unexpectedEnds() const
{
    return m_unexpected;
}

} // namespace primrosecroft::soak
