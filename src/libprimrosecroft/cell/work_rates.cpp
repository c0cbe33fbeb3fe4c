#include "cell/work_rates.h"

#include <algorithm>
#include <cmath>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds endMemory = 5s; ///< longer than most tasks take, so that a rate is none of a single wave of ends
constexpr milliseconds arrivalMemory = 10s; ///< a burst that is shorter doesn't count in full
constexpr auto saturationTime = 1s;
constexpr double minMeasuredSeconds = 1.5; ///< of saturation, below which the capacity counts
constexpr double minEfficiency = 0.25; ///< of the capacity; a lower rate is taken for a disruption that will end
constexpr double maxEfficiency = 1.5;
constexpr double maxUrgentShare = 0.9; ///< work of earlier priorities leaves the others at least the rest

double seconds(duration amount)
{
    return std::chrono::duration<double>(amount).count();
}

double efficiency(const pool_rates &rates, double capacity, instant now)
{
    const auto measured = valueAt(rates.saturatedSeconds, endMemory, now);
    if (measured < minMeasuredSeconds || capacity <= 0) {
        return 1;
    }
    return std::clamp(valueAt(rates.endedWork, endMemory, now) / measured / capacity, minEfficiency, maxEfficiency);
}

/// What is left of a rate after what arrives of earlier priorities.
double afterUrgent(double rate, const std::map<std::int32_t, decaying_sum> &accepted, std::int32_t priority,
                   instant now)
{
    double urgent = 0;
    for (const auto &[each, amount] : accepted) {
        urgent += each < priority ? valueAt(amount, arrivalMemory, now) / seconds(arrivalMemory) : 0;
    }
    return rate - std::min(urgent, maxUrgentShare * rate);
}

} // namespace

double valueAt(const decaying_sum &sum, milliseconds memory, instant now)
{
    return sum.value * std::exp(-seconds(std::max(duration::zero(), duration(now - sum.at))) / seconds(memory));
}

void add(decaying_sum &sum, double amount, milliseconds memory, instant now)
{
    sum.value = valueAt(sum, memory, now) + amount;
    sum.at = now;
}

void recordAcceptedWork(pool_rates &rates, std::int32_t priority, double coreSeconds, instant now)
{
    add(rates.acceptedWork[priority], coreSeconds, arrivalMemory, now);
}

void recordEndedWork(pool_rates &rates, std::int32_t priority, double cores, double coreSeconds, instant now)
{
    add(rates.freedCores[priority], cores, endMemory, now);
    if (rates.isSaturated) {
        add(rates.endedWork, coreSeconds, endMemory, now);
    }
}

void recordWaitingWork(pool_rates &rates, double coreSeconds, const pool_capacity &capacity, instant now)
{
    rates.since = rates.since == instant {} ? now : rates.since;
    if (rates.isSaturated) {
        add(rates.saturatedSeconds, seconds(now - rates.checkedAt), endMemory, now);
    }
    // While an owner gets to know its workers, or most of them are away, ends tell little about the time afterwards.
    rates.isSaturated =
        coreSeconds > capacity.offered * seconds(saturationTime) && capacity.usable > capacity.offered / 2;
    rates.checkedAt = now;
}

double rateFor(const pool_rates &rates, std::int32_t priority, double capacity, instant now)
{
    const auto whole = capacity * efficiency(rates, capacity, now);
    return afterUrgent(whole, rates.acceptedWork, priority, now);
}

double freedCoresFor(const pool_rates &rates, std::int32_t priority, instant now)
{
    if (rates.since == instant {} || now < rates.since + endMemory) {
        return 0;
    }
    double result = 0;
    for (const auto &[each, freed] : rates.freedCores) {
        result += each < priority ? 0 : valueAt(freed, endMemory, now) / seconds(endMemory);
    }
    return result;
}

} // namespace primrosecroft
