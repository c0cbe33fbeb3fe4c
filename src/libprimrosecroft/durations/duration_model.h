#pragma once

#include <chrono>
#include <string>

/// How long tasks will take, learned from the runs that have ended.
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
    std::chrono::milliseconds median {0};
    std::chrono::milliseconds late {0}; ///< nine of ten tasks take no longer
    double certainty = 0; ///< from 0 for the caller's estimate alone to 1
};

} // namespace primrosecroft
