#include "durations/duration_row.h"

#include "core/error.h"
#include "core/row_value.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <ranges>
#include <tuple>
#include <vector>

namespace primrosecroft
{

namespace
{

using json = nlohmann::json;

constexpr int rowVersion = 1;
constexpr double evidenceScale = 1'000;
constexpr double maxStoredEvidence = 60;
constexpr double maxStoredError = 10;
constexpr double errorScale = 1'000;
constexpr float maxWeight = 255; ///< of the fullest bin in a row
constexpr auto maxNumber = std::int64_t {1} << 53; ///< of runs
constexpr std::size_t entryOverhead = 40; ///< bound on what a record's entry takes besides its name and sketches

/// A sketch is stored as the evidence that it holds, and the bins that hold some of it with their weights.
json toRow(const duration_sketch &sketch)
{
    const auto largest = std::ranges::max(sketch.bins);
    json::binary_t::container_type bins;
    for (std::size_t bin = 0; largest > 0 && bin < duration_sketch::binCount; ++bin) {
        const auto weight = static_cast<std::uint8_t>(std::lround(sketch.bins[bin] / largest * maxWeight));
        if (weight > 0) {
            bins.push_back(static_cast<std::uint8_t>(bin));
            bins.push_back(weight);
        }
    }
    return json::array({std::lround(evidence(sketch) * evidenceScale), json::binary(std::move(bins))});
}

duration_sketch sketchFrom(const json &row)
{
    constexpr auto maxEvidence = static_cast<std::int64_t>(maxStoredEvidence * evidenceScale);
    const auto held = static_cast<double>(rowNumber<std::int64_t>(row.at(0), 0, maxEvidence)) / evidenceScale;
    const auto &bins = row.at(1).get_binary();
    duration_sketch sketch;
    for (std::size_t index = 0; index + 1 < bins.size(); index += 2) {
        if (bins[index] >= duration_sketch::binCount) {
            throw error("decode durations row", "", "a bin is out of range");
        }
        const auto weight = static_cast<float>(bins[index + 1]);
        sketch.bins[bins[index]] = weight;
        sketch.total += weight;
    }
    for (auto &bin : sketch.bins) {
        bin = sketch.total > 0 ? static_cast<float>(bin / sketch.total * held) : 0;
    }
    sketch.total = sketch.total > 0 ? static_cast<float>(held) : 0;
    return sketch;
}

json toRow(const duration_record &record)
{
    return json::array({record.runs, record.lastRun, std::lround(record.error * errorScale),
                        std::lround(record.estimateError * errorScale), toRow(record.times), toRow(record.ratios)});
}

void readRecord(const json &row, duration_record &record)
{
    constexpr auto maxErrorNumber = static_cast<std::int64_t>(maxStoredError * errorScale);
    const auto errorFrom = [](const json &source) {
        return static_cast<double>(rowNumber<std::int64_t>(source, 0, maxErrorNumber)) / errorScale;
    };
    record.runs = rowNumber<std::int64_t>(row.at(0), 0, maxNumber);
    record.lastRun = rowNumber<std::int64_t>(row.at(1), 0, maxNumber);
    record.error = errorFrom(row.at(2));
    record.estimateError = errorFrom(row.at(3));
    record.times = sketchFrom(row.at(4));
    record.ratios = sketchFrom(row.at(5));
    updateQuantiles(record);
}

/// A record with its names; the image is empty in that of a queue.
struct named_record
{
    const std::string *queue = nullptr;
    const std::string *image = nullptr;
    const duration_record *record = nullptr;
};

/// All records, the one that learned last first. A queue comes before its images.
std::vector<named_record> recordsByAge(const duration_model &model)
{
    static const std::string noImage;
    std::vector<named_record> result;
    for (const auto &[name, queue] : model.queues) {
        result.push_back({&name, &noImage, &queue.all});
        for (const auto &each : queue.images) {
            result.push_back({&name, &each.first, &each.second});
        }
    }
    std::ranges::sort(result, [](const named_record &left, const named_record &right) {
        return std::tuple(right.record->lastRun, !left.image->empty())
            < std::tuple(left.record->lastRun, !right.image->empty());
    });
    return result;
}

} // namespace

row_place durationsPlace()
{
    return {cellTable, shardPartition, "durations"};
}

std::string encodeDurations(const duration_model &model)
{
    json row = json::object();
    row["v"] = rowVersion;
    auto &records = row["r"] = json::array();
    std::size_t bytes = entryOverhead;
    for (const auto &each : recordsByAge(model)) {
        auto encoded = toRow(*each.record);
        bytes += json::to_cbor(encoded).size() + each.queue->size() + each.image->size() + entryOverhead;
        if (bytes > maxDurationRowBytes) {
            break;
        }
        records.push_back(json::array({*each.queue, *each.image, std::move(encoded)}));
    }
    std::string result;
    json::to_cbor(row, result);
    return result;
}

duration_model decodeDurations(const std::string &row)
{
    try {
        const auto parsed = json::from_cbor(row);
        if (const auto version = rowValue<std::int64_t>(parsed.at("v")); version != rowVersion) {
            throw error("decode durations row", "", "it has version " + std::to_string(version));
        }
        duration_model model;
        for (const auto &each : parsed.at("r") | std::views::reverse) { // the oldest first, as they were added
            auto &record = recordOf(model, rowValue<std::string>(each.at(0)), rowValue<std::string>(each.at(1)));
            readRecord(each.at(2), record);
            model.runs = std::max(model.runs, record.lastRun);
        }
        return model;
    } catch (const json::exception &fault) {
        throw error("decode durations row", "", fault.what());
    }
}

} // namespace primrosecroft
