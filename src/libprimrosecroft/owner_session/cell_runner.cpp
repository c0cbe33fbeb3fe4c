#include "owner_session/cell_runner.h"

#include "callers/waiting_counts.h"
#include "core/clock.h"
#include "core/overloaded.h"
#include "owner_session/cell_log.h"
#include "owner_session/cell_rows_reader.h"
#include "owner_session/inbox_reader.h"
#include "owner_session/job_reader.h"
#include "owner_session/job_requests.h"
#include "owner_session/job_scan.h"
#include "owner_session/order_sender.h"
#include "owner_session/owned_commits.h"
#include "owner_session/pass_pacing.h"
#include "owner_session/runner_context.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto passDelay = 6ms; ///< messages that arrive within this time are handled together
constexpr auto tickInterval = 40ms; ///< between two scheduling passes if no message arrives
constexpr auto summaryInterval = 2s; ///< between two log lines that summarize the cell

} // namespace

/// State of one ownership. Answers that arrive after its end are ignored.
struct cell_runner::session
{
    session(cell_runner &ownRunner, const cell_take_over &takeOver, instant confirmedAt)
        : runner(ownRunner)
        , state(makeCell(ownRunner.m_settings, takeOver))
        , startedAt(takeOver.takenAt)
    {
        state.confirmedAt = confirmedAt;
        if (ownRunner.m_workspaces) {
            state.workspaces = *ownRunner.m_workspaces;
            state.areWorkspacesKnown = true;
        }
    }

    cell_runner &runner;
    session_guard guard;
    cell_state state;
    std::vector<cell_action> actions; ///< requested by the core and not carried out yet
    instant startedAt;
    bool isLoaded = false;
    int loadsLeft = 0; ///< parts of the stored state that load() has not read yet
    std::optional<row_version> loadedVersion; ///< the oldest version of the store at which load() has read a part
    instant lastSummaryAt;
    instant nextPassAt; ///< no scheduling pass runs before this moment
    std::vector<std::pair<job_id, bool>> earlyNotices; ///< notices that arrived before isLoaded; true: cancelled
    timer passTimer;
    timer tickTimer;
    runner_context context {runner.m_store, runner.m_log, runner.m_measures,        guard,
                            state,          actions,      [this] { requestPass(); }};
    cell_log reports {runner.m_log, runner.m_measures};
    order_sender orders {context, runner.m_workers, runner.m_links.askAdvice};
    owned_commits commits {context, runner.m_links.ownershipLost};
    worker_feed workers {context, runner.m_source};
    cell_rows_reader cellRows {context};
    job_reader jobs {context};
    inbox_reader inbox {context,
                        {[this](const job_id &id, auto done) { jobs.read(id, std::move(done)); },
                         [this](auto done) { cellRows.readRules(std::move(done)); },
                         [this](store_transaction transaction) {
                             commits.commit(std::move(transaction), [](const commit_result &) { });
                         }}};
    job_requests requests {context, commits, [this](const job_id &id) { inbox.readJob(id); }};
    job_scan scan {context,
                   {[this](const job_id &id, auto done) { jobs.read(id, std::move(done)); },
                    [this](const job_id &id) { return requests.isBeingAccepted(id); },
                    [this](const job_id &id) { return jobs.isSetAside(id); }},
                   bootNow()};

    void close()
    {
        guard.close();
        requests.close();
        passTimer.stop();
        tickTimer.stop();
        workers.stop();
        cellRows.stop();
        jobs.stop();
        inbox.stop();
        scan.stop();
    }

    void load()
    {
        loadsLeft = 3;
        tickTimer.every(tickInterval, [this] { keepOwnership(bootNow()); });
        const auto versionLoaded = [this](row_version version) {
            loadedVersion = std::min(loadedVersion.value_or(version), version);
            partLoaded();
        };
        cellRows.load(versionLoaded);
        jobs.load(versionLoaded);
        workers.load([this] { partLoaded(); });
    }

    /// Called when one of the reads of load() is complete; after the last one the session starts serving.
    void partLoaded()
    {
        if (--loadsLeft > 0) {
            return;
        }
        tellClocks(state.adviceRoutes, bootNow()); // the ages of the loaded jobs depend on them
        jobs.addLoaded();
        reports.writeServing(state, bootNow() - startedAt);
        isLoaded = true;
        for (const auto &[id, cancelled] : std::exchange(earlyNotices, {})) {
            notice(id, cancelled);
        }
        scan.start();
        tickTimer.every(tickInterval, [this] { tick(); });
        workers.follow();
        inbox.follow(*loadedVersion);
        runPass();
    }

    void notice(const job_id &id, bool cancelled)
    {
        if (!isLoaded) {
            earlyNotices.emplace_back(id, cancelled); // may be newer than the rows that are being read
            return;
        }
        if (!state.jobs.contains(id)) {
            inbox.readJob(id);
            return;
        }
        if (cancelled) {
            context.apply(job_cancelled {id});
            requestPass();
        }
    }

    /// Schedules a pass that handles all messages of the next passDelay together, or of the pause after the last pass.
    void requestPass()
    {
        if (isLoaded && !passTimer.isRunning()) {
            const auto pause = std::chrono::ceil<std::chrono::milliseconds>(nextPassAt - bootNow());
            passTimer.once(std::max<std::chrono::milliseconds>(passDelay, pause), [this] { runPass(); });
        }
    }

    void tick()
    {
        runPass();
        keepOwnership(bootNow());
    }

    void tellClocks(std::int32_t adviceRoutes, instant now)
    {
        step(state, clock_ticked {timeOfDay(), runner.m_store.storeTime(), adviceRoutes}, now, actions);
    }

    /// Runs a pass, or schedules one if the pause after the last one isn't over.
    void runPass()
    {
        passTimer.stop();
        const auto now = bootNow();
        if (now < nextPassAt) {
            requestPass();
            return;
        }
        tellClocks(runner.m_links.adviceRoutes(), now);
        runSchedulingPass(state, now, actions);
        carryOut();
        if (now >= lastSummaryAt + summaryInterval) {
            lastSummaryAt = now;
            logSummary(now);
        }
        keepOwnership(now);
        nextPassAt = earliestNextPass(now, bootNow());
    }

    void keepOwnership(instant now)
    {
        commits.keepOwnership(now);
    }

    void logSummary(instant now)
    {
        reports.writeSummary(state, now);
    }

    void carryOut()
    {
        const auto due = std::exchange(actions, {});
        for (const auto &action : due) {
            if (guard.isClosed()) {
                return;
            }
            std::visit(overloaded {
                           [this](const commit_rows &rows) { commitRows(rows); },
                           [this](const report_job_end &report) {
                               requests.handleJobEnd(report.id);
                               reports.write(report);
                           },
                           [this](const report_fenced &report) {
                               runner.m_links.ownershipLost("worker " + report.worker + " obeys a later owner");
                           },
                           [this](const auto &other) {
                               if constexpr (requires { orders.send(other); }) {
                                   orders.send(other);
                               } else {
                                   reports.write(other);
                               }
                           },
                       },
                       action);
        }
    }

    void commitRows(const commit_rows &rows)
    {
        commits.commit(rows.transaction, [this, number = rows.number](const commit_result &result) {
            const auto sequence = result.outcome == store_outcome::done
                ? result.version
                : versionOf(result.currentRows, commitSequencePlace());
            context.apply(commit_answered {number, result.outcome, sequence});
            requestPass();
        });
    }
};

cell_runner::cell_runner(monitored_store &rows, worker_gateway &workers, worker_source source, runner_links links,
                         const cell_settings &settings, decision_log &log, metrics &measures)
    : m_store(rows)
    , m_workers(workers)
    , m_source(std::move(source))
    , m_links(std::move(links))
    , m_settings(settings)
    , m_log(log)
    , m_measures(measures)
{
}

cell_runner::~cell_runner()
{
    end();
}

void cell_runner::begin(row_version token, std::int64_t term, instant confirmedAt)
{
    end();
    cell_take_over takeOver;
    takeOver.token = token;
    takeOver.term = term;
    takeOver.takenAt = bootNow();
    m_session = std::make_shared<session>(*this, takeOver, confirmedAt);
    m_session->guard.open(m_session);
    m_session->load();
}

void cell_runner::end()
{
    if (m_session) {
        m_session->close();
        m_session.reset();
    }
}

void cell_runner::setWorkspaces(workspace_policies workspaces)
{
    m_workspaces = std::move(workspaces);
    if (m_session) {
        m_session->context.apply(workspaces_updated {*m_workspaces});
        m_session->requestPass();
    }
}

bool cell_runner::isServing() const
{
    return m_session && m_session->isLoaded;
}

void cell_runner::notice(const job_id &id, bool cancelled)
{
    if (m_session) { // otherwise the next owner reads the job with all other rows
        m_session->notice(id, cancelled);
    }
}

void cell_runner::submit(const job_id &id, const std::string &row, stored_handler done)
{
    if (!isServing()) {
        done(store_outcome::refused);
        return;
    }
    m_session->requests.submit(id, row, std::move(done));
}

void cell_runner::cancel(const job_id &id, stored_handler done)
{
    if (!isServing()) {
        done(store_outcome::refused);
        return;
    }
    m_session->requests.cancel(id, std::move(done));
}

const cell_state *cell_runner::state() const
{
    return isServing() ? &m_session->state : nullptr;
}

instant cell_runner::confirmedAt() const
{
    return m_session ? m_session->state.confirmedAt : instant {};
}

instant cell_runner::countsHoldAsOf() const
{
    if (!m_session) {
        return {};
    }
    return primrosecroft::countsHoldAsOf(m_session->state.confirmedAt, m_session->scan.knownAt(), jobScanInterval);
}

} // namespace primrosecroft
