#pragma once

#include "durations/duration_sketch.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

/**
 * How long tasks will take, learned from the runs that have ended. Pure and deterministic.
 *
 * Tasks of one image behave alike, so an image has distributions of its own: of the time itself and of its ratio to the
 * caller's estimate. A new image begins with those of its queue, a new queue with the estimate, and both count for less
 * the more the image has shown. Of time and ratio, the one that varies less counts for more.
 */
namespace primrosecroft
{

/// What is known of a task before it starts.
struct task_kind
{
    std::string queue;
    std::string image; ///< tasks of one image behave alike; empty if unknown
    std::chrono::milliseconds estimate {0}; ///< the caller's
};

/// Time that a task will take on a sound worker of usual speed.
struct duration_forecast
{
    std::chrono::milliseconds early {0}; ///< one task in ten takes less
    std::chrono::milliseconds median {0};
    std::chrono::milliseconds late {0}; ///< nine of ten tasks take no longer
    double certainty = 0; ///< from 0 for the caller's estimate alone to 1
};

/// A run that is over.
struct ended_run
{
    task_kind kind;
    std::chrono::milliseconds worked {0}; ///< as long as it would have been on a worker of usual speed
    bool isWhole = true; ///< false if it was stopped or lost, so that the task takes longer than it worked
    double weight = 1; ///< less than 1 for a task among others that are expected to take the same time
};

/// What has been learned of tasks that are expected to behave alike.
struct duration_record
{
    duration_sketch times; ///< in milliseconds
    duration_sketch ratios; ///< of the time to the caller's estimate
    sketch_quantiles time; ///< of times
    sketch_quantiles ratio; ///< of ratios
    std::int64_t runs = 0; ///< ended runs that were taken in
    std::int64_t lastRun = 0; ///< number of the last of them, counted over all kinds
    double error = 0; ///< smoothed error of the forecasts, as a share of the time
    double estimateError = 0; ///< likewise, of the caller's estimates
};

struct queue_durations
{
    duration_record all;
    std::map<std::string, duration_record, std::less<>> images;
};

/// Everything that has been learned. Holds at most maxDurationRecords, and leaves out the oldest beyond that.
struct duration_model
{
    std::map<std::string, queue_durations, std::less<>> queues;
    std::size_t imageCount = 0;
    std::int64_t runs = 0; ///< ended runs that were taken in, over all kinds
};

/// Lower end of the ratios' bins, as a binary logarithm: the sketch then reaches from 1/1024 to 1024.
inline constexpr double lowestRatio = -10;

inline constexpr std::size_t maxDurationQueues = 100;
inline constexpr std::size_t maxDurationImages = 900; ///< of all queues together
inline constexpr std::size_t maxDurationRecords = maxDurationQueues + maxDurationImages;

/// Takes in a run that is over.
void learn(duration_model &model, const ended_run &run);

duration_forecast forecast(const duration_model &model, const task_kind &kind);

/// Returns the forecast for a caller's estimate of which nothing else is known.
duration_forecast forecastOfEstimate(std::chrono::milliseconds estimate);

/// Returns the record of a queue, and of an image if @p image isn't empty. Returns nullptr if there is none.
const duration_record *findRecord(const duration_model &model, const std::string &queue, const std::string &image);

/// Returns the record of a queue, and of an image if @p image isn't empty, and adds it if there is none. Other images
/// or queues are left out if there are too many.
duration_record &recordOf(duration_model &model, const std::string &queue, const std::string &image);

/// Recomputes the quantiles after the sketches were changed.
void updateQuantiles(duration_record &record);

} // namespace primrosecroft
