#include "core/types.h"

#include "core/error.h"

#include <charconv>

namespace primrosecroft
{

std::string toString(const task_id &task)
{
    return task.demand + '#' + std::to_string(task.index);
}

task_id taskFromString(const std::string &text)
{
    const auto separator = text.rfind('#');
    if (separator == std::string::npos) {
        throw error("read task id", "", "expected key#index, got '" + text + "'");
    }
    task_id task {text.substr(0, separator), 0};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + separator + 1, end, task.index);
    if (result.ec != std::errc {} || result.ptr != end || task.index < 0) {
        throw error("read task id", "", "expected an index after '#', got '" + text + "'");
    }
    return task;
}

} // namespace primrosecroft
