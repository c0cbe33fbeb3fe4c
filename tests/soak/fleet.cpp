#include "fleet.h"

#include "core/clock.h"
#include "platform/wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr int firstWorkerPort = 7500;
constexpr const char *portMark = ":SIDE"; ///< in stored addresses, replaced by the port of the reader's side
constexpr int addressesPerBlock = 250;
constexpr auto heartbeat = 1'500ms;
constexpr auto longestTransit = 15ms; ///< of an order, and of its answer
constexpr auto longestWait = 20'000ms; ///< of a task that is followed, after which it counts as ended
constexpr auto lateFrom = 500ms; ///< an order that is carried out so much after its arrival counts as late

std::string addressOf(const std::string &network, int worker)
{
    return network + '.' + std::to_string(2 + worker / addressesPerBlock) + '.'
        + std::to_string(1 + worker % addressesPerBlock);
}

/// Names all members of a gang with one attempt.
run_id gangOf(run_id run)
{
    run.task.index = -1;
    return run;
}

} // namespace

std::string entryForSide(const std::string &value, int side)
{
    auto result = value;
    if (const auto at = result.find(portMark); at != std::string::npos) {
        result.replace(at, std::string(portMark).size(), ":" + std::to_string(firstWorkerPort + side));
    }
    return result;
}

fleet::member::member(executor_emulator emulator)
    : executor(std::move(emulator))
{
}

fleet::fleet(parts environment, std::uint64_t seed)
    : m_parts(std::move(environment))
    , m_random(seed + 1)
    , m_advancedTo(bootNow())
{
    const auto sides = static_cast<std::size_t>(m_parts.site.workerSides);
    for (int i = 0; i < m_parts.site.workers; ++i) {
        worker_description worker;
        worker.id = "i-" + std::to_string(i);
        worker.boot = timeOfDay().count();
        worker.address = addressOf(m_parts.network, i) + portMark;
        worker.pool = "pool";
        worker.failureDomain = m_parts.site.domains.at(static_cast<std::size_t>(i) % m_parts.site.domains.size()).name;
        worker.labels = {"k", "r" + std::to_string(i / m_parts.site.workersPerRack)};
        worker.capacity = m_parts.site.workerCapacity;
        const auto rate = 0.98 + 0.001 * m_random.number(0, 20);
        m_members.emplace_back(executor_emulator(worker, rate, m_parts.bounds));
        auto &added = m_members.back();
        added.executor.isGangPresent = [this](const run_id &run) { return isGangPresent(run); };
        added.servers.resize(sides);
        added.cutUntil.resize(sides);
        added.cutManner.resize(sides);
        added.nextEntryAt = bootNow() + m_random.time(0ms, heartbeat) - heartbeat;
        for (int side = 0; side < m_parts.site.workerSides; ++side) {
            listen(i, side);
        }
    }
}

fleet::member &fleet::at(int worker)
{
    return m_members.at(static_cast<std::size_t>(worker));
}

milliseconds fleet::now() const
{
    return std::chrono::duration_cast<milliseconds>(bootNow() - m_parts.start);
}

void fleet::listen(int worker, int side)
{
    auto &server = at(worker).servers.at(static_cast<std::size_t>(side));
    server = std::make_unique<http_server>(
        http_server_limits {}, [this, worker, side](const std::shared_ptr<http_request> &request) {
            const delivery order {worker, side, at(worker).executor.description().boot, bootNow(), request};
            m_parts.calls.add(order.sentAt + m_random.time(0ms, longestTransit), [this, order] { arrive(order); });
        });
    server->listen(addressOf(m_parts.network, worker), static_cast<std::uint16_t>(firstWorkerPort + side));
}

// --- orders

void fleet::arrive(const delivery &order)
{
    auto &worker = at(order.worker);
    const auto side = static_cast<std::size_t>(order.side);
    if (worker.cutUntil[side] > bootNow() && worker.cutManner[side] == fault_manner::reset) {
        order.request->abort();
        return;
    }
    if (isHeld(order)) {
        m_parts.calls.addPolled([this, order] {
            if (isHeld(order)) {
                return false;
            }
            carryOut(order, bootNow() - order.sentAt > lateFrom);
            return true;
        });
        return;
    }
    if (worker.delaysUntil > bootNow() && m_random.chance(0.5)) {
        m_parts.calls.add(bootNow() + m_random.time(300ms, 4'000ms), [this, order] { carryOut(order, true); });
        return;
    }
    carryOut(order, false);
}

bool fleet::isHeld(const delivery &order) const
{
    const auto &worker = m_members.at(static_cast<std::size_t>(order.worker));
    return worker.frozenUntil > bootNow() || worker.cutUntil.at(static_cast<std::size_t>(order.side)) > bootNow();
}

void fleet::carryOut(const delivery &order, bool isLate)
{
    auto &worker = at(order.worker);
    const bool wasCut = worker.cutUntil.at(static_cast<std::size_t>(order.side)) > order.sentAt;
    const bool isGone = worker.isDown || worker.executor.description().boot != order.boot;
    if (isGone || (wasCut && order.request->isDisconnected())) {
        order.request->abort();
        return;
    }
    advance();
    standins::serveOrder(worker.executor, order.request, m_parts.calls, hooksFor(order, isLate));
}

standins::worker_server_hooks fleet::hooksFor(const delivery &order, bool isLate)
{
    standins::worker_server_hooks hooks;
    hooks.behaviourOf = [this](const run_id &run, const std::string &payload) { return behaviourOf(run, payload); };
    hooks.acceptsTicket = [this](const run_id &run, const std::string &ticket) {
        return !run.task.job.starts_with("ad") || m_parts.advice.hasIssued(ticket);
    };
    hooks.started = [this, order, isLate](const run_id &run, row_version token, bool isNew, const std::string &) {
        if (isNew) {
            recordStart(order, run, token, isLate);
        }
    };
    hooks.stopped = [this, order](const run_id &run, row_version) {
        if (const auto found = m_open.find({order.worker, run}); found != m_open.end()) {
            auto &record = m_runs[found->second];
            record.stopOrderedAt = record.stopOrderedAt.value_or(now());
        }
    };
    hooks.listed = [this, order] { collectNotes(order.worker); };
    hooks.answer = [this, order, isLate](const std::shared_ptr<http_request> &request, const http_response &answer) {
        const auto &worker = at(order.worker);
        const bool isLost = worker.losesUntil > bootNow() && (worker.losesAll || m_random.chance(0.5));
        if (isLate || isLost) {
            m_parts.store.keepUnanswered(request);
            return;
        }
        m_parts.calls.add(bootNow() + m_random.time(0ms, longestTransit),
                          [request, answer] { request->answer(answer); });
    };
    return hooks;
}

task_behaviour fleet::behaviourOf(const run_id &run, const std::string &payload) const
{
    task_behaviour behaviour;
    const auto job = json::parse(payload, nullptr, false);
    if (!job.is_object()) {
        return behaviour;
    }
    const auto &step = job.at("steps").at(static_cast<std::size_t>(run.task.step));
    behaviour.gang = step.value("gang", 0U);
    behaviour.isService = step.value("lasts", false);
    // Tasks of a step take from 0.7 to 1.3 of its work, but members of a gang the same time.
    const auto share = behaviour.gang > 0 ? 10 : 7 + run.task.index % 7;
    behaviour.work = milliseconds(step.at("work").get<int>() * share / 10);
    behaviour.fails = step.value("fails", -1) == run.task.index && !m_failed.contains(run.task);
    return behaviour;
}

void fleet::recordStart(const delivery &order, const run_id &run, row_version token, bool isLate)
{
    const auto &worker = at(order.worker);
    run_record record;
    record.run = run;
    record.worker = order.worker;
    record.boot = order.boot;
    record.side = order.side;
    record.token = token;
    record.sender = m_parts.ownerOf(token);
    record.isLate = isLate;
    record.isBesideCut = std::ranges::any_of(worker.cutUntil, [](instant until) { return until > bootNow(); });
    record.startedAt = now();
    record.startNumber = ++m_number;
    const auto body = json::parse(order.request->body());
    const auto behaviour = behaviourOf(run, body.at("spec").get<std::string>());
    const auto gang = behaviour.gang;
    record.lasts = behaviour.isService;
    record.isGang = gang > 0;
    if (record.isGang) {
        m_gangSizes[gangOf(run)] = static_cast<int>(gang);
        ++m_present[gangOf(run)];
    }
    m_open[{order.worker, run}] = m_runs.size();
    m_runs.push_back(record);
}

// --- time

void fleet::advance()
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(bootNow() - m_advancedTo);
    if (elapsed == 0ms) {
        return;
    }
    m_advancedTo += elapsed;
    for (int i = 0; i < m_parts.site.workers; ++i) {
        auto &worker = at(i);
        if (!worker.isDown) {
            worker.executor.advance(elapsed);
        } else if (worker.downUntil <= bootNow()) {
            bringUp(i);
        }
        for (int side = 0; side < m_parts.site.workerSides && !worker.isDown; ++side) {
            const auto index = static_cast<std::size_t>(side);
            if (!worker.servers[index] && worker.cutUntil[index] <= bootNow()) {
                listen(i, side);
            }
        }
    }
    for (int i = 0; i < m_parts.site.workers; ++i) {
        collectEnds(i);
    }
}

void fleet::collectEnds(int worker)
{
    auto &from = at(worker);
    while (from.endsSeen < from.executor.ends().size()) {
        const auto index = from.endsSeen++; // before the end of a gang collects further ends
        const auto ended = from.executor.ends()[index].end;
        const auto found = m_open.find({worker, ended.run});
        auto &record = m_runs.at(found->second);
        record.endedAt = now();
        record.endNumber = ++m_number;
        record.how = ended.how;
        record.endOnWorker = ended.number;
        from.unnoted.emplace_back(index, found->second);
        m_open.erase(found);
        if (ended.how == run_end::failed) {
            m_failed.insert(ended.run.task);
        }
        if (record.isGang) {
            --m_present[gangOf(ended.run)];
            endGang(ended.run, ended.how);
        }
    }
    if (m_parts.bounds.forgetsUpToHighest) {
        collectNotes(worker);
    }
}

void fleet::collectNotes(int worker)
{
    auto &from = at(worker);
    std::erase_if(from.unnoted, [&](const auto &each) {
        const auto &ended = from.executor.ends()[each.first];
        if (ended.isAcknowledged) {
            m_runs[each.second].isAcknowledged = true;
            if (!ended.hasLapsedSince) {
                m_runs[each.second].notedAt = now();
            }
        }
        return ended.isAcknowledged;
    });
}

/// Ends the other members of a gang: one end as done represents all, any other end breaks the gang.
void fleet::endGang(const run_id &ended, run_end how)
{
    std::vector<std::pair<int, run_id>> others;
    for (const auto &[place, record] : m_open) {
        if (gangOf(place.second) == gangOf(ended)) {
            others.push_back(place);
        }
    }
    const bool isWorking = m_present[gangOf(ended)] + 1 >= m_gangSizes[gangOf(ended)];
    if (how == run_end::gangIncomplete || !isWorking) {
        return; // each waits for its own time
    }
    for (const auto &[worker, run] : others) {
        at(worker).executor.end(run, how == run_end::done ? run_end::done : run_end::gangBroken);
        collectEnds(worker);
    }
}

bool fleet::isGangPresent(const run_id &run) const
{
    const auto present = m_present.find(gangOf(run));
    const auto size = m_gangSizes.find(gangOf(run));
    return present != m_present.end() && size != m_gangSizes.end() && present->second >= size->second;
}

// --- entries

bool fleet::isAnnouncing(const member &worker) const
{
    return !worker.isDown && worker.cutFromStoreUntil <= bootNow() && worker.entryFrom <= bootNow();
}

void fleet::announce()
{
    for (auto &worker : m_members) {
        const auto &description = worker.executor.description();
        if (isAnnouncing(worker) && worker.nextEntryAt <= bootNow()) {
            worker.nextEntryAt = bootNow() + heartbeat;
            worker.entryExpiresAt = bootNow() + 3 * heartbeat;
            worker.isListed = true;
            m_parts.store.store.put({platform::workerTable, "", description.id},
                                    standins::workerEntry(description, ++worker.sequence));
        } else if (worker.isListed && worker.entryExpiresAt <= bootNow()) {
            worker.isListed = false;
            m_parts.store.store.remove({platform::workerTable, "", description.id});
        }
    }
}

// --- faults

void fleet::takeDown(int worker, const fault &what)
{
    auto &down = at(worker);
    down.isDown = true;
    down.downUntil = std::max(down.downUntil, bootNow() + what.duration);
    down.entryDelay = what.entryDelay;
    std::ranges::for_each(down.servers, [](auto &server) { server.reset(); });
    for (const auto &run : down.executor.running()) {
        const auto found = m_open.find({worker, run});
        if (found == m_open.end()) {
            continue; // ended with another member of its gang
        }
        auto &record = m_runs.at(found->second);
        record.endedAt = now();
        record.endNumber = ++m_number;
        const bool isGang = record.isGang;
        m_open.erase(found);
        if (isGang) {
            --m_present[gangOf(run)];
            endGang(run, run_end::stopped);
        }
    }
    down.unnoted.clear();
    down.executor.reboot(0);
}

void fleet::bringUp(int worker)
{
    auto &up = at(worker);
    up.isDown = false;
    up.executor.reboot(timeOfDay().count());
    up.sequence = 0;
    up.entryFrom = bootNow() + up.entryDelay;
    up.nextEntryAt = up.entryFrom;
    up.frozenUntil = {};
    for (int side = 0; side < m_parts.site.workerSides; ++side) {
        listen(worker, side);
    }
}

void fleet::cut(int worker, const fault &what, instant until)
{
    auto &hit = at(worker);
    for (int side = 0; side < m_parts.site.workerSides; ++side) {
        if (what.side.value_or(side) != side) {
            continue;
        }
        const auto index = static_cast<std::size_t>(side);
        hit.cutUntil[index] = std::max(hit.cutUntil[index], until);
        hit.cutManner[index] = what.manner;
        if (what.manner == fault_manner::busy) {
            hit.servers[index].reset(); // refuses connections
        }
    }
    for (const auto &run : hit.executor.running()) {
        m_runs[m_open.at({worker, run})].isBesideCut = true;
    }
}

void fleet::begin(const fault &what, const std::vector<int> &targets)
{
    advance();
    const auto until = bootNow() + what.duration;
    for (const auto target : targets) {
        auto &worker = at(target);
        if (what.kind == fault_kind::restartWorkers) {
            takeDown(target, what);
        } else if (what.kind == fault_kind::freezeWorkers) {
            worker.frozenUntil = std::max(worker.frozenUntil, until);
        } else if (what.kind == fault_kind::delayOrders) {
            worker.delaysUntil = std::max(worker.delaysUntil, until);
        } else if (what.kind == fault_kind::loseOrderAnswers) {
            worker.losesUntil = std::max(worker.losesUntil, until);
            worker.losesAll = what.side.has_value();
        } else if (what.kind == fault_kind::cutWorkers) {
            cut(target, what, until);
        } else if (what.kind == fault_kind::cutWorkersOff) {
            cut(target, what, until);
            worker.cutFromStoreUntil = std::max(worker.cutFromStoreUntil, until);
        }
    }
}

const run_record *fleet::lastRunOf(const task_ref &task) const
{
    const auto found =
        std::ranges::find(m_runs.rbegin(), m_runs.rend(), task, [](const run_record &each) { return each.run.task; });
    return found == m_runs.rend() ? nullptr : &*found;
}

/// Returns the latest start of a task that lasts and still runs where it can be reached.
const run_record *fleet::latestLastingRun() const
{
    const auto found = std::find_if(m_runs.rbegin(), m_runs.rend(), [this](const run_record &each) {
        return each.lasts && each.endNumber == 0 && !isCutOff(each.worker);
    });
    return found == m_runs.rend() ? nullptr : &*found;
}

bool fleet::isCutOff(int worker) const
{
    return m_members[static_cast<std::size_t>(worker)].cutFromStoreUntil > bootNow();
}

bool fleet::isFollowed() const
{
    const auto *last = m_followed ? lastRunOf(*m_followed) : nullptr;
    if (last == nullptr || last->endNumber == 0) {
        return last != nullptr;
    }
    return last->how != run_end::stopped && now() < last->endedAt + longestWait;
}

std::optional<int> fleet::followTask()
{
    const auto *run = isFollowed() ? lastRunOf(*m_followed) : latestLastingRun();
    if (run == nullptr) {
        return std::nullopt;
    }
    m_followed = run->run.task;
    const bool isReached = run->endNumber == 0 && !isCutOff(run->worker);
    return isReached ? std::optional(run->worker) : std::nullopt;
}

const std::vector<run_record> &fleet::runs() const
{
    return m_runs;
}

std::vector<worker_boot> fleet::boots() const
{
    std::vector<worker_boot> result;
    std::ranges::transform(m_members, std::back_inserter(result),
                           [](const member &each) { return each.executor.description().boot; });
    return result;
}

} // namespace primrosecroft::soak
