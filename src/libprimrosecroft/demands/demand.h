#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

class checked_node;

/// Kind of work of a demand. Each kind is placed by its own rules.
enum class demand_kind
{
    service, ///< tasks run until cancelled; a lost task is started again
    batch, ///< each task runs to its end once
    gang, ///< either all tasks start together or none starts
};

enum class demand_priority
{
    normal,
    urgent,
};

/// Where a demand's tasks may run, which decides what happens to them if a network partition separates their failure
/// domain from the others.
enum class partition_preference
{
    stay, ///< only in the demand's failure domain, also while it is separated
    move, ///< in any failure domain: separated tasks start in another one once their leases have expired
};

/// A demand as a caller submits it.
struct demand_spec
{
    demand_kind kind = demand_kind::batch;
    demand_priority priority = demand_priority::normal;
    partition_preference onPartition = partition_preference::stay;
    std::string team;
    std::int32_t tasks = 1;
    resources size; ///< of one task
    std::chrono::milliseconds declaredRunTime {0}; ///< only for ordering work; no task is ended because of it
    bool isRepeatable = true; ///< false: a task that may have begun is never started again
    std::optional<failure_domain_id> failureDomain; ///< std::nullopt: chosen by the service

    friend bool operator==(const demand_spec &, const demand_spec &) = default;
};

inline constexpr std::int32_t maxTasksPerDemand = 10'000;

/// Reads and checks a demand. Throws error naming the key and what was expected.
demand_spec readDemand(const checked_node &node);

/// Returns canonical JSON text: equal demands give equal text.
std::string toJson(const demand_spec &spec);

/// Parses text that toJson wrote. Doesn't check values; throws a nlohmann::json exception if the text has another form.
demand_spec demandFromJson(const std::string &text);

std::string toString(demand_kind kind);

} // namespace primrosecroft
