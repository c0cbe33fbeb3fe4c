#include "fault_plan.h"

#include "seeded.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto restartTime = 2'000ms; ///< until a daemon that is started again takes part
constexpr auto latestLateOrder = 4'000ms;
constexpr std::uint64_t cutsOffStream = 4; ///< of random numbers, beside those of the other parts of a soak
constexpr int mostSingleCuts = 3;
constexpr auto seriesTime = 45'000ms; ///< of cuts that follow a task, some four runs of it

struct kind_weight
{
    fault_kind kind;
    int weight;
    milliseconds shortest;
    milliseconds longest;
    bool hitsDaemons;
};

constexpr std::array weights {
    kind_weight {fault_kind::pauseDaemons, 14, 300ms, 8'000ms, true},
    kind_weight {fault_kind::killDaemons, 14, 50ms, 2'000ms, true},
    kind_weight {fault_kind::terminateDaemons, 8, 500ms, 2'000ms, true},
    kind_weight {fault_kind::restartWorkers, 20, 50ms, 3'000ms, false},
    kind_weight {fault_kind::freezeWorkers, 8, 500ms, 7'000ms, false},
    kind_weight {fault_kind::cutWorkers, 10, 1'000ms, 8'000ms, false},
    kind_weight {fault_kind::delayOrders, 6, 1'000ms, 5'000ms, false},
    kind_weight {fault_kind::loseOrderAnswers, 8, 1'000ms, 5'000ms, false},
    kind_weight {fault_kind::turnDaemonsAway, 10, 1'000ms, 7'000ms, true},
    kind_weight {fault_kind::stopStore, 5, 500ms, 5'000ms, false},
    kind_weight {fault_kind::slowStore, 5, 1'000ms, 6'000ms, false},
    kind_weight {fault_kind::loseStoreAnswers, 8, 1'000ms, 5'000ms, false},
    kind_weight {fault_kind::dropStoreHistory, 3, 0ms, 0ms, false},
};

const kind_weight &drawKind(seeded &random)
{
    const auto sum = std::accumulate(weights.begin(), weights.end(), 0,
                                     [](int total, const kind_weight &each) { return total + each.weight; });
    auto left = random.number(0, sum - 1);
    return *std::ranges::find_if(weights, [&left](const kind_weight &each) {
        left -= each.weight;
        return left < 0;
    });
}

/// Draws one of @p count, a few of them, a third or, rarely, all.
std::vector<int> drawTargets(seeded &random, int count)
{
    std::vector<int> all(static_cast<std::size_t>(count));
    std::iota(all.begin(), all.end(), 0);
    for (int i = 0; i < count; ++i) {
        std::swap(all[static_cast<std::size_t>(i)], all[static_cast<std::size_t>(random.number(i, count - 1))]);
    }
    const auto size = random.number(0, 99);
    const auto wanted = size < 45 ? 1 : size < 75 ? random.number(2, 3) : size < 93 ? count / 3 : count;
    all.resize(static_cast<std::size_t>(std::clamp(wanted, 1, count)));
    return all;
}

fault drawFault(seeded &random, const soak_site &site, milliseconds at)
{
    const auto &kind = drawKind(random);
    fault result;
    result.at = at;
    result.kind = kind.kind;
    result.duration = random.time(kind.shortest, kind.longest);
    result.targets = drawTargets(random, kind.hitsDaemons ? static_cast<int>(site.daemons.size()) : site.workers);
    result.hitsOwner = kind.hitsDaemons && random.chance(0.5);
    result.manner = static_cast<fault_manner>(random.number(0, 3));
    if (random.chance(0.5)) {
        result.side = random.number(0, site.workerSides - 1);
    }
    result.entryDelay = random.chance(0.4) ? random.time(0ms, 50ms) : random.time(100ms, 2'500ms);
    return result;
}

/// Some workers restart again and again.
void repeatRestarts(seeded &random, std::vector<fault> &faults, milliseconds end)
{
    std::vector<fault> repeated;
    for (const auto &each : faults) {
        if (each.kind != fault_kind::restartWorkers || !random.chance(0.4)) {
            continue;
        }
        auto next = each;
        for (int i = random.number(1, 3); i > 0; --i) {
            next.at += next.duration + random.time(100ms, 3'000ms);
            next.duration = random.time(50ms, 1'000ms);
            if (next.at < end) {
                repeated.push_back(next);
            }
        }
    }
    faults.insert(faults.end(), repeated.begin(), repeated.end());
}

/// After some restarts the workers carry out orders without an answer, so that their entries tell of the restart first.
void addSilentRestarts(seeded &random, std::vector<fault> &faults)
{
    std::vector<fault> silent;
    for (const auto &each : faults) {
        if (each.kind != fault_kind::restartWorkers || !random.chance(0.3)) {
            continue;
        }
        auto next = each;
        next.kind = fault_kind::loseOrderAnswers;
        next.at += each.duration;
        next.duration = random.time(200ms, 1'500ms);
        silent.push_back(next);
    }
    faults.insert(faults.end(), silent.begin(), silent.end());
}

/// Draws a cut of one or two workers from the daemons and the store. Most cuts outlast the leases and the entries.
fault drawCutOff(seeded &random, const soak_site &site, milliseconds at)
{
    fault result;
    result.at = at;
    result.kind = fault_kind::cutWorkersOff;
    result.duration = random.chance(0.8) ? random.time(7'000ms, 10'000ms) : random.time(1'000ms, 7'000ms);
    result.targets = {random.number(0, site.workers - 1)};
    if (random.chance(0.3)) {
        result.targets.push_back(random.number(0, site.workers - 1));
    }
    return result;
}

/// Adds cuts of any workers and, to most plans, a series that hits the workers of one task that lasts soon after it has
/// started there. They have random numbers of their own, so that the other faults of a seed stay as they were.
void addCutsOff(seeded random, const soak_site &site, std::vector<fault> &faults)
{
    for (int count = random.number(0, mostSingleCuts); count > 0; --count) {
        faults.push_back(drawCutOff(random, site, site.warmUp + random.time(0ms, site.faultTime)));
    }
    if (!random.chance(0.6)) {
        return;
    }
    for (auto at = site.warmUp; at < site.warmUp + seriesTime; at += random.time(1'000ms, 3'000ms)) {
        auto next = drawCutOff(random, site, at);
        next.followsTask = true;
        faults.push_back(next);
    }
}

/// Returns when what the fault entails is over.
milliseconds endOf(const fault &each)
{
    switch (each.kind) {
    case fault_kind::killDaemons:
        return each.at + each.duration + restartTime;
    case fault_kind::terminateDaemons:
        return each.at + gracePeriod + each.duration + restartTime;
    case fault_kind::restartWorkers:
        return each.at + each.duration + each.entryDelay;
    case fault_kind::delayOrders:
    case fault_kind::loseStoreAnswers:
        return each.at + each.duration + latestLateOrder;
    default:
        return each.at + each.duration;
    }
}

} // namespace

fault_plan planFaults(std::uint64_t seed, const soak_site &site)
{
    seeded random(seed);
    fault_plan plan;
    plan.forgetsUpToHighest = random.chance(0.5);
    const auto end = site.warmUp + site.faultTime;
    for (auto at = site.warmUp; at < end; at += random.time(400ms, 4'500ms)) {
        for (int count = random.number(1, 4); count > 0; --count) {
            plan.faults.push_back(drawFault(random, site, at + random.time(0ms, 800ms)));
        }
    }
    repeatRestarts(random, plan.faults, end);
    addSilentRestarts(random, plan.faults);
    addCutsOff(seeded(seed + cutsOffStream), site, plan.faults);
    std::ranges::sort(plan.faults, {}, &fault::at);
    for (const auto &each : plan.faults) {
        plan.calmAt = std::max(plan.calmAt, endOf(each));
    }
    return plan;
}

std::string toString(fault_kind kind)
{
    static constexpr std::array names {"pause daemons",      "kill daemons", "terminate daemons", "restart workers",
                                       "freeze workers",     "cut workers",  "cut workers off",   "delay orders",
                                       "lose order answers", "turn away",    "stop store",        "slow store",
                                       "lose store answers", "drop history"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace primrosecroft::soak
