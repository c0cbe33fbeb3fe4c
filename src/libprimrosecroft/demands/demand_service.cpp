#include "demands/demand_service.h"

#include "core/clock.h"
#include "core/error.h"
#include "observability/log_text.h"
#include "observability/problem.h"
#include "settings/checked_node.h"

#include <algorithm>
#include <glib.h>
#include <glog/logging.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxKeyLength = 128;
constexpr auto cancelRetryDelay = 250ms;
constexpr std::size_t maxUnresolvedKeys = 1'024;
constexpr auto storeRetryAfter = 2s;
constexpr int maxCancelAttempts = 5;
constexpr std::size_t demandsPerPage = 500;
constexpr std::string_view demandsPath = "/v1/demands";

std::string demandPath(const demand_key &key)
{
    return std::string(demandsPath) + '/' + key;
}

http_response acceptedResponse(const demand_row &row)
{
    return jsonResponse(
        statusAccepted,
        nlohmann::json {{"outcome", "accepted"}, {"key", row.key}, {"home", row.home}, {"askAt", demandPath(row.key)}}
            .dump());
}

/// Returns std::nullopt, and logs it, if the row can't be decoded.
std::optional<demand_row> decodeIfReadable(const store_row &row)
{
    try {
        return rowFromJson(row.value);
    } catch (const error &fault) {
        LOG(ERROR) << "demands: unreadable row, key=" << logText(row.place.key) << " reason=" << logText(fault.what());
        return std::nullopt;
    }
}

/// Outcome of an ended demand in answers to callers.
std::string outcomeOf(const ended_job &ended)
{
    if (ended.isOutcomeUnknown) {
        return "unknown"; // a task that must not be repeated was lost, and may have done its work
    }
    return ended.status == job_status::complete ? "done" : toString(ended.status);
}

} // namespace

std::optional<failure_domain_id> chooseHome(const planning_sheet &sheet, const demand_spec &spec,
                                            const failure_domain_id &own)
{
    std::vector<failure_domain_id> candidates;
    if (spec.failureDomain) {
        candidates.push_back(*spec.failureDomain);
    } else {
        candidates.push_back(own);
        std::ranges::copy(sheet.regions | std::views::keys, std::back_inserter(candidates));
    }
    const auto found = std::ranges::find_if(candidates, [&](const failure_domain_id &domain) {
        return sheet.regions.contains(domain) && hasCapacityFor(sheet, spec, domain);
    });
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

namespace
{

/// Home of a sheet's demand. All processes with the same sheet choose the same one, since the choice starts at a
/// failure domain that is derived from the key instead of the process's own.
std::optional<failure_domain_id> sheetDemandHome(const planning_sheet &sheet, const demand_key &key,
                                                 const demand_spec &spec)
{
    if (sheet.regions.empty()) {
        return std::nullopt;
    }
    const auto offset = g_str_hash(key.c_str()) % sheet.regions.size();
    return chooseHome(sheet, spec, std::next(sheet.regions.begin(), static_cast<std::ptrdiff_t>(offset))->first);
}

} // namespace

struct demand_service::submission
{
    std::shared_ptr<http_request> request;
    acceptance_state state;
    timer retryTimer;
};

struct demand_service::cancellation
{
    std::shared_ptr<http_request> request;
    demand_key key;
    int attemptsLeft = maxCancelAttempts;
    bool mayHaveTakenEffect = false; ///< a commit of the cancellation row got no answer
    timer retryTimer;
};

demand_service::demand_service(guarded_store &rows, metrics &measures, demand_links links, demand_settings settings)
    : m_store(rows)
    , m_measures(measures)
    , m_links(std::move(links))
    , m_settings(std::move(settings))
{
}

std::string demand_service::stateOf(const stored_demand &found)
{
    if (found.ended) {
        return outcomeOf(*found.ended);
    }
    return found.isCancelled ? "cancelling" : "accepted";
}

/// The state of the demand in the store and, if @p tasks holds the owner's report, where its tasks run.
http_response demand_service::queryResponse(const stored_demand &found,
                                            const std::optional<std::vector<task_report>> &tasks)
{
    nlohmann::json body {{"outcome", found.ended ? outcomeOf(*found.ended) : "accepted"},
                         {"state", stateOf(found)},
                         {"key", found.row.key},
                         {"home", found.row.home},
                         {"job", jobOfDemand(found.row.key)},
                         {"demand", nlohmann::json::parse(toJson(found.row.spec))}};
    if (tasks) {
        body["tasks"] = nlohmann::json::array();
        for (const auto &task : *tasks) {
            body["tasks"].push_back({{"index", task.index}, {"state", task.state}, {"worker", task.worker}});
        }
    }
    return jsonResponse(statusOk, body.dump());
}

void demand_service::serve(const std::shared_ptr<http_request> &request)
{
    const auto path = request->path();
    if (path == demandsPath) {
        if (request->method() == "GET") {
            list(request);
        } else if (request->method() == "POST") {
            submit(request);
        } else {
            refuse(request, statusMethodNotAllowed, "read request", "expected GET or POST", std::nullopt);
        }
        return;
    }
    const auto key = path.substr(demandsPath.size() + 1);
    if (request->method() == "GET") {
        query(request, key);
    } else if (request->method() == "DELETE") {
        const auto entry = std::make_shared<cancellation>();
        entry->request = request;
        entry->key = key;
        cancel(entry);
    } else {
        refuse(request, statusMethodNotAllowed, "read request", "expected GET or DELETE", std::nullopt);
    }
}

void demand_service::refuse(const std::shared_ptr<http_request> &request, unsigned status, const std::string &step,
                            const std::string &detail, std::optional<std::chrono::milliseconds> retryAfter)
{
    m_measures.count("primrosecroft_demands_refused_total", "step", step);
    request->answer(toResponse({status, request_outcome::refused, step, "", detail, retryAfter, ""}));
}

void demand_service::refuseWithoutSheet(const std::shared_ptr<http_request> &request)
{
    refuse(request, statusUnavailable, "find configuration", "no sheet is in force yet", storeRetryAfter);
}

void demand_service::submit(const std::shared_ptr<http_request> &request)
{
    const auto *sheet = m_links.sheet();
    if (sheet == nullptr) {
        refuseWithoutSheet(request);
        return;
    }
    const auto entry = std::make_shared<submission>();
    entry->request = request;
    entry->state.deadline = bootNow() + m_settings.acceptDeadline;
    auto &row = entry->state.row;
    try {
        const auto keyText = nlohmann::json(request->header("Idempotency-Key"))
                                 .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        row.key = checked_node::parseJson(keyText, "header Idempotency-Key").name(maxKeyLength);
        row.spec = readDemand(checked_node::parseJson(request->body(), "request"));
    } catch (const error &fault) {
        refuse(request, statusBadRequest, "read request", fault.what(), std::nullopt);
        return;
    }
    entry->state.mayExist = std::ranges::find(m_unresolved, row.key) != m_unresolved.end();
    const auto home = chooseHome(*sheet, row.spec, m_settings.failureDomain);
    if (!home) {
        refuseUnlessAccepted(entry);
        return;
    }
    row.home = *home;
    carryOut(entry, send_commit {});
}

/// Refuses a demand that no failure domain could hold. If its row exists, it was accepted under an earlier sheet, and
/// is answered as accepted. If the row can't be read, the caller may ask again.
void demand_service::refuseUnlessAccepted(const std::shared_ptr<submission> &entry)
{
    readStored(entry->state.row.key, [this, entry](const demand_result &found) {
        if (!found) {
            carryOut(entry,
                     entry->state.mayExist ? acceptance_action(answer_unknown {})
                                           : acceptance_action(answer_not_run {}));
        } else if (*found && (*found)->row.spec == entry->state.row.spec) {
            entry->state.row = (*found)->row;
            carryOut(entry, answer_accepted {});
        } else {
            refuse(entry->request, statusUnprocessable, "choose failure domain", "no failure domain could ever hold it",
                   std::nullopt);
        }
    });
}

void demand_service::advance(const std::shared_ptr<submission> &entry, const acceptance_message &message)
{
    carryOut(entry, step(entry->state, message, bootNow()));
}

void demand_service::carryOut(const std::shared_ptr<submission> &entry, const acceptance_action &action)
{
    struct visitor
    {
        demand_service &self;
        const std::shared_ptr<submission> &entry;

        void operator()(const send_commit & /*each*/) const
        {
            self.commit(entry);
        }

        void operator()(const read_key & /*each*/) const
        {
            self.readStored(entry->state.row.key, [&service = self, entry = entry](const demand_result &found) {
                key_read message;
                if (found) {
                    message.row = *found ? std::optional((*found)->row) : std::nullopt;
                }
                service.advance(entry, message);
            });
        }

        void operator()(const wait_before_retry &each) const
        {
            // The submission owns the timer, whose function owns the submission. This cycle ends when the timer fires,
            // since it releases its function then.
            entry->retryTimer.once(each.pause,
                                   [&service = self, entry = entry] { service.advance(entry, retry_due {}); });
        }

        void operator()(const answer_accepted & /*each*/) const
        {
            self.answerAccepted(entry);
        }

        void operator()(const answer_conflict & /*each*/) const
        {
            self.refuse(entry->request, statusConflict, "commit demand", "the key belongs to another demand",
                        std::nullopt);
        }

        void operator()(const answer_not_run & /*each*/) const
        {
            self.refuse(entry->request, statusUnavailable, "commit demand", "the store is unreachable",
                        storeRetryAfter);
        }

        void operator()(const answer_unknown & /*each*/) const
        {
            self.answerUnknown(entry);
        }
    };
    std::visit(visitor {*this, entry}, action);
}

void demand_service::commit(const std::shared_ptr<submission> &entry)
{
    const auto &row = entry->state.row;
    m_store.commit(
        demandAcceptance(row, makeDemandJob(row, m_settings.pool, m_links.storeTime())),
        [this, entry](const commit_result &result) { advance(entry, acceptance_answered {result.outcome}); });
}

void demand_service::answerAccepted(const std::shared_ptr<submission> &entry)
{
    const auto &row = entry->state.row;
    std::erase(m_unresolved, row.key);
    m_measures.count("primrosecroft_demands_accepted_total", "kind", toString(row.spec.kind));
    entry->request->answer(acceptedResponse(row));
}

/// Keeps the key, so that a further request with it isn't answered "not run" by this process while the commit may still
/// take effect.
void demand_service::answerUnknown(const std::shared_ptr<submission> &entry)
{
    const auto &key = entry->state.row.key;
    std::erase(m_unresolved, key);
    m_unresolved.push_back(key);
    if (m_unresolved.size() > maxUnresolvedKeys) {
        m_unresolved.pop_front();
    }
    m_measures.count("primrosecroft_demands_unknown_total", "step", "commit demand");
    entry->request->answer(toResponse({statusUnavailable, request_outcome::unknown, "commit demand", "platform",
                                       "the store's answer was lost", storeRetryAfter, demandPath(key)}));
}

/// Reads a demand and the state of its job. A row that can't be decoded counts as a failed read.
void demand_service::readStored(const demand_key &key, std::function<void(const demand_result &)> done)
{
    m_store.readRow(demandPlace(key), [this, done = std::move(done)](const row_result &result) {
        if (!result) {
            done(std::nullopt);
            return;
        }
        if (!*result) {
            done(demand_result {std::optional<stored_demand> {}});
            return;
        }
        if (const auto row = decodeIfReadable(**result)) {
            readLive(*row, done);
        } else {
            done(std::nullopt);
        }
    });
}

void demand_service::readLive(const demand_row &row, std::function<void(const demand_result &)> done)
{
    const auto job = jobOfDemand(row.key);
    m_store.readAll(liveRows(job), [this, row, job, done = std::move(done)](const rows_result &rows) {
        if (!rows) {
            done(std::nullopt);
            return;
        }
        stored_demand found;
        found.row = row;
        for (const auto &each : *rows) {
            if (each.place == jobPlace(job)) {
                found.liveVersion = each.version;
            }
            found.isCancelled = found.isCancelled || each.place == cancelPlace(job);
        }
        if (found.liveVersion != 0) {
            done(demand_result {found});
        } else {
            readEnded(found, done);
        }
    });
}

void demand_service::readEnded(stored_demand found, std::function<void(const demand_result &)> done)
{
    const auto place = endedPlace(jobOfDemand(found.row.key));
    m_store.readRow(place, [found = std::move(found), done = std::move(done)](const row_result &result) mutable {
        if (!result || !*result) {
            // The two reads happen at different times, so they may find the job neither live nor ended. Counts as a
            // failed read.
            done(std::nullopt);
            return;
        }
        try {
            found.ended = decodeEnded((*result)->value);
            done(demand_result {found});
        } catch (const error &fault) {
            LOG(ERROR) << "demands: unreadable row of an ended job, key=" << found.row.key
                       << " reason=" << fault.what();
            done(std::nullopt);
        }
    });
}

void demand_service::query(const std::shared_ptr<http_request> &request, const demand_key &key)
{
    readStored(key, [this, request, key](const demand_result &result) {
        if (!result) {
            request->answer(toResponse({statusUnavailable, request_outcome::unknown, "read demand", "platform",
                                        "the store is unreachable", storeRetryAfter, demandPath(key)}));
            return;
        }
        if (!*result) {
            request->answer(toResponse({statusNotFound, request_outcome::unknown, "read demand", "",
                                        "no demand is recorded under this key", std::nullopt, demandPath(key)}));
            return;
        }
        const auto &found = **result;
        if (found.ended) {
            request->answer(queryResponse(found, std::nullopt));
            return;
        }
        m_links.askOwner(jobOfDemand(key), [request, found](const std::optional<std::vector<task_report>> &tasks) {
            request->answer(queryResponse(found, tasks));
        });
    });
}

/// Answers with one page of a failure domain's demands that haven't ended, sorted by key. Query parameters: `home` for
/// the failure domain, by default this process's; `after` for the last key of the page before.
void demand_service::list(const std::shared_ptr<http_request> &request)
{
    const auto home = request->query("home").empty() ? m_settings.failureDomain : request->query("home");
    const auto *sheet = m_links.sheet();
    if (sheet == nullptr) {
        refuseWithoutSheet(request);
        return;
    }
    if (!sheet->regions.contains(home)) {
        refuse(request, statusNotFound, "list demands", "no such failure domain in the sheet in force", std::nullopt);
        return;
    }
    m_store.readAll(liveDemands(), [this, request, home](const rows_result &rows) {
        if (!rows) {
            refuse(request, statusUnavailable, "list demands", "the store is unreachable", storeRetryAfter);
            return;
        }
        request->answer(listResponse(*rows, home, request->query("after")));
    });
}

http_response demand_service::listResponse(const std::vector<store_row> &rows, const failure_domain_id &home,
                                           const demand_key &after)
{
    std::map<demand_key, demand_row> demands;
    std::set<job_id> cancelled;
    for (const auto &each : rows) {
        const auto live = parseLiveKey(each.place.key);
        if (live && live->kind == live_row::cancel) {
            cancelled.insert(live->id);
        }
        if (!live || live->kind != live_row::job) {
            continue;
        }
        try {
            auto row = rowFromJson(decodeJob(each.value).spec.payload);
            if (row.home == home && row.key > after) {
                demands.emplace(row.key, std::move(row));
            }
        } catch (const error &fault) {
            LOG(ERROR) << "demands: unreadable job, id=" << live->id << " reason=" << fault.what();
        }
    }
    auto list = nlohmann::json::array();
    for (const auto &[key, row] : demands | std::views::take(demandsPerPage)) {
        list.push_back({{"key", key},
                        {"home", row.home},
                        {"state", cancelled.contains(jobOfDemand(key)) ? "cancelling" : "accepted"},
                        {"kind", toString(row.spec.kind)},
                        {"team", row.spec.team},
                        {"tasks", row.spec.tasks}});
    }
    nlohmann::json body {{"demands", list}};
    if (demands.size() > demandsPerPage) {
        body["next"] = list.back().at("key");
    }
    return jsonResponse(statusOk, body.dump());
}

void demand_service::cancel(const std::shared_ptr<cancellation> &entry)
{
    readStored(entry->key, [this, entry](const demand_result &result) {
        if (!result) {
            giveUpCancel(entry);
            return;
        }
        if (!*result) {
            refuse(entry->request, statusNotFound, "cancel demand", "no demand is recorded under this key",
                   std::nullopt);
            return;
        }
        const auto &found = **result;
        if (found.isCancelled || found.ended) {
            entry->request->answer(queryResponse(found, std::nullopt));
            return;
        }
        commitCancel(entry, found);
    });
}

void demand_service::commitCancel(const std::shared_ptr<cancellation> &entry, const stored_demand &found)
{
    const auto job = jobOfDemand(entry->key);
    // Conditional on the row of the live job, so that no cancellation is stored for a job that has ended in the
    // meantime.
    const store_transaction cancelTransaction {
        {{jobPlace(job), found.liveVersion}}, {{cancelPlace(job), "1"}, {inboxPlace(job), "1"}}, {}};
    m_store.commit(cancelTransaction, [this, entry, found](const commit_result &result) {
        if (result.outcome == store_outcome::done) {
            auto cancelled = found;
            cancelled.isCancelled = true;
            entry->request->answer(queryResponse(cancelled, std::nullopt));
            return;
        }
        entry->mayHaveTakenEffect |= result.outcome == store_outcome::lost;
        if (result.outcome == store_outcome::refused || --entry->attemptsLeft <= 0) {
            giveUpCancel(entry);
            return;
        }
        entry->retryTimer.once(cancelRetryDelay, [this, entry] { cancel(entry); });
    });
}

/// Answers "not run" only if no commit of the cancellation row may have taken effect, otherwise that the outcome is
/// unknown.
void demand_service::giveUpCancel(const std::shared_ptr<cancellation> &entry)
{
    if (!entry->mayHaveTakenEffect) {
        refuse(entry->request, statusUnavailable, "cancel demand", "the store is unreachable", storeRetryAfter);
        return;
    }
    m_measures.count("primrosecroft_demands_unknown_total", "step", "cancel demand");
    entry->request->answer(toResponse({statusUnavailable, request_outcome::unknown, "cancel demand", "platform",
                                       "the store's answer was lost", storeRetryAfter, demandPath(entry->key)}));
}

void demand_service::acceptSheetDemands()
{
    const auto *sheet = m_links.sheet();
    if (sheet == nullptr || !m_store.isReachable()) {
        return;
    }
    for (const auto &[name, spec] : sheet->demands) {
        demand_row row {sheetDemandKey(*sheet, name), {}, spec};
        const auto home = sheetDemandHome(*sheet, row.key, spec);
        const auto settled = m_settledSheetDemands.find(row.key);
        const bool isSettled = settled != m_settledSheetDemands.end() && settled->second == spec;
        if (isSettled || home != m_settings.failureDomain) {
            continue;
        }
        row.home = *home;
        acceptSheetDemand(row);
    }
}

void demand_service::acceptSheetDemand(const demand_row &row)
{
    m_store.commit(demandAcceptance(row, makeDemandJob(row, m_settings.pool, m_links.storeTime())),
                   [this, row](const commit_result &result) {
                       if (result.outcome == store_outcome::done) {
                           m_settledSheetDemands[row.key] = row.spec;
                       } else if (result.outcome == store_outcome::conflict) {
                           settleSheetDemand(row);
                       }
                   });
}

/// Called when the key of a sheet's demand is in use. The row under it shows if this demand was accepted before, or if
/// the key belongs to another demand. Without a row, the demand isn't settled and will be committed again.
void demand_service::settleSheetDemand(const demand_row &row)
{
    m_store.readRow(demandPlace(row.key), [this, row](const row_result &result) {
        const auto found = result && *result ? decodeIfReadable(**result) : std::nullopt;
        if (!found) {
            return;
        }
        m_settledSheetDemands[row.key] = row.spec;
        if (found->spec != row.spec) {
            m_measures.count("primrosecroft_demands_refused_total", "step", "accept sheet demand");
            LOG(ERROR) << "demands: a sheet's demand was refused because its key belongs to another demand, key="
                       << logText(row.key);
        }
    });
}

} // namespace primrosecroft
