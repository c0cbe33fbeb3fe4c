#pragma once

#include "cell/cell.h"

namespace primrosecroft::detail
{

/// A step whose tasks are to be placed. The pointers refer to the cell's state; none is null.
struct waiting_step
{
    job_state *job = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    const step_spec *spec = nullptr;
    std::int32_t occurrenceNumber = 0;
    std::int32_t index = 0;

    step_ref ref() const
    {
        return {job->accepted.id, occurrenceNumber, index};
    }
};

/// Returns step @p index of an occurrence of the job.
inline waiting_step waitingStepOf(job_state &job, std::int32_t occurrenceNumber, occurrence_state &occurrence,
                                  std::size_t index)
{
    return {&job,
            &occurrence,
            &occurrence.steps[index],
            &job.accepted.spec.steps[index],
            occurrenceNumber,
            static_cast<std::int32_t>(index)};
}

} // namespace primrosecroft::detail
