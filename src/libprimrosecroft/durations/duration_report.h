#pragma once

#include "durations/duration_model.h"

#include <optional>
#include <string>

/// What operators see of the durations.
namespace primrosecroft
{

/// Errors of all forecasts and of the callers' estimates, as shares of the times that tasks took.
struct duration_errors
{
    double forecasts = 0;
    double estimates = 0;
};

/// Returns the mean over all queues, by their runs.
duration_errors errorsOf(const duration_model &model);

/// Returns a JSON object that describes a queue and its images: quantiles, runs, age and errors. Returns std::nullopt
/// if nothing has been learned of the queue.
std::optional<std::string> describeDurations(const duration_model &model, const std::string &queue);

} // namespace primrosecroft
