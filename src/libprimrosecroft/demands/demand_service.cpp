#include "demands/demand_service.h"

#include "core/error.h"
#include "observability/problem.h"
#include "settings/checked_node.h"

#include <algorithm>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t longestKey = 128;
constexpr auto cancelRetryInterval = 250ms;
constexpr std::size_t mostUnresolvedKeys = 1'024;
constexpr auto storeRetryAfter = 2s;
constexpr int mostCancelTries = 5;
constexpr std::size_t demandsPerPage = 500;
constexpr std::string_view demandsPath = "/v1/demands";

std::string demandPath(const demand_key &key)
{
    return std::string(demandsPath) + '/' + key;
}

http_answer acceptedAnswer(const demand_row &row)
{
    return jsonAnswer(
        statusAccepted,
        nlohmann::json {{"outcome", "accepted"}, {"key", row.key}, {"home", row.home}, {"askAt", demandPath(row.key)}}
            .dump());
}

std::string stateOf(const demand_row &row)
{
    if (row.outcome != demand_outcome::none) {
        return toString(row.outcome);
    }
    return row.cancelled ? "cancelling" : "accepted";
}

/// What a query is answered: the row's truth, and where tasks are when the home scheduler could be asked.
http_answer queryAnswer(const demand_row &row, const std::optional<std::vector<task_report>> &tasks)
{
    nlohmann::json body {{"outcome", row.outcome == demand_outcome::none ? "accepted" : toString(row.outcome)},
                         {"state", stateOf(row)},
                         {"key", row.key},
                         {"home", row.home},
                         {"demand", nlohmann::json::parse(toJson(row.spec))}};
    if (!row.reason.empty()) {
        body["reason"] = row.reason;
    }
    if (tasks) {
        body["tasks"] = nlohmann::json::array();
        for (const auto &task : *tasks) {
            body["tasks"].push_back({{"index", task.index}, {"state", task.state}, {"worker", task.worker}});
        }
    }
    return jsonAnswer(statusOk, body.dump());
}

bool couldHold(const planning_sheet &sheet, const demand_spec &spec, const failure_domain_id &domain)
{
    const auto workers = emptyCell(sheet, domain);
    if (!couldEverFit(workers, spec.size)) {
        return false;
    }
    if (spec.kind != demand_kind::gang) {
        return true;
    }
    std::int64_t members = 0;
    for (auto worker : workers | std::views::values) {
        while (members < spec.tasks && fits(spec.size, worker.free)) {
            worker.free -= spec.size;
            ++members;
        }
    }
    return members >= spec.tasks;
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
        return sheet.regions.contains(domain) && couldHold(sheet, spec, domain);
    });
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

struct demand_service::submission
{
    std::shared_ptr<http_request> request;
    acceptance_state state;
    timer pause;
};

struct demand_service::cancellation
{
    std::shared_ptr<http_request> request;
    demand_key key;
    int triesLeft = mostCancelTries;
    bool mayHaveTakenEffect = false;
    timer pause;
};

demand_service::demand_service(platform_client &platform, metrics &measures, demand_links links,
                               failure_domain_id ownDomain, std::chrono::milliseconds acceptDeadline)
    : m_platform(platform)
    , m_measures(measures)
    , m_links(std::move(links))
    , m_ownDomain(std::move(ownDomain))
    , m_acceptDeadline(acceptDeadline)
{
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
            refuse(request, statusNotAllowed, "read request", "expected GET or POST", std::nullopt);
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
        refuse(request, statusNotAllowed, "read request", "expected GET or DELETE", std::nullopt);
    }
}

void demand_service::refuse(const std::shared_ptr<http_request> &request, unsigned status, const std::string &step,
                            const std::string &detail, std::optional<std::chrono::milliseconds> retryAfter)
{
    m_measures.count("primrosecroft_demands_refused_total", "step", step);
    request->answer(toAnswer({status, request_outcome::refused, step, "", detail, retryAfter, ""}));
}

void demand_service::submit(const std::shared_ptr<http_request> &request)
{
    const auto *sheet = m_links.sheet();
    if (sheet == nullptr) {
        refuse(request, statusUnavailable, "find configuration", "no sheet is in force yet", storeRetryAfter);
        return;
    }
    const auto entry = std::make_shared<submission>();
    entry->request = request;
    entry->state.deadline = std::chrono::steady_clock::now() + m_acceptDeadline;
    auto &row = entry->state.row;
    try {
        const auto keyText = nlohmann::json(request->header("Idempotency-Key"))
                                 .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        row.key = checked_node::parseJson(keyText, "header Idempotency-Key").name(longestKey);
        row.spec = readDemand(checked_node::parseJson(request->body(), "request"));
    } catch (const error &fault) {
        refuse(request, statusBadRequest, "read request", fault.what(), std::nullopt);
        return;
    }
    entry->state.mayExist = std::ranges::find(m_unresolved, row.key) != m_unresolved.end();
    const auto home = chooseHome(*sheet, row.spec, m_ownDomain);
    if (!home) {
        refuseUnlessAccepted(entry);
        return;
    }
    row.home = *home;
    carryOut(entry, send_commit {});
}

/// A demand that fits nowhere now may have been accepted under an earlier sheet.
void demand_service::refuseUnlessAccepted(const std::shared_ptr<submission> &entry)
{
    readDemandRow(entry->state.row.key, [this, entry](const row_reading &found) {
        if (found && *found && (*found)->row.spec == entry->state.row.spec) {
            entry->state.row = (*found)->row;
            carryOut(entry, answer_accepted {});
        } else if (!found && entry->state.mayExist) {
            carryOut(entry, answer_unknown {});
        } else {
            refuse(entry->request, statusUnprocessable, "choose failure domain", "no failure domain could ever hold it",
                   std::nullopt);
        }
    });
}

void demand_service::settle(const std::shared_ptr<submission> &entry, const acceptance_message &message)
{
    carryOut(entry, step(entry->state, message, std::chrono::steady_clock::now()));
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
            self.readDemandRow(entry->state.row.key, [&service = self, entry = entry](const row_reading &found) {
                key_read message;
                if (found) {
                    message.row = *found ? std::optional((*found)->row) : std::nullopt;
                }
                service.settle(entry, message);
            });
        }

        void operator()(const wait_before_retry &each) const
        {
            // The submission owns the timer, so its action must not own the submission for good.
            entry->pause.once(each.pause, [&service = self, entry = entry] { service.settle(entry, retry_due {}); });
        }

        void operator()(const answer_accepted & /*each*/) const
        {
            self.accepted(entry);
        }

        void operator()(const answer_conflict & /*each*/) const
        {
            self.refuse(entry->request, statusConflict, "commit demand", "the key names another demand", std::nullopt);
        }

        void operator()(const answer_not_run & /*each*/) const
        {
            self.refuse(entry->request, statusUnavailable, "commit demand", "the store is out of reach",
                        storeRetryAfter);
        }

        void operator()(const answer_unknown & /*each*/) const
        {
            self.unresolved(entry);
        }
    };
    std::visit(visitor {*this, entry}, action);
}

void demand_service::commit(const std::shared_ptr<submission> &entry)
{
    const auto &row = entry->state.row;
    table_transaction transaction {{demandRowKey(row.key), table_write::noRow, toJson(row)},
                                   {activeRowKey(row.home, row.key), table_write::anyVersion, ""}};
    m_platform.commit(std::move(transaction),
                      [this, entry](const commit_result &result) { settle(entry, commit_answered {result.status}); });
}

void demand_service::accepted(const std::shared_ptr<submission> &entry)
{
    const auto &row = entry->state.row;
    std::erase(m_unresolved, row.key);
    m_measures.count("primrosecroft_demands_accepted_total", "kind", toString(row.spec.kind));
    entry->request->answer(acceptedAnswer(row));
    m_links.notify(row.home, row.key);
}

/// Remembers the key: until it is settled, another request with it isn't told "not run" from here.
void demand_service::unresolved(const std::shared_ptr<submission> &entry)
{
    const auto &key = entry->state.row.key;
    std::erase(m_unresolved, key);
    m_unresolved.push_back(key);
    if (m_unresolved.size() > mostUnresolvedKeys) {
        m_unresolved.pop_front();
    }
    m_measures.count("primrosecroft_demands_unknown_total", "step", "commit demand");
    entry->request->answer(toAnswer({statusUnavailable, request_outcome::unknown, "commit demand", "platform",
                                     "the answer of the store was lost", storeRetryAfter, demandPath(key)}));
}

/// Reads the row under @p key; a row that can't be understood counts as not read.
void demand_service::readDemandRow(const demand_key &key, std::function<void(const row_reading &)> done)
{
    m_platform.read(demandRowKey(key), [key, done = std::move(done)](const row_result &result) {
        if (!result) {
            done(std::nullopt);
            return;
        }
        if (!*result) {
            done(row_reading {std::optional<versioned_row> {}});
            return;
        }
        try {
            done(row_reading {versioned_row {rowFromJson((*result)->value), (*result)->version}});
        } catch (const error &fault) {
            LOG(ERROR) << "demands: unreadable row, key=" << key << " reason=" << fault.what();
            done(std::nullopt);
        }
    });
}

void demand_service::query(const std::shared_ptr<http_request> &request, const demand_key &key)
{
    readDemandRow(key, [this, request, key](const row_reading &result) {
        if (!result) {
            request->answer(toAnswer({statusUnavailable, request_outcome::unknown, "read demand", "platform",
                                      "the store is out of reach", storeRetryAfter, demandPath(key)}));
            return;
        }
        if (!*result) {
            request->answer(toAnswer({statusNotFound, request_outcome::unknown, "read demand", "",
                                      "no demand is recorded under this key", std::nullopt, demandPath(key)}));
            return;
        }
        const auto &row = (*result)->row;
        if (row.outcome != demand_outcome::none) {
            request->answer(queryAnswer(row, std::nullopt));
            return;
        }
        m_links.ask(row.home, key, [request, row](const std::optional<std::vector<task_report>> &tasks) {
            request->answer(queryAnswer(row, tasks));
        });
    });
}

/// A page of one failure domain's demands that have not ended, by key, after the key that the query names.
void demand_service::list(const std::shared_ptr<http_request> &request)
{
    const auto home = request->query("home").empty() ? m_ownDomain : request->query("home");
    const auto *sheet = m_links.sheet();
    if (sheet == nullptr || !sheet->regions.contains(home)) {
        refuse(request, statusNotFound, "list demands", "no such failure domain in the sheet in force", std::nullopt);
        return;
    }
    const auto prefix = activeRowPrefix(home);
    m_platform.list(prefix, [this, request, prefix](const std::optional<std::vector<table_row>> &index) {
        if (!index) {
            refuse(request, statusUnavailable, "list demands", "the store is out of reach", storeRetryAfter);
            return;
        }
        std::vector<demand_key> keys;
        const auto after = request->query("after");
        for (const auto &row : *index) {
            if (const auto key = row.key.substr(prefix.size()); key > after) {
                keys.push_back(key);
            }
        }
        std::ranges::sort(keys);
        const auto hasMore = keys.size() > demandsPerPage;
        keys.resize(std::min(keys.size(), demandsPerPage));
        listPage(request, keys, hasMore);
    });
}

void demand_service::listPage(const std::shared_ptr<http_request> &request, const std::vector<demand_key> &keys,
                              bool hasMore)
{
    std::vector<std::string> rowKeys;
    std::ranges::transform(keys, std::back_inserter(rowKeys), demandRowKey);
    const auto next = hasMore ? keys.back() : demand_key();
    m_platform.readMany(rowKeys, [this, request, next](const std::optional<std::vector<table_row>> &rows) {
        if (!rows) {
            refuse(request, statusUnavailable, "list demands", "the store is out of reach", storeRetryAfter);
            return;
        }
        auto demands = nlohmann::json::array();
        for (const auto &each : *rows) {
            const auto row = rowFromJson(each.value);
            demands.push_back({{"key", row.key},
                               {"home", row.home},
                               {"state", stateOf(row)},
                               {"kind", toString(row.spec.kind)},
                               {"team", row.spec.team},
                               {"tasks", row.spec.tasks}});
        }
        nlohmann::json body {{"demands", demands}};
        if (!next.empty()) {
            body["next"] = next;
        }
        request->answer(jsonAnswer(statusOk, body.dump()));
    });
}

void demand_service::cancel(const std::shared_ptr<cancellation> &entry)
{
    readDemandRow(entry->key, [this, entry](const row_reading &result) {
        if (!result) {
            giveUpCancel(entry);
            return;
        }
        if (!*result) {
            refuse(entry->request, statusNotFound, "cancel demand", "no demand is recorded under this key",
                   std::nullopt);
            return;
        }
        auto found = **result;
        if (found.row.cancelled || found.row.outcome != demand_outcome::none) {
            entry->request->answer(queryAnswer(found.row, std::nullopt));
            return;
        }
        found.row.cancelled = true;
        commitCancel(entry, found);
    });
}

void demand_service::commitCancel(const std::shared_ptr<cancellation> &entry, const versioned_row &found)
{
    m_platform.commit({{demandRowKey(entry->key), found.version, toJson(found.row)}},
                      [this, entry, row = found.row](const commit_result &result) {
                          if (result.status == commit_status::committed) {
                              m_links.notify(row.home, row.key);
                              entry->request->answer(queryAnswer(row, std::nullopt));
                              return;
                          }
                          entry->mayHaveTakenEffect |= result.status == commit_status::lost;
                          if (result.status == commit_status::notSent || --entry->triesLeft <= 0) {
                              giveUpCancel(entry);
                              return;
                          }
                          entry->pause.once(cancelRetryInterval, [this, entry] { cancel(entry); });
                      });
}

/// Not run only when no cancelling write was sent.
void demand_service::giveUpCancel(const std::shared_ptr<cancellation> &entry)
{
    if (!entry->mayHaveTakenEffect) {
        refuse(entry->request, statusUnavailable, "cancel demand", "the store is out of reach", storeRetryAfter);
        return;
    }
    m_measures.count("primrosecroft_demands_unknown_total", "step", "cancel demand");
    entry->request->answer(toAnswer({statusUnavailable, request_outcome::unknown, "cancel demand", "platform",
                                     "the answer of the store was lost", storeRetryAfter, demandPath(entry->key)}));
}

} // namespace primrosecroft
