#include "cell/cell_runner.h"

#include "cell/acceptance_batcher.h"
#include "cell/cell_rules.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/overloaded.h"
#include "jobs/job_rows.h"
#include "leadership/leadership.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto settlePause = 6ms; ///< messages that come in this time are acted on together
constexpr auto tickInterval = 40ms; ///< without messages
constexpr auto renewInterval = 300ms; ///< between two proofs of life in the store
constexpr auto summaryInterval = 2s; ///< between two lines that show the cell at a glance
constexpr auto confirmInterval = 450ms; ///< without a confirmed write ownership is confirmed by a read
constexpr auto confirmTimeout = 400ms; ///< over a read's time in a store that is 60 times slower
constexpr auto commitTimeout = 1'200ms;
constexpr auto silentCommit = 250ms; ///< so long before a read that was answered, and not answered itself
constexpr auto longestCommitTimeout = 3'000ms;
constexpr int commitTimeFactor = 4; ///< times what commits take, then one counts as lost
constexpr auto readTimeout = 1'500ms;
constexpr auto loadRetry = 80ms;
constexpr auto workerFeedInterval = 250ms; ///< between two looks at what workers announce
constexpr auto feedTimeout = 700ms;
constexpr auto inboxWait = 1'000ms;
constexpr auto reconcileInterval = 2s; ///< between two looks for stored jobs that nobody told of
constexpr auto startTimeout = 600ms;
constexpr auto stopTimeout = 600ms;

std::string millisecondsText(duration amount)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(amount).count());
}

} // namespace

/// One ownership. Answers that come after its end find it closed.
struct cell_runner::session : std::enable_shared_from_this<session>
{
    session(cell_runner &ownRunner, const cell_take_over &takeOver, instant confirmedAt)
        : runner(ownRunner)
        , state(makeCell(ownRunner.m_settings, takeOver))
        , begun(takeOver.takenAt)
        , acceptances({[this](store_transaction transaction, std::function<void(const commit_result &)> done) {
                           commit(std::move(transaction),
                                  [done = std::move(done)](session &, const commit_result &result) { done(result); });
                       },
                       [this](const std::string &row, row_version version) { acceptedJob(row, version); },
                       [this](const job_id &id) { readJob(id); }},
                      ownRunner.m_log)
    {
        state.confirmedAt = confirmedAt;
    }

    /// A commit on its way to the store.
    struct pending_commit
    {
        instant sentAt;
        std::function<void(session &, const commit_result &)> done;
    };

    cell_runner &runner;
    cell_state state;
    instant begun;
    bool isClosed = false;
    bool isLoaded = false;
    std::map<job_id, job_arrived> loading; ///< jobs as their rows come in
    std::set<job_id> loadingCancelled;
    std::map<job_id, job_progress> loadingProgress;
    int loadsLeft = 0;
    row_version workersAfter = 0;
    row_version inboxAfter = 0;
    instant renewedAt;
    instant summarizedAt;
    std::uint64_t unreadable = 0;
    timer settleTimer;
    timer tickTimer;
    timer feedTimer;
    timer loadTimer;
    timer inboxTimer;
    timer bookTimer;
    timer workersTimer;
    timer reconcileTimer;
    std::vector<std::pair<job_id, bool>> early; ///< came before what is stored was loaded
    std::map<std::uint64_t, pending_commit> pending; ///< commits under way
    std::uint64_t lastPending = 0;
    bool isConfirming = false;
    acceptance_batcher acceptances;
    std::map<job_id, std::vector<stored_handler>> cancelling;
    std::vector<cell_action> actions;

    /// A callback that does nothing once the session has closed.
    template<typename function>
    auto guarded(function call)
    {
        return [weak = weak_from_this(), call = std::move(call)](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->isClosed) {
                call(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    void close()
    {
        isClosed = true;
        acceptances.close();
        for (auto &[id, waiting] : std::exchange(cancelling, {})) {
            std::ranges::for_each(waiting, [](const auto &done) { done(store_outcome::lost); });
        }
        for (auto *each : {&settleTimer, &tickTimer, &feedTimer, &loadTimer, &inboxTimer, &bookTimer, &workersTimer,
                           &reconcileTimer}) {
            each->stop();
        }
    }

    void load()
    {
        loadsLeft = 3;
        loadBook();
        loadJobs({});
        readWorkers();
    }

    void retryLoad(std::function<void()> next)
    {
        runner.m_log.write("cell", "load-retry", {});
        loadTimer.once(loadRetry, std::move(next));
    }

    void loaded()
    {
        if (--loadsLeft > 0) {
            return;
        }
        for (auto &[id, job] : loading) {
            job.progress = std::move(loadingProgress[id]);
            job.cancelled = loadingCancelled.contains(id);
            step(state, job, bootNow(), actions);
        }
        runner.m_log.writeAlways("cell", "serving",
                                 {{"token", std::to_string(state.takeOver.token)},
                                  {"term", std::to_string(state.takeOver.term)},
                                  {"jobs", std::to_string(state.jobs.size())},
                                  {"workers", std::to_string(state.workers.size())},
                                  {"book", std::to_string(state.contactedWorkers.size())},
                                  {"ms", millisecondsText(bootNow() - begun)}});
        loading.clear();
        loadingProgress.clear();
        loadingCancelled.clear();
        isLoaded = true;
        for (const auto &[id, cancelled] : std::exchange(early, {})) {
            runner.notice(id, cancelled);
        }
        reconcileTimer.every(reconcileInterval, [this] { reconcile({}); });
        tickTimer.every(tickInterval, [this] { settleNow(); });
        feedTimer.once(workerFeedInterval, [this] { followWorkers(); });
        followInbox();
        settleNow();
    }

    void loadBook()
    {
        // The chain's row is the first of these few, the book the last.
        runner.m_store.read(
            {cellTable, shardPart, commitSequencePlace().key, keyAfter(contactedWorkersPlace().key), 10}, readTimeout,
            guarded([](session &self, const range_result &result) {
                if (result.outcome != store_outcome::done) {
                    self.bookTimer.once(loadRetry, [&self] { self.loadBook(); });
                    return;
                }
                self.state.commitSequence = versionOf(result.rows, commitSequencePlace());
                const auto book = std::ranges::find(result.rows, contactedWorkersPlace(), &store_row::place);
                if (book != result.rows.end()) {
                    self.state.contactedWorkers = decodeContactedWorkers(book->value);
                    self.state.unreconciledWorkers = self.state.contactedWorkers;
                }
                self.takeRules(result.rows);
                self.loaded();
            }));
    }

    void takeRules(const std::vector<store_row> &rows)
    {
        const auto row = std::ranges::find(rows, rulesPlace(), &store_row::place);
        if (row == rows.end()) {
            return;
        }
        try {
            const auto rules = decodeRules(row->value);
            runner.m_log.write(
                "cell", "rules",
                {{"version", std::to_string(row->version)}, {"drained", std::to_string(rules.drained.size())}});
            step(state, rules_updated {rules}, bootNow(), actions);
        } catch (const error &fault) {
            runner.m_log.write("cell", "row-unreadable", {{"id", row->place.key}, {"reason", fault.what()}});
        }
    }

    void loadJobs(const std::string &from)
    {
        runner.m_store.read({jobTable, shardPart, from, "", 500}, readTimeout,
                            guarded([from](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.retryLoad([&self, from] { self.loadJobs(from); });
                                    return;
                                }
                                for (const auto &row : result.rows) {
                                    self.takeLiveRow(row);
                                }
                                self.inboxAfter = self.inboxAfter == 0 ? result.version : self.inboxAfter;
                                if (result.hasMore && !result.rows.empty()) {
                                    self.loadJobs(keyAfter(result.rows.back().place.key));
                                    return;
                                }
                                self.loaded();
                            }));
    }

    void takeLiveRow(const store_row &row)
    {
        const auto key = parseLiveKey(row.place.key);
        if (!key) {
            return;
        }
        try {
            switch (key->kind) {
            case live_row::job:
                loading[key->id] = {decodeJob(row.value), {}, row.version, false};
                break;
            case live_row::cancel:
                loadingCancelled.insert(key->id);
                break;
            case live_row::progress:
                loadingProgress[key->id] = decodeProgress(row.value);
                break;
            }
        } catch (const error &fault) {
            runner.m_log.write("cell", "row-unreadable", {{"id", key->id}, {"reason", fault.what()}});
        }
    }

    void takeWorkerRow(const store_row &row)
    {
        const auto now = bootNow();
        if (row.isRemoved) {
            step(state, worker_unlisted {row.place.key}, now, actions);
            return;
        }
        if (const auto worker = runner.m_source.decode(row.place.key, row.value)) {
            step(state, worker_listed {*worker}, now, actions);
            return;
        }
        ++unreadable;
        runner.m_measures.count("primrosecroft_worker_entries", "kind", "unreadable");
        runner.m_log.write("cell", "worker-unreadable",
                           {{"worker", row.place.key}, {"version", std::to_string(row.version)}});
    }

    /// All workers, page by page; those known and not among them are no longer listed.
    void readWorkers()
    {
        readWorkersFrom({}, std::make_shared<std::set<worker_id>>(), 0);
    }

    void readWorkersFrom(const std::string &from, const std::shared_ptr<std::set<worker_id>> &seen, row_version first)
    {
        runner.m_store.read({runner.m_source.table, "", from, "", 500}, readTimeout,
                            guarded([from, seen, first](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.workersTimer.once(loadRetry, [&self] { self.readWorkers(); });
                                    return;
                                }
                                const auto version = first == 0 ? result.version : first;
                                for (const auto &row : result.rows) {
                                    seen->insert(row.place.key);
                                    self.takeWorkerRow(row);
                                }
                                if (result.hasMore && !result.rows.empty()) {
                                    self.readWorkersFrom(keyAfter(result.rows.back().place.key), seen, version);
                                    return;
                                }
                                self.workersAfter = version;
                                std::vector<worker_id> missing;
                                std::ranges::copy_if(std::views::keys(self.state.workers), std::back_inserter(missing),
                                                     [&](const worker_id &id) { return !seen->contains(id); });
                                for (const auto &id : missing) {
                                    step(self.state, worker_unlisted {id}, bootNow(), self.actions);
                                }
                                if (!self.isLoaded) {
                                    self.loaded();
                                } else {
                                    self.feedTimer.once(workerFeedInterval, [&self] { self.followWorkers(); });
                                }
                            }));
    }

    void followWorkers()
    {
        runner.m_store.pollChanges(runner.m_source.table, workersAfter, 0ms, feedTimeout,
                                   guarded([](session &self, const feed_result &result) {
                                       if (result.isHistoryTruncated) {
                                           self.readWorkers();
                                           return;
                                       }
                                       if (result.outcome == store_outcome::done) {
                                           self.workersAfter = std::max(self.workersAfter, result.version);
                                           std::ranges::for_each(
                                               result.rows, [&self](const store_row &row) { self.takeWorkerRow(row); });
                                           self.settleSoon();
                                       }
                                       self.feedTimer.once(workerFeedInterval, [&self] { self.followWorkers(); });
                                   }));
    }

    /// Ids of jobs that their entry process couldn't tell this one of.
    void followInbox()
    {
        runner.m_store.pollChanges(
            inboxTable, inboxAfter, inboxWait, feedTimeout, guarded([](session &self, const feed_result &result) {
                auto pause = 0ms;
                if (result.isHistoryTruncated) {
                    self.readInbox();
                    return;
                }
                if (result.outcome == store_outcome::done) {
                    self.inboxAfter = std::max(self.inboxAfter, result.version);
                    std::ranges::for_each(result.rows, [&self](const store_row &row) { self.takeInboxRow(row); });
                } else {
                    pause = loadRetry;
                }
                self.inboxTimer.once(pause, [&self] { self.followInbox(); });
            }));
    }

    void readInbox()
    {
        runner.m_store.read(
            {inboxTable, shardPart, "", "", 500}, readTimeout, guarded([](session &self, const range_result &result) {
                if (result.outcome == store_outcome::done) {
                    self.inboxAfter = result.version;
                    std::ranges::for_each(result.rows, [&self](const store_row &row) { self.takeInboxRow(row); });
                }
                self.inboxTimer.once(loadRetry, [&self] { self.followInbox(); });
            }));
    }

    void takeInboxRow(const store_row &row)
    {
        if (row.isRemoved) {
            return;
        }
        if (row.place == rulesNoticePlace()) {
            readRules(row);
            return;
        }
        readJob(row.place.key, [row](session &self) { self.clearInbox(row); });
    }

    void readRules(const store_row &notice)
    {
        const auto place = rulesPlace();
        runner.m_store.read(rangeOf(place), readTimeout, guarded([notice](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.inboxAfter = 0; // all of the inbox is read again
                                    return;
                                }
                                self.takeRules(result.rows);
                                self.clearInbox(notice);
                            }));
    }

    /// Takes a row away that was acted on; a newer one under its key stays.
    void clearInbox(const store_row &row)
    {
        store_transaction removal;
        removal.conditions.push_back({row.place, row.version});
        removal.removals.push_back(row.place);
        commit(removal, [](session &, const commit_result &) { });
    }

    /// Learns of a job, or of its cancelling, from its rows; @p done follows when they could be read.
    void readJob(const job_id &id, std::function<void(session &)> done = [](session &) { })
    {
        runner.m_store.read(liveRows(id), readTimeout,
                            guarded([id, done = std::move(done)](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.inboxAfter = 0; // all of the inbox is read again
                                    return;
                                }
                                self.takeRowsOf(id, result.rows);
                                done(self);
                            }));
    }

    void takeRowsOf(const job_id &id, const std::vector<store_row> &rows)
    {
        for (const auto &row : rows) {
            takeLiveRow(row);
        }
        const auto found = loading.find(id);
        if (found != loading.end()) {
            found->second.progress = std::move(loadingProgress[id]);
            found->second.cancelled = loadingCancelled.contains(id);
            const bool isCancelled = found->second.cancelled;
            step(state, found->second, bootNow(), actions);
            if (isCancelled) {
                step(state, job_cancelled {id}, bootNow(), actions);
            }
        }
        loading.clear();
        loadingProgress.clear();
        loadingCancelled.clear();
        settleSoon();
    }

    /// Looks for jobs that were stored without anybody's word reaching this process.
    void reconcile(const std::string &from)
    {
        runner.m_store.read({jobTable, shardPart, from, "", 500}, readTimeout,
                            guarded([](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    return; // there is a next time
                                }
                                for (const auto &row : result.rows) {
                                    self.reconcileRow(row);
                                }
                                if (result.hasMore && !result.rows.empty()) {
                                    self.reconcile(keyAfter(result.rows.back().place.key));
                                }
                            }));
    }

    void reconcileRow(const store_row &row)
    {
        const auto key = parseLiveKey(row.place.key);
        if (!key || state.finishedJobs.contains(key->id)) {
            return;
        }
        const auto job = state.jobs.find(key->id);
        const bool isUnknown = key->kind == live_row::job && job == state.jobs.end() && !acceptances.isSending(key->id);
        const bool isUnheard = key->kind == live_row::cancel && job != state.jobs.end() && !job->second.cancelled;
        if (isUnknown || isUnheard) {
            runner.m_log.write(
                "cell", "reconciled",
                {{"id", key->id}, {"version", std::to_string(row.version)}, {"cancel", isUnheard ? "1" : "0"}});
            readJob(key->id);
        }
    }

    void settleSoon()
    {
        if (isLoaded && !settleTimer.isRunning()) {
            settleTimer.once(settlePause, [this] { settleNow(); });
        }
    }

    void settleNow()
    {
        settleTimer.stop();
        const auto now = bootNow();
        step(state, clock_ticked {timeOfDay(), runner.m_store.storeTime(), runner.m_links.adviceDispatchers()}, now,
             actions);
        runSchedulingPass(state, now, actions);
        carryOut();
        if (now >= summarizedAt + summaryInterval) {
            summarizedAt = now;
            tellSummary(now);
        }
        if (now >= renewedAt + renewInterval && pending.empty()) {
            renew();
        }
        if (now >= state.confirmedAt + confirmInterval && !isConfirming) {
            confirm();
        }
    }

    /// A write under the condition of ownership: it confirms it, and shows others that this process lives.
    void renew()
    {
        commit({}, [](session &, const commit_result &) { });
    }

    // --- acceptance and cancelling

    void submit(const job_id &id, const std::string &row, stored_handler done)
    {
        if (state.jobs.contains(id) || state.finishedJobs.contains(id)) {
            done(store_outcome::conflict);
            return;
        }
        acceptances.add(id, row, std::move(done));
    }

    void acceptedJob(const std::string &row, row_version version)
    {
        step(state, job_arrived {decodeJob(row), {}, version, false}, bootNow(), actions);
        settleSoon();
    }

    void cancel(const job_id &id, stored_handler done)
    {
        if (state.finishedJobs.contains(id)) {
            done(store_outcome::conflict);
            return;
        }
        if (!state.jobs.contains(id)) {
            done(store_outcome::refused);
            return;
        }
        cancelling[id].push_back(std::move(done));
        step(state, job_cancelled {id}, bootNow(), actions);
        settleSoon();
    }

    void commit(store_transaction transaction, std::function<void(session &, const commit_result &)> done)
    {
        const auto sentAt = bootNow();
        transaction.conditions.push_back({ownerPlace(), state.takeOver.token});
        if (sentAt >= renewedAt + renewInterval || transaction.writes.empty()) {
            renewedAt = sentAt;
            transaction.writes.push_back({renewalPlace(), "1"});
        }
        // A store that is slow gets no second copy of what still waits in its line.
        const auto timeout = std::clamp<std::chrono::milliseconds>(
            runner.m_store.smoothedCommitTime() * commitTimeFactor, commitTimeout, longestCommitTimeout);
        const auto number = ++lastPending;
        pending[number] = {sentAt, std::move(done)};
        runner.m_store.commit(transaction, timeout, guarded([number](session &self, const commit_result &result) {
                                  self.finish(number, result);
                              }));
    }

    /// Takes the answer to a commit that hasn't been given up.
    void finish(std::uint64_t number, const commit_result &result)
    {
        const auto node = pending.extract(number);
        if (node.empty()) {
            return;
        }
        if (result.outcome == store_outcome::conflict && !isOwnRow(result.currentRows)) {
            runner.m_links.ownershipLost("a write met another owner's row");
            return;
        }
        if (result.outcome == store_outcome::done) {
            step(state, ownership_confirmed {node.mapped().sentAt}, bootNow(), actions);
        }
        node.mapped().done(*this, result);
    }

    /// Reads are answered again that were sent long after a commit: its own answer won't come. All commits may be
    /// sent twice, as their conditions tell.
    void giveUpSilent(instant answeredSince)
    {
        const auto patience =
            std::max<std::chrono::milliseconds>(silentCommit, runner.m_store.smoothedCommitTime() * commitTimeFactor);
        std::vector<std::uint64_t> silent;
        for (const auto &[number, commit] : pending) {
            if (commit.sentAt + patience <= answeredSince) {
                silent.push_back(number);
            }
        }
        for (const auto number : silent) {
            runner.m_log.write("cell", "commit-silent",
                               {{"ms", millisecondsText(bootNow() - pending.at(number).sentAt)}});
            finish(number, {});
        }
    }

    /// False when the ownership row among @p found isn't the one under which this session began.
    bool isOwnRow(const std::vector<store_row> &found) const
    {
        const auto row = std::ranges::find(found, ownerPlace(), &store_row::place);
        return row != found.end() && row->version == state.takeOver.token;
    }

    /// A read of the ownership row doesn't wait in the part's line of writes.
    void confirm()
    {
        isConfirming = true;
        const auto sentAt = bootNow();
        const auto place = ownerPlace();
        runner.m_store.read(rangeOf(place), confirmTimeout,
                            guarded([sentAt](session &self, const range_result &result) {
                                self.isConfirming = false;
                                if (result.outcome != store_outcome::done) {
                                    return;
                                }
                                if (!self.isOwnRow(result.rows)) {
                                    self.runner.m_links.ownershipLost("the ownership row is another owner's");
                                    return;
                                }
                                step(self.state, ownership_confirmed {sentAt}, bootNow(), self.actions);
                                self.giveUpSilent(sentAt);
                            }));
    }

    template<typename message>
    auto answering()
    {
        return guarded([](session &self, const message &answer) {
            step(self.state, answer, bootNow(), self.actions);
            self.settleSoon();
        });
    }

    void carryOut()
    {
        const auto due = std::exchange(actions, {});
        for (const auto &action : due) {
            if (isClosed) {
                return;
            }
            std::visit(
                overloaded {
                    [this](const send_start &order) {
                        runner.m_workers.start(order, state.takeOver.token, startTimeout, answering<start_answered>());
                    },
                    [this](const send_stop &order) {
                        runner.m_workers.stop(order, state.takeOver.token, stopTimeout, answering<stop_answered>());
                    },
                    [this](const send_pace &order) { runner.m_workers.pace(order, state.takeOver.token, stopTimeout); },
                    [this](const send_list &order) {
                        runner.m_workers.list(order, state.takeOver.token, order.timeout, answering<list_answered>());
                    },
                    [this](const ask_advice &question) {
                        runner.m_links.askAdvice(question, answering<advice_answered>());
                    },
                    [this](const commit_rows &rows) {
                        commit(rows.transaction, [number = rows.number](session &self, const commit_result &result) {
                            const auto chain = result.outcome == store_outcome::done
                                ? result.version
                                : versionOf(result.currentRows, commitSequencePlace());
                            step(self.state, commit_answered {number, result.outcome, chain}, bootNow(), self.actions);
                            self.settleSoon();
                        });
                    },
                    [this](const report_placed &report) { tell(report); },
                    [this](const report_ended &report) { tell(report); },
                    [this](const report_job_end &report) { tell(report); },
                    [this](const report_worker_change &report) {
                        runner.m_log.write("cell", "worker", {{"worker", report.worker}, {"change", report.change}});
                    },
                    [this](const report_fenced &report) {
                        runner.m_links.ownershipLost("worker " + report.worker + " obeys a later owner");
                    },
                },
                action);
        }
    }

    void tellSummary(instant now)
    {
        const auto summary = summarize(state, now);
        runner.m_measures.set("primrosecroft_tasks_waiting", static_cast<double>(summary.waitingTasks));
        runner.m_measures.set("primrosecroft_workers_usable", static_cast<double>(summary.usable));
        runner.m_measures.set("primrosecroft_millicores_used", static_cast<double>(summary.usedCores));
        runner.m_log.write("cell", "summary",
                           {{"jobs", std::to_string(summary.jobs)},
                            {"waiting_steps", std::to_string(summary.waitingSteps)},
                            {"waiting_tasks", std::to_string(summary.waitingTasks)},
                            {"asking", std::to_string(summary.stepsAwaitingAdvice)},
                            {"workers", std::to_string(summary.workers)},
                            {"usable", std::to_string(summary.usable)},
                            {"unresolved", std::to_string(summary.unresolved)},
                            {"used", std::to_string(summary.usedCores)},
                            {"offered", std::to_string(summary.offeredCores)},
                            {"confirmed_ms", millisecondsText(now - state.confirmedAt)}});
    }

    void tell(const report_placed &report)
    {
        runner.m_measures.observe("primrosecroft_task_wait_seconds", "kind", "placed", report.waited);
        runner.m_log.write("cell", "placed",
                           {{"task", toString(report.run.task)},
                            {"attempt", std::to_string(report.run.attempt)},
                            {"worker", report.worker},
                            {"waited_ms", std::to_string(report.waited.count())}});
    }

    void tell(const report_ended &report)
    {
        runner.m_measures.count("primrosecroft_runs_ended", "how", report.how);
        if (report.how == "done") {
            return; // the job's line says it
        }
        runner.m_log.write("cell", "ended",
                           {{"task", toString(report.run.task)},
                            {"attempt", std::to_string(report.run.attempt)},
                            {"worker", report.worker},
                            {"how", report.how}});
    }

    void tell(const report_job_end &report)
    {
        if (auto node = cancelling.extract(report.id)) {
            std::ranges::for_each(node.mapped(), [](const auto &done) { done(store_outcome::done); });
        }
        runner.m_measures.count("primrosecroft_jobs_ended", "status", toString(report.status));
        runner.m_measures.observe("primrosecroft_job_seconds", "queue", report.queue, report.took);
        runner.m_log.write("cell", "job",
                           {{"id", report.id},
                            {"queue", report.queue},
                            {"status", toString(report.status)},
                            {"took_ms", std::to_string(report.took.count())},
                            {"objective_ms", std::to_string(report.objective.count())}});
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
    m_session->load();
}

void cell_runner::end()
{
    if (m_session) {
        m_session->close();
        m_session.reset();
    }
}

bool cell_runner::isServing() const
{
    return m_session && m_session->isLoaded;
}

void cell_runner::notice(const job_id &id, bool cancelled)
{
    if (!m_session) {
        return; // the next owner reads it with the other rows
    }
    if (!m_session->isLoaded) {
        m_session->early.emplace_back(id, cancelled); // it may be newer than the rows being read
        return;
    }
    if (!m_session->state.jobs.contains(id)) {
        m_session->readJob(id);
        return;
    }
    if (cancelled) {
        step(m_session->state, job_cancelled {id}, bootNow(), m_session->actions);
        m_session->settleSoon();
    }
}

void cell_runner::submit(const job_id &id, const std::string &row, stored_handler done)
{
    if (!isServing()) {
        done(store_outcome::refused);
        return;
    }
    m_session->submit(id, row, std::move(done));
}

void cell_runner::cancel(const job_id &id, stored_handler done)
{
    if (!isServing()) {
        done(store_outcome::refused);
        return;
    }
    m_session->cancel(id, std::move(done));
}

const cell_state *cell_runner::state() const
{
    return isServing() ? &m_session->state : nullptr;
}

instant cell_runner::confirmedAt() const
{
    return m_session ? m_session->state.confirmedAt : instant {};
}

} // namespace primrosecroft
