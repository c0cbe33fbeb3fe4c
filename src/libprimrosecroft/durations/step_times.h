#pragma once

#include "durations/duration_model.h"

/// Times of the tasks of one step that have ended. The others are expected to take about as long.
namespace primrosecroft
{

struct step_times
{
    double count = 0;
    double mean = 0; ///< of the binary logarithms of the times in milliseconds
    double squares = 0; ///< sum of the squared differences from the mean
};

void add(step_times &times, std::chrono::milliseconds time);

/// Returns the forecast for the tasks of the step that haven't ended.
duration_forecast refineBy(const step_times &times, const duration_forecast &before);

} // namespace primrosecroft
