#pragma once

#include "jobs/job.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace primrosecroft
{

/// The payloads of the jobs whose tasks a relay has started, so that the owner sends each of them once. The oldest ones
/// are dropped when they take more than a fixed amount of memory.
class kept_payloads
{
public:
    explicit kept_payloads(std::size_t maxBytes = std::size_t {8} * 1024 * 1024);

    void keep(const job_id &job, const std::string &payload);
    std::optional<std::string> find(const job_id &job) const;

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<job_id, std::string> m_payloads;
    std::deque<job_id> m_order; ///< the oldest first
};

} // namespace primrosecroft
