#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

class checked_node;

/// Kinds of work, each placed by its own rules.
enum class demand_kind
{
    service, ///< tasks run until cancelled; a lost task is started again
    batch, ///< each task runs to its end once
    gang, ///< all tasks start together or none does
};

enum class demand_priority
{
    normal,
    urgent,
};

/// What becomes of a demand whose failure domain is out of touch.
enum class partition_preference
{
    stay, ///< keeps running behind the cut
    move, ///< stops there, and starts in another failure domain after the stated time
};

/**
 * What a caller asks to have run. Sizes are those of one task; the declared run
 * time orders work and is never trusted to end it.
 */
struct demand_spec
{
    demand_kind kind = demand_kind::batch;
    demand_priority priority = demand_priority::normal;
    partition_preference onPartition = partition_preference::stay;
    std::string team;
    std::int32_t tasks = 1;
    resources size;
    std::chrono::milliseconds declaredRunTime {0};
    bool repeatable = true;
    std::optional<failure_domain_id> failureDomain;

    friend bool operator==(const demand_spec &, const demand_spec &) = default;
};

inline constexpr std::int32_t maxTasksPerDemand = 10'000;

/// Reads a demand with checks. Throws error naming the key and what was expected.
demand_spec readDemand(const checked_node &node);

/// Canonical JSON text; equal demands give equal text.
std::string toJson(const demand_spec &spec);

/// Inverse of toJson for text that this process or a peer wrote.
demand_spec demandFromJson(const std::string &text);

std::string toString(demand_kind kind);

} // namespace primrosecroft
