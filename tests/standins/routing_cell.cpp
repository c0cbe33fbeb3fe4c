#include "routing_cell.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <ranges>

namespace primrosecroft::standins
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::duration_cast;

constexpr auto sameDomainLatency = 250us;
constexpr auto otherDomainLatency = 1'000us;
constexpr auto otherRegionLatency = 20'000us;
constexpr auto failingAnswerTime = 1ms;
constexpr auto tickInterval = 20ms;
constexpr double serviceTimeSigma = 1.2; ///< of the log-normal distribution
constexpr std::int32_t slotsPerExecutor = 8;

/// Failure domain and region of a daemon or an executor.
struct network_location
{
    std::size_t domain = 0;
    bool isFarRegion = false;
};

/// Returns a location for each of @p counts members of the domains. The last domain is in the far region.
std::vector<network_location> makeLocations(const std::vector<std::size_t> &counts)
{
    std::vector<network_location> result;
    for (std::size_t domain = 0; domain < counts.size(); ++domain) {
        result.insert(result.end(), counts[domain], {domain, domain + 1 == counts.size()});
    }
    return result;
}

/// One-way latency between two locations.
duration latency(const network_location &from, const network_location &to)
{
    if (from.isFarRegion != to.isFarRegion) {
        return otherRegionLatency;
    }
    return from.domain == to.domain ? sameDomainLatency : otherDomainLatency;
}

std::string domainName(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

std::string regionName(const network_location &location)
{
    return location.isFarRegion ? "far" : "near";
}

std::string executorName(std::size_t number)
{
    return "executor-" + std::to_string(100 + number);
}

/// Arrivals and service times, which are the same for every policy with the same seed.
struct workload
{
    explicit workload(const cell_plan &plan)
        : random(plan.seed)
        , interarrivalTime(plan.load * slotsPerExecutor
                           * static_cast<double>(makeLocations(plan.executorsPerDomain).size())
                           / std::chrono::duration<double>(plan.serviceTime).count())
        , service(std::log(std::chrono::duration<double>(plan.serviceTime).count())
                      - serviceTimeSigma * serviceTimeSigma / 2,
                  serviceTimeSigma)
    {
    }

    duration nextInterarrivalTime()
    {
        return duration_cast<duration>(std::chrono::duration<double>(interarrivalTime(random)));
    }

    duration nextServiceTime()
    {
        return duration_cast<duration>(std::chrono::duration<double>(service(random)));
    }

    std::mt19937_64 random;
    std::exponential_distribution<double> interarrivalTime;
    std::lognormal_distribution<double> service;
};

/// Runs actions in the order of their times, and those of the same time in the order in which they were added.
class virtual_clock
{
public:
    void at(instant when, std::function<void()> action)
    {
        m_events.push({when, ++m_sequence, std::move(action)});
    }

    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const auto next = m_events.top();
            m_events.pop();
            now = next.when;
            next.action();
        }
    }

    instant now = instant {} + 1h;

private:
    struct event
    {
        instant when;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        /// Reversed, because std::priority_queue returns the largest element first.
        bool operator<(const event &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(when, sequence);
        }
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_sequence = 0;
};

struct cell_request
{
    instant arrivedAt;
    instant deadline;
    instant sentAt;
    duration service {0};
    bool isRepeatable = false;
    std::int32_t executions = 0;
    std::size_t daemon = 0;
};

struct cell_executor
{
    network_location location;
    std::int32_t busy = 0;
};

class cell
{
public:
    explicit cell(const cell_plan &plan)
        : m_plan(plan)
        , m_workload(plan)
        , m_daemonLocations(makeLocations(plan.daemonsPerDomain))
    {
        std::ranges::transform(makeLocations(plan.executorsPerDomain), std::back_inserter(m_executors),
                               [](const network_location &location) { return cell_executor {location, 0}; });
        m_result.executed.resize(m_executors.size());
        const auto seconds = static_cast<std::size_t>(plan.arrivalPeriod.count()) + 60;
        m_result.attemptsBySecond.assign(m_executors.size(), std::vector<std::int64_t>(seconds));
        m_result.linkBytesBySecond.resize(seconds);
        for (std::size_t number = 0; number < m_daemonLocations.size(); ++number) {
            auto settings = plan.settings;
            settings.address = "daemon-" + std::to_string(number);
            settings.failureDomain = domainName(m_daemonLocations[number].domain);
            settings.region = regionName(m_daemonLocations[number]);
            settings.seed = plan.seed * 1'000 + number;
            m_daemons.push_back(makeRouting(settings));
        }
    }

    cell_result run()
    {
        m_start = m_clock.now;
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            stepDaemon(daemon, listUpstreams());
            tick(daemon);
        }
        scheduleArrival();
        m_clock.runUntil(m_start + m_plan.arrivalPeriod + m_plan.deadline);
        std::ranges::sort(m_result.waitMs);
        m_result.slotsUsed /= static_cast<double>(std::max<std::int64_t>(1, m_samples));
        return std::move(m_result);
    }

private:
    upstreams_listed listUpstreams() const
    {
        upstreams_listed message;
        for (std::size_t number = 0; number < m_executors.size(); ++number) {
            const auto &location = m_executors[number].location;
            message.upstreams.push_back(
                {executorName(number), domainName(location.domain), regionName(location), false});
        }
        for (std::size_t number = 0; number < m_daemonLocations.size(); ++number) {
            const auto &location = m_daemonLocations[number];
            message.entries.push_back(
                {"daemon-" + std::to_string(number), domainName(location.domain), regionName(location)});
        }
        return message;
    }

    void tick(std::size_t daemon)
    {
        if (daemon == 0 && m_clock.now > m_start + m_plan.arrivalPeriod / 2
            && m_clock.now < m_start + m_plan.arrivalPeriod) {
            const auto busy = std::transform_reduce(m_executors.begin(), m_executors.end(), 0, std::plus {},
                                                    [](const cell_executor &each) { return each.busy; });
            m_result.slotsUsed +=
                static_cast<double>(busy) / (slotsPerExecutor * static_cast<double>(m_executors.size()));
            ++m_samples;
        }
        stepDaemon(daemon, routing_ticked {});
        m_clock.at(m_clock.now + tickInterval, [this, daemon] { tick(daemon); });
    }

    void scheduleArrival()
    {
        const auto when = m_clock.now + m_workload.nextInterarrivalTime();
        if (when > m_start + m_plan.arrivalPeriod) {
            return;
        }
        m_clock.at(when, [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        const auto id = ++m_lastId;
        cell_request request;
        request.arrivedAt = m_clock.now;
        request.deadline = m_clock.now + m_plan.deadline;
        request.service = m_workload.nextServiceTime();
        request.isRepeatable = std::bernoulli_distribution(m_plan.repeatableShare)(m_workload.random);
        request.daemon = m_workload.random() % m_daemons.size();
        m_requests.emplace(id, request);
        ++m_result.requests;
        stepDaemon(request.daemon, request_arrived {id, request.deadline, request.isRepeatable});
    }

    void stepDaemon(std::size_t daemon, const routing_message &message)
    {
        for (const auto &action : step(m_daemons[daemon], message, m_clock.now)) {
            carryOut(daemon, action);
        }
    }

    void carryOut(std::size_t daemon, const routing_action &action)
    {
        if (const auto *attempt = std::get_if<send_attempt>(&action)) {
            send(daemon, *attempt);
        } else if (const auto *refused = std::get_if<refuse_request>(&action)) {
            const auto &request = m_requests.at(refused->id);
            ++m_result.refused;
            m_result.refusedOnArrival += request.arrivedAt == m_clock.now ? 1 : 0;
            m_result.refusedAfterRun += request.executions > 0 ? 1 : 0;
            m_result.retryAfterMs.push_back(refused->retryAfter.count());
            m_requests.erase(refused->id);
        } else if (const auto *unknown = std::get_if<report_unknown>(&action)) {
            ++m_result.unknown;
            m_requests.erase(unknown->id);
        } else if (const auto *delivered = std::get_if<deliver_answer>(&action)) {
            ++m_result.faults;
            m_requests.erase(delivered->id);
        } else if (const auto *left = std::get_if<announce_leaving>(&action)) {
            announceLeaving(daemon, left->upstream);
        }
    }

    void announceLeaving(std::size_t from, const upstream_id &upstream)
    {
        for (std::size_t to = 0; to < m_daemons.size(); ++to) {
            if (to != from) {
                m_clock.at(m_clock.now + latency(m_daemonLocations[from], m_daemonLocations[to]),
                           [this, to, upstream] { stepDaemon(to, upstream_leaving_reported {upstream}); });
            }
        }
    }

    std::size_t secondNow() const
    {
        return static_cast<std::size_t>(duration_cast<std::chrono::seconds>(m_clock.now - m_start).count());
    }

    void send(std::size_t daemon, const send_attempt &attempt)
    {
        const auto number = static_cast<std::size_t>(std::stoi(attempt.upstream.substr(9))) - 100; // of executorName()
        const auto &from = m_daemonLocations[daemon];
        const auto &to = m_executors[number].location;
        ++m_result.attempts;
        ++m_result.attemptsBySecond[number][secondNow()];
        if (from.isFarRegion != to.isFarRegion) {
            m_result.linkBytes += m_plan.bytesPerRequest;
            m_result.linkBytesBySecond[secondNow()] += m_plan.bytesPerRequest;
        }
        m_requests.at(attempt.id).sentAt = m_clock.now;
        m_clock.at(m_clock.now + latency(from, to),
                   [this, daemon, number, id = attempt.id] { reachExecutor(daemon, number, id); });
    }

    const executor_fault *faultOf(std::size_t number, executor_fault_kind kind) const
    {
        const auto elapsed = m_clock.now - m_start;
        const auto found = std::ranges::find_if(m_plan.faults, [&](const executor_fault &fault) {
            return fault.executor == number && fault.kind == kind && fault.from <= elapsed && elapsed < fault.until;
        });
        return found == m_plan.faults.end() ? nullptr : &*found;
    }

    void reachExecutor(std::size_t daemon, std::size_t number, std::uint64_t id)
    {
        auto &executor = m_executors[number];
        if (faultOf(number, executor_fault_kind::unreachable) != nullptr) {
            finishAttempt(daemon, number, id, attempt_result::unreachable, 0ms);
        } else if (faultOf(number, executor_fault_kind::leaving) != nullptr) {
            finishAttempt(daemon, number, id, attempt_result::notRun, 0ms, true);
        } else if (faultOf(number, executor_fault_kind::failing) != nullptr) {
            ++m_requests.at(id).executions;
            finishAttempt(daemon, number, id, attempt_result::failed, failingAnswerTime);
        } else if (executor.busy >= slotsPerExecutor) {
            ++m_result.fullRefusals;
            finishAttempt(daemon, number, id, attempt_result::notRun, 0ms);
        } else {
            runRequest(daemon, number, id);
        }
    }

    void runRequest(std::size_t daemon, std::size_t number, std::uint64_t id)
    {
        auto &executor = m_executors[number];
        auto &request = m_requests.at(id);
        m_result.maxInFlight = std::max(m_result.maxInFlight, ++executor.busy);
        ++m_result.executed[number];
        ++request.executions;
        m_result.ranTwice += !request.isRepeatable && request.executions > 1 ? 1 : 0;
        m_result.waitMs.push_back(std::chrono::duration<double, std::milli>(m_clock.now - request.arrivedAt).count());
        const auto *slow = faultOf(number, executor_fault_kind::slow);
        const auto factor = slow == nullptr ? 1.0 : slow->slowdownFactor;
        const auto serviceTime = duration_cast<duration>(request.service * factor);
        m_clock.at(m_clock.now + serviceTime, [this, daemon, number, id] {
            --m_executors[number].busy;
            const auto isLost = faultOf(number, executor_fault_kind::unreachable) != nullptr;
            finishAttempt(daemon, number, id, isLost ? attempt_result::lost : attempt_result::answered, 0ms);
        });
    }

    void finishAttempt(std::size_t daemon, std::size_t number, std::uint64_t id, attempt_result result, duration delay,
                       bool leaving = false)
    {
        const auto load = m_executors[number].busy;
        const auto backLatency = latency(m_executors[number].location, m_daemonLocations[daemon]);
        m_clock.at(m_clock.now + delay + backLatency, [this, daemon, id, result, load, leaving] {
            const auto request = m_requests.at(id);
            attempt_finished message;
            message.id = id;
            message.result = result;
            message.isLeaving = leaving;
            if (result != attempt_result::unreachable && result != attempt_result::lost) {
                message.reportedLoad = load;
            }
            message.took = duration_cast<std::chrono::microseconds>(m_clock.now - request.sentAt);
            message.bytes = m_plan.bytesPerRequest;
            if (result == attempt_result::answered) {
                m_result.answeredInTime += m_clock.now <= request.deadline ? 1 : 0;
                m_requests.erase(id);
            }
            stepDaemon(daemon, message);
        });
    }

    const cell_plan &m_plan;
    workload m_workload;
    virtual_clock m_clock;
    instant m_start;
    std::vector<network_location> m_daemonLocations;
    std::vector<cell_executor> m_executors;
    std::vector<routing_state> m_daemons;
    std::map<std::uint64_t, cell_request> m_requests;
    std::uint64_t m_lastId = 0;
    std::int64_t m_samples = 0;
    cell_result m_result;
};

/// One queue over the slots of all executors. Requests are served in the order of arrival, each by the nearest executor
/// with a free slot.
class shared_queue
{
public:
    explicit shared_queue(const cell_plan &plan)
        : m_plan(plan)
        , m_workload(plan)
        , m_entries(makeLocations(plan.daemonsPerDomain))
    {
        std::ranges::transform(makeLocations(plan.executorsPerDomain), std::back_inserter(m_executors),
                               [](const network_location &location) { return cell_executor {location, 0}; });
    }

    cell_result run()
    {
        m_start = m_clock.now;
        scheduleArrival();
        m_clock.runUntil(m_start + m_plan.arrivalPeriod + m_plan.deadline);
        std::ranges::sort(m_result.waitMs);
        return std::move(m_result);
    }

private:
    struct waiting_request
    {
        instant arrivedAt;
        duration service;
        network_location from;
    };

    void scheduleArrival()
    {
        const auto when = m_clock.now + m_workload.nextInterarrivalTime();
        if (when > m_start + m_plan.arrivalPeriod) {
            return;
        }
        m_clock.at(when, [this] {
            const auto service = m_workload.nextServiceTime();
            // The result isn't used. The draw keeps the sequence of random numbers equal to that of the cell.
            std::bernoulli_distribution(m_plan.repeatableShare)(m_workload.random);
            const auto entry = m_workload.random() % m_entries.size();
            ++m_result.requests;
            m_queue.push_back({m_clock.now, service, m_entries[entry]});
            startWaitingRequests();
            scheduleArrival();
        });
    }

    /// Starts waiting requests while a slot is free. Drops those that can't be served within their deadline any more,
    /// as the daemons do.
    void startWaitingRequests()
    {
        while (!m_queue.empty()) {
            const auto next = m_queue.front();
            if (m_clock.now + m_plan.serviceTime > next.arrivedAt + m_plan.deadline) {
                ++m_result.refused;
                m_queue.pop_front();
                continue;
            }
            const auto isFull = [](const cell_executor &executor) { return executor.busy >= slotsPerExecutor; };
            const auto nearest = std::ranges::min_element(m_executors, {}, [&](const cell_executor &executor) {
                return std::pair(isFull(executor), latency(next.from, executor.location));
            });
            if (isFull(*nearest)) {
                return;
            }
            m_queue.pop_front();
            start(next, *nearest);
        }
    }

    void start(const waiting_request &request, cell_executor &executor)
    {
        ++executor.busy;
        const auto oneWay = latency(request.from, executor.location);
        const auto wait = m_clock.now + oneWay - request.arrivedAt;
        m_result.waitMs.push_back(std::chrono::duration<double, std::milli>(wait).count());
        m_clock.at(m_clock.now + request.service, [this, &executor, request, oneWay] {
            --executor.busy;
            m_result.answeredInTime += m_clock.now + oneWay <= request.arrivedAt + m_plan.deadline ? 1 : 0;
            startWaitingRequests();
        });
    }

    const cell_plan &m_plan;
    workload m_workload;
    virtual_clock m_clock;
    instant m_start;
    std::vector<network_location> m_entries;
    std::vector<cell_executor> m_executors;
    std::deque<waiting_request> m_queue;
    cell_result m_result;
};

} // namespace

double cell_result::waitQuantile(double quantile) const
{
    if (waitMs.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(waitMs.size() - 1));
    return waitMs[index];
}

cell_result runCell(const cell_plan &plan)
{
    return cell(plan).run();
}

cell_result runSharedQueue(const cell_plan &plan)
{
    return shared_queue(plan).run();
}

} // namespace primrosecroft::standins
