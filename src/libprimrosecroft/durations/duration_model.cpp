#include "durations/duration_model.h"

#include "durations/detail/time_scale.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

namespace primrosecroft
{

namespace
{

using detail::logOf;
using detail::timeOf;
using std::chrono::milliseconds;

/// A kind's own values count as much as what is known of it before when it has this many.
constexpr double priorEvidence = 2;

/// Without evidence a task is expected to take between half and twice its estimate.
constexpr double priorSpread = 1;

constexpr double minSpread = 0.05; ///< in octaves; no distribution counts as narrower
constexpr double errorWeight = 0.05; ///< weight of the newest error in the smoothed value
constexpr double maxError = 10;

/// A distribution of a time, by binary logarithms of milliseconds.
struct expectation
{
    double median = 0;
    double below = 0; ///< from the median to the value that one in ten falls short of
    double above = 0; ///< to the value that one in ten exceeds
};

/// Returns what a kind's values make of what was expected before. The distance between both adds to the spread.
expectation refine(const expectation &prior, const sketch_quantiles &own, double origin, double ownEvidence)
{
    const double share = ownEvidence / (ownEvidence + priorEvidence);
    const double distance = own.median + origin - prior.median;
    const auto blend = [share, distance](double before, double now) {
        return std::sqrt((1 - share) * before * before + share * now * now + share * (1 - share) * distance * distance);
    };
    return {prior.median + share * distance, blend(prior.below, own.median - own.early),
            blend(prior.above, own.late - own.median)};
}

double precisionOf(const expectation &each)
{
    const double spread = std::max(minSpread, each.below + each.above);
    return 1 / (spread * spread);
}

/// Returns the mean of both, by their precisions. Its spread is the narrower one, as they aren't independent.
expectation combine(const expectation &left, const expectation &right)
{
    const double leftPrecision = precisionOf(left);
    const double rightPrecision = precisionOf(right);
    const auto &narrower = leftPrecision > rightPrecision ? left : right;
    return {(left.median * leftPrecision + right.median * rightPrecision) / (leftPrecision + rightPrecision),
            narrower.below, narrower.above};
}

duration_forecast forecastFrom(const expectation &expected, double certainty)
{
    return {timeOf(expected.median - expected.below), timeOf(expected.median), timeOf(expected.median + expected.above),
            certainty};
}

bool isEmpty(const duration_sketch &sketch)
{
    return sketch.total <= 0;
}

/// The chains of records that a kind's forecast comes from, from the general to the particular.
struct record_chain
{
    const duration_record *queue = nullptr;
    const duration_record *image = nullptr;
};

record_chain chainOf(const duration_model &model, const task_kind &kind)
{
    const auto queue = model.queues.find(kind.queue);
    if (queue == model.queues.end()) {
        return {};
    }
    const auto &images = queue->second.images;
    const auto image = kind.image.empty() ? images.end() : images.find(kind.image);
    return {&queue->second.all, image == images.end() ? nullptr : &image->second};
}

duration_forecast forecastOf(const record_chain &chain, milliseconds estimate)
{
    const bool hasEstimate = estimate.count() > 0;
    const expectation prior {logOf(estimate), priorSpread, priorSpread};
    auto byTime = prior;
    auto byRatio = prior;
    double doubt = 1;
    for (const auto *record : {chain.queue, chain.image}) {
        if (record == nullptr || isEmpty(record->times)) {
            continue;
        }
        // Without an estimate there is no prior, so the first values count in full.
        const auto known = hasEstimate || record == chain.image ? evidence(record->times) : 1e9;
        byTime = refine(byTime, record->time, 0, known);
        if (hasEstimate && !isEmpty(record->ratios)) {
            byRatio = refine(byRatio, record->ratio, lowestRatio + logOf(estimate), evidence(record->ratios));
        }
        doubt *= priorEvidence / (evidence(record->times) + priorEvidence);
    }
    return forecastFrom(hasEstimate ? combine(byTime, byRatio) : byTime, 1 - doubt);
}

void smooth(double &smoothed, milliseconds expected, milliseconds took, std::int64_t runs)
{
    const auto difference = static_cast<double>((expected - took).count());
    const auto newest =
        std::min(maxError, std::abs(difference) / static_cast<double>(std::max<std::int64_t>(1, took.count())));
    smoothed += (newest - smoothed) * std::max(errorWeight, 1 / static_cast<double>(runs));
}

void learn(duration_record &record, const ended_run &run, milliseconds expected)
{
    const auto take = run.isWhole ? &add : &addAbove;
    const auto position = logOf(run.worked);
    take(record.times, position, run.weight);
    if (run.kind.estimate.count() > 0) {
        take(record.ratios, position - logOf(run.kind.estimate) - lowestRatio, run.weight);
    }
    updateQuantiles(record);
    ++record.runs;
    if (run.isWhole) {
        smooth(record.error, expected, run.worked, record.runs);
        smooth(record.estimateError, run.kind.estimate, run.worked, record.runs);
    }
}

void dropOldestQueue(duration_model &model)
{
    const auto oldest =
        std::ranges::min_element(model.queues, {}, [](const auto &each) { return each.second.all.lastRun; });
    model.imageCount -= oldest->second.images.size();
    model.queues.erase(oldest);
}

/// Drops the older half of the images of the queue that has the most, so that a queue with ever new images keeps no
/// other one from learning.
void dropOldImages(duration_model &model)
{
    auto &images = std::ranges::max_element(model.queues, {}, [](const auto &each) {
                       return each.second.images.size();
                   })->second.images;
    std::vector<std::int64_t> lastRuns;
    std::ranges::transform(images, std::back_inserter(lastRuns), [](const auto &each) { return each.second.lastRun; });
    const auto middle = lastRuns.begin() + std::ssize(lastRuns) / 2;
    std::ranges::nth_element(lastRuns, middle);
    model.imageCount -=
        std::erase_if(images, [limit = *middle](const auto &each) { return each.second.lastRun <= limit; });
}

queue_durations &queueOf(duration_model &model, const std::string &name)
{
    if (const auto found = model.queues.find(name); found != model.queues.end()) {
        return found->second;
    }
    if (model.queues.size() >= maxDurationQueues) {
        dropOldestQueue(model);
    }
    return model.queues[name];
}

duration_record &imageOf(duration_model &model, queue_durations &queue, const std::string &name)
{
    if (const auto found = queue.images.find(name); found != queue.images.end()) {
        return found->second;
    }
    if (model.imageCount >= maxDurationImages) {
        dropOldImages(model);
    }
    ++model.imageCount;
    return queue.images[name];
}

} // namespace

void learn(duration_model &model, const ended_run &run)
{
    if (run.worked.count() <= 0) {
        return;
    }
    auto &queue = queueOf(model, run.kind.queue);
    auto *image = run.kind.image.empty() ? nullptr : &imageOf(model, queue, run.kind.image);
    const auto expected = forecastOf({&queue.all, image}, run.kind.estimate).median;
    ++model.runs;
    for (auto *record : {&queue.all, image}) {
        if (record != nullptr) {
            learn(*record, run, expected);
            record->lastRun = model.runs;
        }
    }
}

duration_forecast forecast(const duration_model &model, const task_kind &kind)
{
    return forecastOf(chainOf(model, kind), kind.estimate);
}

duration_forecast forecastOfEstimate(milliseconds estimate)
{
    return forecastOf({}, estimate);
}

const duration_record *findRecord(const duration_model &model, const std::string &queue, const std::string &image)
{
    const auto chain = chainOf(model, {queue, image, {}});
    return image.empty() ? chain.queue : chain.image;
}

duration_record &recordOf(duration_model &model, const std::string &queue, const std::string &image)
{
    auto &own = queueOf(model, queue);
    return image.empty() ? own.all : imageOf(model, own, image);
}

void updateQuantiles(duration_record &record)
{
    if (!isEmpty(record.times)) {
        record.time = quantilesOf(record.times);
    }
    if (!isEmpty(record.ratios)) {
        record.ratio = quantilesOf(record.ratios);
    }
}

} // namespace primrosecroft
