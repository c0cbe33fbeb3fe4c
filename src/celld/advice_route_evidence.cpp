#include "advice_route_evidence.h"

#include <algorithm>
#include <tuple>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr int newestPart = 4; ///< the newest call counts a quarter in the smoothed values
constexpr int deviationsAllowed = 4; ///< an answer within the delay and this many deviations isn't late
constexpr duration minPatience = 150ms; ///< bridges a busy moment of either process
constexpr duration maxPatience = 350ms; ///< leaves time for a second call before the first one is given up
constexpr duration firstPause = 500ms; ///< after the first call without an answer
constexpr int failuresTolerated = 1; ///< one call of a well route may be lost, two in a row tell that it doesn't answer
constexpr duration doubtCost = 700ms; ///< a route in doubt is used if the others are busy for longer
constexpr int maxDoublings = 3; ///< of the pause, up to 4 s

duration pauseAfter(int failures)
{
    return firstPause * (1 << std::min(failures - 1, maxDoublings));
}

/// Orders routes by what is believed of them, the best first.
int rankOf(const advice_route_evidence &evidence, instant now)
{
    if (isBelieved(evidence, now)) {
        return 0;
    }
    return isDueForTrial(evidence, now) ? 1 : 2;
}

/// Returns when a call sent now would be answered, with the time that a doubtful route is expected to cost.
instant expectedAnswer(const advice_route_evidence &evidence, instant now)
{
    const bool isDoubtful = evidence.failures > 0 || evidence.lateCalls > 0;
    return std::max(now, evidence.freeAt) + evidence.delay + (isDoubtful ? doubtCost : 0ms);
}

} // namespace

advice_route_evidence untestedRoute(duration expectedDelay)
{
    advice_route_evidence evidence;
    evidence.delay = expectedDelay;
    evidence.deviation = expectedDelay / 2;
    return evidence;
}

void noteAnswer(advice_route_evidence &evidence, duration beyond)
{
    const auto delay = std::max(duration::zero(), beyond);
    evidence.deviation += (std::chrono::abs(delay - evidence.delay) - evidence.deviation) / newestPart;
    evidence.delay += (delay - evidence.delay) / (evidence.isTested ? newestPart : 1);
    evidence.isTested = true;
    evidence.failures = 0;
    evidence.pausedUntil = {};
}

void noteFailure(advice_route_evidence &evidence, instant now)
{
    evidence.isTested = true;
    ++evidence.failures;
    evidence.pausedUntil = now + pauseAfter(evidence.failures);
}

bool isBelieved(const advice_route_evidence &evidence, instant now)
{
    return evidence.failures == 0 || (evidence.failures <= failuresTolerated && evidence.pausedUntil <= now);
}

bool isDueForTrial(const advice_route_evidence &evidence, instant now)
{
    const bool isInDoubt = !evidence.isTested || evidence.failures > 0;
    return isInDoubt && evidence.openCalls == 0 && evidence.pausedUntil <= now;
}

bool isBetterRoute(const advice_route_evidence &left, const advice_route_evidence &right, instant now)
{
    const auto keyOf = [now](const advice_route_evidence &each) {
        return std::tuple(rankOf(each, now), expectedAnswer(each, now), each.delay);
    };
    return keyOf(left) < keyOf(right);
}

duration patienceWith(const advice_route_evidence &evidence)
{
    return std::clamp(evidence.delay + deviationsAllowed * evidence.deviation, minPatience, maxPatience);
}

instant issuedSince(advice_route_evidence &evidence, std::uint64_t number, instant sentAt, duration cost)
{
    if (number < evidence.lastAnswered) {
        return sentAt + cost; // overtaken by a later call's answer, so it may have been issued before that one
    }
    evidence.lastAnswered = number;
    evidence.issuedAt = std::max(evidence.issuedAt, sentAt) + cost;
    return evidence.issuedAt;
}

} // namespace primrosecroft
