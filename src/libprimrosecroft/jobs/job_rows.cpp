#include "jobs/job_rows.h"

#include "core/error.h"
#include "core/parse_integer.h"
#include "core/row_value.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft
{

namespace
{

using json = nlohmann::json;

constexpr int bitsPerByte = 8;
constexpr auto firstFinalStatus = job_status::complete; ///< a job ends with this status or a later one
constexpr auto lastFinalStatus = job_status::cancelled;
constexpr std::int64_t maxProgressPart = 1'000; ///< more rows don't fit into one call of the store
constexpr char jobSuffix = 'j';
constexpr char cancelSuffix = 'c';
constexpr char progressSuffix = 'p';

row_place livePlace(const job_id &id, char suffix)
{
    return {jobTable, shardPartition, id + '.' + suffix};
}

/// Packs bits into bytes, the first one as the lowest bit. The last byte is filled up with zeros.
json::binary_t packBits(const std::vector<bool> &bits)
{
    std::vector<std::uint8_t> bytes((bits.size() + bitsPerByte - 1) / bitsPerByte);
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (bits[i]) {
            bytes[i / bitsPerByte] |= static_cast<std::uint8_t>(1U << (i % bitsPerByte));
        }
    }
    return json::binary_t(bytes);
}

std::vector<bool> unpackBits(const json::binary_t &bytes)
{
    std::vector<bool> bits(bytes.size() * bitsPerByte);
    for (std::size_t i = 0; i < bits.size(); ++i) {
        bits[i] = (bytes[i / bitsPerByte] >> (i % bitsPerByte) & 1U) != 0;
    }
    return bits;
}

void refuseUnless(bool isKnown, const std::string &part)
{
    if (!isKnown) {
        throw error("check progress row", "", "it names " + part + " that the job doesn't have");
    }
}

json toRow(const unsettled_loss &loss)
{
    return json::array({loss.attempt, loss.worker, loss.boot, loss.address, static_cast<int>(loss.counted),
                        loss.isTrial, loss.countsLater});
}

unsettled_loss unsettledLossFrom(const json &row)
{
    unsettled_loss loss;
    loss.attempt = rowValue<std::uint32_t>(row.at(0));
    loss.worker = rowValue<worker_id>(row.at(1));
    loss.boot = rowValue<worker_boot>(row.at(2));
    loss.address = rowValue<std::string>(row.at(3));
    loss.counted = static_cast<loss_count>(rowNumber<int>(row.at(4), 0, static_cast<int>(loss_count::later)));
    loss.isTrial = rowValue<bool>(row.at(5));
    loss.countsLater = rowValue<bool>(row.at(6));
    return loss;
}

json toRow(const lost_workers &lost, const std::vector<unsettled_loss> &unsettled)
{
    auto row = json::array({lost.soon, lost.alone, lost.later, lost.proven});
    if (!unsettled.empty()) {
        auto &losses = row.emplace_back(json::array()); // earlier versions read the first four elements only
        std::ranges::transform(unsettled, std::back_inserter(losses),
                               [](const unsettled_loss &loss) { return toRow(loss); });
    }
    return row;
}

std::vector<unsettled_loss> unsettledLossesFrom(const json &row)
{
    std::vector<unsettled_loss> losses;
    if (row.size() > 4) {
        std::ranges::transform(row.at(4), std::back_inserter(losses), unsettledLossFrom);
    }
    return losses;
}

lost_workers lostWorkersFrom(const json &row)
{
    lost_workers lost {row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>()};
    // Rows of earlier versions don't tell, but a trial has failed only with a worker that had surely ended.
    lost.proven = row.size() > 3 ? row.at(3).get<std::uint32_t>() : lost.alone;
    return lost;
}

json toRow(const step_progress &step)
{
    json row = json::object();
    if (std::ranges::find(step.done, true) != step.done.end()) {
        row["d"] = packBits(step.done);
    }
    if (!step.failedGangs.empty()) {
        row["g"] = step.failedGangs;
    }
    if (step.attemptLimit != 0) {
        row["l"] = step.attemptLimit;
    }
    if (step.gangLost != lost_workers {} || !step.gangUnsettled.empty()) {
        row["w"] = toRow(step.gangLost, step.gangUnsettled);
    }
    for (const auto &[index, task] : step.tasks) {
        auto &own = row["t"].emplace_back(json::array({index, task.failedAttempts, task.checkpoint}));
        const bool hasLosses = task.lost != lost_workers {} || !task.unsettled.empty();
        if (task.mayHaveBegun || hasLosses) {
            own.push_back(task.mayHaveBegun);
        }
        if (hasLosses) {
            own.push_back(toRow(task.lost, task.unsettled));
        }
    }
    return row;
}

step_progress stepFrom(const json &row)
{
    step_progress step;
    if (const auto found = row.find("d"); found != row.end()) {
        step.done = unpackBits(found->get_binary());
    }
    if (const auto found = row.find("g"); found != row.end()) {
        step.failedGangs = rowValue<std::set<std::uint32_t>>(*found);
    }
    if (const auto found = row.find("l"); found != row.end()) {
        step.attemptLimit = found->get<std::uint32_t>();
    }
    if (const auto found = row.find("w"); found != row.end()) {
        step.gangLost = lostWorkersFrom(*found);
        step.gangUnsettled = unsettledLossesFrom(*found);
    }
    if (const auto found = row.find("t"); found != row.end()) {
        for (const auto &task : *found) {
            // A fourth element stands for mayHaveBegun and a fifth one for lost workers; both are stored only if
            // needed.
            const auto index = rowNumber<std::int32_t>(task.at(0), 0, maxTasksPerStep - 1);
            step.tasks[index] = {rowValue<std::set<std::uint32_t>>(task.at(1)), rowValue<std::string>(task.at(2)),
                                 task.size() > 3 && rowValue<bool>(task.at(3)),
                                 task.size() > 4 ? lostWorkersFrom(task.at(4)) : lost_workers {},
                                 task.size() > 4 ? unsettledLossesFrom(task.at(4)) : std::vector<unsettled_loss> {}};
        }
    }
    return step;
}

} // namespace

row_place jobPlace(const job_id &id)
{
    return livePlace(id, jobSuffix);
}

row_place cancelPlace(const job_id &id)
{
    return livePlace(id, cancelSuffix);
}

row_place progressPlace(const job_id &id, std::int32_t part)
{
    auto place = livePlace(id, progressSuffix);
    place.key += part > 0 ? std::to_string(part) : "";
    return place;
}

row_place endedPlace(const job_id &id)
{
    return {endedTable, shardPartition, id};
}

row_place inboxPlace(const job_id &id)
{
    return {inboxTable, shardPartition, id};
}

row_place commitSequencePlace()
{
    return {cellTable, shardPartition, "chain"};
}

row_place rulesPlace()
{
    return {cellTable, shardPartition, "rules"};
}

row_place rulesNoticePlace()
{
    return {inboxTable, shardPartition, "!rules"}; // no id of a job begins with '!'
}

row_place contactedWorkersPlace()
{
    return {cellTable, shardPartition, "workers"};
}

std::string encodeContactedWorkers(const std::set<worker_id> &workers)
{
    std::string result;
    json::to_cbor(json(workers), result);
    return result;
}

std::set<worker_id> decodeContactedWorkers(const std::string &row)
{
    try {
        return rowValue<std::set<worker_id>>(json::from_cbor(row));
    } catch (const json::exception &fault) {
        throw error("decode contacted workers", "", fault.what());
    }
}

store_transaction acceptance(const job_id &id, const std::string &row)
{
    return {
        {{jobPlace(id), row_condition::absent}, {endedPlace(id), row_condition::absent}}, {{jobPlace(id), row}}, {}};
}

row_place acceptanceBarPlace()
{
    return {cellTable, shardPartition, "turning-away"};
}

store_transaction directAcceptance(const job_id &id, const std::string &row)
{
    auto result = acceptance(id, row);
    result.conditions.push_back({acceptanceBarPlace(), row_condition::absent});
    return result;
}

store_transaction rejection(const job_id &id)
{
    return {{{jobPlace(id), row_condition::absent}, {endedPlace(id), row_condition::absent}}, {}, {}};
}

row_range liveRows(const job_id &id)
{
    return {jobTable, shardPartition, id + '.', id + '/'}; // '/' follows '.' in the order of keys
}

std::optional<live_key> parseLiveKey(const std::string &key)
{
    const auto dot = key.rfind('.');
    if (dot == std::string::npos || dot + 2 > key.size()) {
        return std::nullopt;
    }
    const auto id = key.substr(0, dot);
    const auto suffix = key[dot + 1];
    if (dot + 2 < key.size()) {
        const auto part = parseInteger(std::string_view(key).substr(dot + 2));
        const bool isPart = suffix == progressSuffix && part && *part > 0 && *part <= maxProgressPart;
        return isPart ? std::optional(live_key {id, live_row::progress, static_cast<std::int32_t>(*part)})
                      : std::nullopt;
    }
    switch (suffix) {
    case jobSuffix:
        return live_key {id, live_row::job, 0};
    case cancelSuffix:
        return live_key {id, live_row::cancel, 0};
    case progressSuffix:
        return live_key {id, live_row::progress, 0};
    default:
        return std::nullopt;
    }
}

bool isEmpty(const job_progress &progress)
{
    return progress.complete.lastByFirst.empty() && progress.open.empty();
}

std::string encodeProgress(const job_progress &progress)
{
    json rows = json::array();
    for (const auto &[first, last] : progress.complete.lastByFirst) {
        // Earlier versions read true as one complete occurrence, and refuse a row with a number in its place.
        const auto count = first == last ? json(true) : json(last - first + 1);
        rows.push_back(json::array({first, count, json::array()}));
    }
    for (const auto &[number, occurrence] : progress.open) {
        json steps = json::array();
        for (const auto &[index, step] : occurrence.steps) {
            steps.push_back(json::array({index, toRow(step)}));
        }
        rows.push_back(json::array({number, false, std::move(steps)}));
    }
    std::string result;
    json::to_cbor(rows, result);
    return result;
}

std::vector<row_write> progressRows(const job_id &id, const std::string &progress, std::size_t maxBytes)
{
    std::vector<row_write> rows;
    std::int32_t part = 0;
    for (std::size_t from = 0; from < progress.size(); from += maxBytes) {
        rows.push_back({progressPlace(id, part++), progress.substr(from, maxBytes)});
    }
    return rows;
}

job_progress decodeProgress(const std::string &row)
{
    try {
        job_progress progress;
        for (const auto &each : rowValue<std::vector<json>>(json::from_cbor(row))) {
            const auto number = rowNumber<std::int32_t>(each.at(0), 0, maxOccurrences - 1);
            if (each.at(1).is_number()) {
                const auto count = rowNumber<std::int32_t>(each.at(1), 1, maxOccurrences - number);
                insert(progress.complete, number, number + count - 1);
                continue;
            }
            if (rowValue<bool>(each.at(1))) {
                insert(progress.complete, number, number);
                continue;
            }
            auto &occurrence = progress.open[number];
            for (const auto &step : each.at(2)) {
                occurrence.steps[rowNumber<std::int32_t>(step.at(0), 0, maxSteps - 1)] = stepFrom(step.at(1));
            }
        }
        return progress;
    } catch (const json::exception &fault) {
        throw error("decode progress row", "", fault.what());
    }
}

void checkProgress(const job_spec &spec, const job_progress &progress)
{
    refuseUnless(endOf(progress.complete) <= std::max(spec.occurrences, 1), "an occurrence");
    for (const auto &[number, occurrence] : progress.open) {
        refuseUnless(number < std::max(spec.occurrences, 1), "an occurrence");
        refuseUnless(!contains(progress.complete, number), "an open occurrence");
        for (const auto &[index, step] : occurrence.steps) {
            refuseUnless(static_cast<std::size_t>(index) < spec.steps.size(), "a step");
            const auto count = spec.steps[static_cast<std::size_t>(index)].count;
            const auto isDoneAfterLast = std::ranges::any_of(step.done | std::views::drop(count), std::identity {});
            refuseUnless(step.tasks.empty() || step.tasks.rbegin()->first < count, "a task");
            refuseUnless(!isDoneAfterLast, "a task");
        }
    }
}

std::string encodeEnded(const ended_job &job)
{
    std::string result;
    auto row = json::array({static_cast<int>(job.status), job.at.count()});
    if (job.isOutcomeUnknown) {
        row.push_back(true);
    }
    json::to_cbor(row, result);
    return result;
}

ended_job decodeEnded(const std::string &row)
{
    try {
        const auto parsed = json::from_cbor(row);
        // A third element stands for isOutcomeUnknown and is stored only if that is true.
        const auto status =
            rowNumber<int>(parsed.at(0), static_cast<int>(firstFinalStatus), static_cast<int>(lastFinalStatus));
        const auto at = rowNumber<std::int64_t>(parsed.at(1), 0, std::numeric_limits<std::int64_t>::max());
        return {static_cast<job_status>(status), std::chrono::milliseconds(at),
                parsed.size() > 2 && rowValue<bool>(parsed.at(2))};
    } catch (const json::exception &fault) {
        throw error("decode ended row", "", fault.what());
    }
}

} // namespace primrosecroft
