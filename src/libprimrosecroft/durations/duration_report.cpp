#include "durations/duration_report.h"

#include "durations/detail/time_scale.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft
{

namespace
{

using json = nlohmann::json;

double ratioAt(double position)
{
    return std::exp2(position + lowestRatio);
}

json describe(const duration_model &model, const duration_record &record)
{
    return {{"runs", record.runs},
            {"evidence", evidence(record.times)},
            {"runsSince", model.runs - record.lastRun},
            {"earlyMs", detail::timeOf(record.time.early).count()},
            {"medianMs", detail::timeOf(record.time.median).count()},
            {"lateMs", detail::timeOf(record.time.late).count()},
            {"estimateRatio",
             {{"early", ratioAt(record.ratio.early)},
              {"median", ratioAt(record.ratio.median)},
              {"late", ratioAt(record.ratio.late)}}},
            {"forecastError", record.error},
            {"estimateError", record.estimateError}};
}

} // namespace

duration_errors errorsOf(const duration_model &model)
{
    duration_errors result;
    double runs = 0;
    for (const auto &queue : std::views::values(model.queues)) {
        const auto own = static_cast<double>(queue.all.runs);
        result.forecasts += queue.all.error * own;
        result.estimates += queue.all.estimateError * own;
        runs += own;
    }
    if (runs > 0) {
        result.forecasts /= runs;
        result.estimates /= runs;
    }
    return result;
}

std::optional<std::string> describeDurations(const duration_model &model, const std::string &queue)
{
    const auto found = model.queues.find(queue);
    if (found == model.queues.end()) {
        return std::nullopt;
    }
    auto page = describe(model, found->second.all);
    page["queue"] = queue;
    page["images"] = json::array();
    for (const auto &[image, record] : found->second.images) {
        auto own = describe(model, record);
        own["image"] = image;
        page["images"].push_back(std::move(own));
    }
    return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace primrosecroft
