#include "cell/cell_runner.h"

#include "callers/waiting_counts.h"
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

constexpr auto passDelay = 6ms; ///< messages that arrive within this time are handled together
constexpr auto tickInterval = 40ms; ///< between two scheduling passes if no message arrives
constexpr auto renewalInterval = 300ms; ///< between two writes of the renewal row
constexpr auto summaryInterval = 2s; ///< between two log lines that summarize the cell
constexpr auto confirmInterval = 450ms; ///< after this time without a successful commit a read confirms the ownership
constexpr auto confirmTimeout = 400ms; ///< longer than a read takes in a store that is 60 times slower than usual
constexpr auto minCommitTimeout = 1'200ms;

/// A commit counts as lost if a read that was sent at least this long after it is answered first. The span is longer
/// while commits are slow.
constexpr auto unansweredCommitTimeout = 250ms;

constexpr auto maxCommitTimeout = 3'000ms;
constexpr int commitTimeFactor = 4; ///< timeouts of commits are this multiple of the smoothed commit time
constexpr auto readTimeout = 1'500ms;
constexpr auto retryDelay = 80ms;
constexpr auto workerPollInterval = 250ms; ///< between two polls of the workers' table
constexpr auto pollTimeout = 700ms; ///< of polls for changes, in addition to the time that they wait for one
constexpr auto inboxPollWait = 1'000ms; ///< how long a poll of the inbox waits for a change
constexpr auto jobScanInterval = 2s; ///< between the starts of two scans for stored jobs of which no notice has arrived
constexpr auto jobScanRetryDelay = 400ms; ///< between a scan of which a read failed and the next one
constexpr auto startTimeout = 600ms; ///< for a worker's answer to a start order
constexpr auto stopTimeout = 600ms; ///< likewise to an order to stop a run

std::string millisecondsText(duration amount)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(amount).count());
}

} // namespace

/// State of one ownership. Answers that arrive after its end are ignored.
struct cell_runner::session : std::enable_shared_from_this<session>
{
    session(cell_runner &ownRunner, const cell_take_over &takeOver, instant confirmedAt)
        : runner(ownRunner)
        , state(makeCell(ownRunner.m_settings, takeOver))
        , startedAt(takeOver.takenAt)
        , acceptances({[this](store_transaction transaction, std::function<void(const commit_result &)> done) {
                           commit(std::move(transaction),
                                  [done = std::move(done)](session &, const commit_result &result) { done(result); });
                       },
                       [this](const std::string &row, row_version version) { addAcceptedJob(row, version); },
                       [this](const job_id &id) { readJob(id); }},
                      ownRunner.m_log)
    {
        state.confirmedAt = confirmedAt;
    }

    /// A commit that the store hasn't answered yet.
    struct pending_commit
    {
        instant sentAt;
        std::function<void(session &, const commit_result &)> done;
    };

    /// A scan of the live jobs. It is over when all its reads have ended.
    struct job_scan
    {
        instant startedAt;
        int readsLeft = 0;
        bool hasFailed = false; ///< a read has failed, so some jobs may still be unknown
    };

    cell_runner &runner;
    cell_state state;
    instant startedAt;
    bool isClosed = false;
    bool isLoaded = false;
    std::map<job_id, job_arrived> incomingJobs; ///< jobs whose rows have been read but not yet given to the core
    std::set<job_id> incomingCancellations; ///< likewise, jobs with a cancel row
    std::map<job_id, job_progress> incomingProgress; ///< likewise, the progress rows
    int loadsLeft = 0; ///< reads of load() that aren't complete yet
    job_scan jobScan; ///< the running one, or the last one
    instant jobsScannedAt; ///< the jobs stored before this moment are known
    row_version workersAfter = 0; ///< changes of the workers' table up to this version have been read
    row_version inboxAfter = 0; ///< likewise for the inbox; 0: the whole inbox is read again
    instant renewedAt;
    instant lastSummaryAt;
    std::uint64_t unreadableWorkers = 0;
    timer passTimer;
    timer tickTimer;
    timer workerPollTimer;
    timer loadTimer;
    timer inboxTimer;
    timer cellRowsTimer;
    timer workerReadTimer;
    timer jobScanTimer;
    std::vector<std::pair<job_id, bool>> earlyNotices; ///< notices that arrived before isLoaded; true: cancelled
    std::map<std::uint64_t, pending_commit> pendingCommits; ///< unanswered commits by number
    std::uint64_t lastCommitNumber = 0;
    bool isConfirming = false; ///< the read that confirms the ownership hasn't been answered yet
    acceptance_batcher acceptances;
    std::map<job_id, std::vector<stored_handler>> cancelHandlers; ///< called when the job's end is stored
    std::vector<cell_action> actions; ///< requested by the core and not carried out yet

    /// Wraps a callback so that it does nothing once the session has been closed.
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
        for (auto &[id, handlers] : std::exchange(cancelHandlers, {})) {
            std::ranges::for_each(handlers, [](const auto &done) { done(store_outcome::lost); });
        }
        for (auto *each : {&passTimer, &tickTimer, &workerPollTimer, &loadTimer, &inboxTimer, &cellRowsTimer,
                           &workerReadTimer, &jobScanTimer}) {
            each->stop();
        }
    }

    void load()
    {
        loadsLeft = 3;
        jobsScannedAt = bootNow();
        tickTimer.every(tickInterval, [this] { keepOwnership(bootNow()); });
        loadCellRows();
        loadJobs({});
        readWorkers();
    }

    void retryLoad(std::function<void()> next)
    {
        runner.m_log.write("cell", "load-retry", {});
        loadTimer.once(retryDelay, std::move(next));
    }

    /// Called when one of the reads of load() is complete; after the last one the session starts serving.
    void partLoaded()
    {
        if (--loadsLeft > 0) {
            return;
        }
        for (auto &[id, job] : incomingJobs) {
            job.progress = std::move(incomingProgress[id]);
            job.isCancelled = incomingCancellations.contains(id);
            step(state, job, bootNow(), actions);
        }
        runner.m_log.writeAlways("cell", "serving",
                                 {{"token", std::to_string(state.takeOver.token)},
                                  {"term", std::to_string(state.takeOver.term)},
                                  {"jobs", std::to_string(state.jobs.size())},
                                  {"workers", std::to_string(state.workers.size())},
                                  {"book", std::to_string(state.contactedWorkers.size())},
                                  {"ms", millisecondsText(bootNow() - startedAt)}});
        incomingJobs.clear();
        incomingProgress.clear();
        incomingCancellations.clear();
        isLoaded = true;
        for (const auto &[id, cancelled] : std::exchange(earlyNotices, {})) {
            runner.notice(id, cancelled);
        }
        scheduleJobScan(jobsScannedAt + jobScanInterval);
        tickTimer.every(tickInterval, [this] { runPass(); });
        workerPollTimer.once(workerPollInterval, [this] { pollWorkers(); });
        pollInbox();
        runPass();
    }

    void loadCellRows()
    {
        // One read covers all rows that are needed: the commit sequence has the smallest key of them, the contacted
        // workers the largest.
        runner.m_store.read(
            {cellTable, shardPartition, commitSequencePlace().key, keyAfter(contactedWorkersPlace().key), 10},
            readTimeout, guarded([](session &self, const range_result &result) {
                if (result.outcome != store_outcome::done) {
                    self.cellRowsTimer.once(retryDelay, [&self] { self.loadCellRows(); });
                    return;
                }
                self.state.commitSequence = versionOf(result.rows, commitSequencePlace());
                const auto contacted = std::ranges::find(result.rows, contactedWorkersPlace(), &store_row::place);
                if (contacted != result.rows.end()) {
                    self.state.contactedWorkers = decodeContactedWorkers(contacted->value);
                    self.state.unreconciledWorkers = self.state.contactedWorkers;
                }
                self.applyRules(result.rows);
                self.partLoaded();
            }));
    }

    void applyRules(const std::vector<store_row> &rows)
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
        runner.m_store.read({jobTable, shardPartition, from, "", 500}, readTimeout,
                            guarded([from](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.retryLoad([&self, from] { self.loadJobs(from); });
                                    return;
                                }
                                for (const auto &row : result.rows) {
                                    self.collectLiveRow(row);
                                }
                                // The inbox is polled from the first page's version, since the pages hold all
                                // jobs that were accepted before.
                                self.inboxAfter = self.inboxAfter == 0 ? result.version : self.inboxAfter;
                                if (result.hasMore && !result.rows.empty()) {
                                    self.loadJobs(keyAfter(result.rows.back().place.key));
                                    return;
                                }
                                self.partLoaded();
                            }));
    }

    void collectLiveRow(const store_row &row)
    {
        const auto key = parseLiveKey(row.place.key);
        if (!key) {
            return;
        }
        try {
            switch (key->kind) {
            case live_row::job:
                incomingJobs[key->id] = {decodeJob(row.value), {}, row.version, false};
                break;
            case live_row::cancel:
                incomingCancellations.insert(key->id);
                break;
            case live_row::progress:
                incomingProgress[key->id] = decodeProgress(row.value);
                break;
            }
        } catch (const error &fault) {
            runner.m_log.write("cell", "row-unreadable", {{"id", key->id}, {"reason", fault.what()}});
        }
    }

    void applyWorkerRow(const store_row &row)
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
        ++unreadableWorkers;
        runner.m_measures.count("primrosecroft_worker_entries", "kind", "unreadable");
        runner.m_log.write("cell", "worker-unreadable",
                           {{"worker", row.place.key}, {"version", std::to_string(row.version)}});
    }

    /// Reads the whole workers' table page by page. Known workers that aren't in it are no longer listed.
    void readWorkers()
    {
        readWorkersFrom({}, std::make_shared<std::set<worker_id>>(), 0);
    }

    /// Reads the page of the workers' table that begins at @p from. @p firstVersion is the store's version at the read
    /// of the first page, or 0 for that page. Changes are polled from it, since they may have been made while the later
    /// pages were read.
    void readWorkersFrom(const std::string &from, const std::shared_ptr<std::set<worker_id>> &seen,
                         row_version firstVersion)
    {
        runner.m_store.read({runner.m_source.table, "", from, "", 500}, readTimeout,
                            guarded([from, seen, firstVersion](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.workerReadTimer.once(retryDelay, [&self] { self.readWorkers(); });
                                    return;
                                }
                                const auto version = firstVersion == 0 ? result.version : firstVersion;
                                for (const auto &row : result.rows) {
                                    seen->insert(row.place.key);
                                    self.applyWorkerRow(row);
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
                                    self.partLoaded();
                                } else {
                                    self.workerPollTimer.once(workerPollInterval, [&self] { self.pollWorkers(); });
                                }
                            }));
    }

    void pollWorkers()
    {
        runner.m_store.pollChanges(
            runner.m_source.table, workersAfter, 0ms, pollTimeout,
            guarded([](session &self, const feed_result &result) {
                if (result.isHistoryTruncated) {
                    self.readWorkers();
                    return;
                }
                if (result.outcome == store_outcome::done) {
                    self.workersAfter = std::max(self.workersAfter, result.version);
                    std::ranges::for_each(result.rows, [&self](const store_row &row) { self.applyWorkerRow(row); });
                    self.requestPass();
                }
                self.workerPollTimer.once(workerPollInterval, [&self] { self.pollWorkers(); });
            }));
    }

    /// Polls the inbox: ids of jobs whose notice could not be sent to this process, and the notice of changed rules.
    void pollInbox()
    {
        runner.m_store.pollChanges(
            inboxTable, inboxAfter, inboxPollWait, pollTimeout, guarded([](session &self, const feed_result &result) {
                auto pause = 0ms;
                if (result.isHistoryTruncated) {
                    self.readInbox();
                    return;
                }
                if (result.outcome == store_outcome::done) {
                    self.inboxAfter = std::max(self.inboxAfter, result.version);
                    std::ranges::for_each(result.rows, [&self](const store_row &row) { self.handleInboxRow(row); });
                } else {
                    pause = retryDelay;
                }
                self.inboxTimer.once(pause, [&self] { self.pollInbox(); });
            }));
    }

    void readInbox()
    {
        runner.m_store.read({inboxTable, shardPartition, "", "", 500}, readTimeout,
                            guarded([](session &self, const range_result &result) {
                                if (result.outcome == store_outcome::done) {
                                    self.inboxAfter = result.version;
                                    std::ranges::for_each(result.rows,
                                                          [&self](const store_row &row) { self.handleInboxRow(row); });
                                }
                                self.inboxTimer.once(retryDelay, [&self] { self.pollInbox(); });
                            }));
    }

    void handleInboxRow(const store_row &row)
    {
        if (row.isRemoved) {
            return;
        }
        if (row.place == rulesNoticePlace()) {
            readRules(row);
            return;
        }
        readJob(row.place.key, [row](session &self, bool isRead) {
            if (isRead) {
                self.clearInbox(row);
            }
        });
    }

    void readRules(const store_row &notice)
    {
        const auto place = rulesPlace();
        runner.m_store.read(rangeOf(place), readTimeout, guarded([notice](session &self, const range_result &result) {
                                if (result.outcome != store_outcome::done) {
                                    self.inboxAfter = 0; // read the whole inbox again
                                    return;
                                }
                                self.applyRules(result.rows);
                                self.clearInbox(notice);
                            }));
    }

    /// Removes an inbox row that has been handled. A newer version of the row stays.
    void clearInbox(const store_row &row)
    {
        store_transaction removal;
        removal.conditions.push_back({row.place, row.version});
        removal.removals.push_back(row.place);
        commit(removal, [](session &, const commit_result &) { });
    }

    /// Reads the rows of a job that isn't known here or that may have been cancelled. @p done is told whether the read
    /// succeeded.
    void readJob(const job_id &id, std::function<void(session &, bool isRead)> done = [](session &, bool) { })
    {
        runner.m_store.read(liveRows(id), readTimeout,
                            guarded([id, done = std::move(done)](session &self, const range_result &result) {
                                const bool isRead = result.outcome == store_outcome::done;
                                if (isRead) {
                                    self.applyJobRows(id, result.rows);
                                } else {
                                    self.inboxAfter = 0; // read the whole inbox again
                                }
                                done(self, isRead);
                            }));
    }

    void applyJobRows(const job_id &id, const std::vector<store_row> &rows)
    {
        for (const auto &row : rows) {
            collectLiveRow(row);
        }
        const auto found = incomingJobs.find(id);
        if (found != incomingJobs.end()) {
            found->second.progress = std::move(incomingProgress[id]);
            found->second.isCancelled = incomingCancellations.contains(id);
            const bool isCancelled = found->second.isCancelled;
            step(state, found->second, bootNow(), actions);
            if (isCancelled) {
                step(state, job_cancelled {id}, bootNow(), actions);
            }
        }
        incomingJobs.clear();
        incomingProgress.clear();
        incomingCancellations.clear();
        requestPass();
    }

    void scheduleJobScan(instant at)
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(at - bootNow());
        jobScanTimer.once(std::max<std::chrono::milliseconds>(wait, 0ms), [this] {
            jobScan = {bootNow()};
            scanLiveJobs({});
        });
    }

    /// Scans the live jobs for jobs and cancellations of which no notice has reached this process.
    void scanLiveJobs(const std::string &from)
    {
        ++jobScan.readsLeft;
        runner.m_store.read({jobTable, shardPartition, from, "", 500}, readTimeout,
                            guarded([](session &self, const range_result &result) {
                                const bool isRead = result.outcome == store_outcome::done;
                                if (isRead) {
                                    std::ranges::for_each(result.rows,
                                                          [&self](const store_row &row) { self.checkLiveRow(row); });
                                }
                                if (isRead && result.hasMore && !result.rows.empty()) {
                                    self.scanLiveJobs(keyAfter(result.rows.back().place.key));
                                }
                                self.finishScanRead(isRead);
                            }));
    }

    void checkLiveRow(const store_row &row)
    {
        const auto key = parseLiveKey(row.place.key);
        if (!key || state.finishedJobs.contains(key->id)) {
            return;
        }
        const auto job = state.jobs.find(key->id);
        const bool isJobMissed =
            key->kind == live_row::job && job == state.jobs.end() && !acceptances.isSending(key->id);
        const bool isCancelMissed =
            key->kind == live_row::cancel && job != state.jobs.end() && !job->second.isCancelled;
        if (isJobMissed || isCancelMissed) {
            runner.m_log.write(
                "cell", "reconciled",
                {{"id", key->id}, {"version", std::to_string(row.version)}, {"cancel", isCancelMissed ? "1" : "0"}});
            ++jobScan.readsLeft;
            readJob(key->id, [](session &self, bool isRead) { self.finishScanRead(isRead); });
        }
    }

    /// Called after each read of a scan. After the last one the jobs that were stored before the scan are known, unless
    /// a read has failed.
    void finishScanRead(bool isRead)
    {
        jobScan.hasFailed = jobScan.hasFailed || !isRead;
        if (--jobScan.readsLeft > 0) {
            return;
        }
        if (jobScan.hasFailed) {
            scheduleJobScan(bootNow() + jobScanRetryDelay);
            return;
        }
        jobsScannedAt = jobScan.startedAt;
        scheduleJobScan(jobsScannedAt + jobScanInterval);
    }

    /// Schedules a pass that handles all messages of the next passDelay together.
    void requestPass()
    {
        if (isLoaded && !passTimer.isRunning()) {
            passTimer.once(passDelay, [this] { runPass(); });
        }
    }

    void runPass()
    {
        passTimer.stop();
        const auto now = bootNow();
        step(state, clock_ticked {timeOfDay(), runner.m_store.storeTime(), runner.m_links.adviceRoutes()}, now,
             actions);
        runSchedulingPass(state, now, actions);
        carryOut();
        if (now >= lastSummaryAt + summaryInterval) {
            lastSummaryAt = now;
            logSummary(now);
        }
        keepOwnership(now);
    }

    /// Renews and confirms the ownership when that is due, also while the stored state is being loaded: an owner whose
    /// confirmation has grown old hands over.
    void keepOwnership(instant now)
    {
        if (now >= renewedAt + renewalInterval && pendingCommits.empty()) {
            renew();
        }
        if (now >= state.confirmedAt + confirmInterval && !isConfirming) {
            confirm();
        }
    }

    /// Commits nothing but the renewal row, under the condition of ownership. This confirms the ownership, and shows
    /// the other processes that this one still runs.
    void renew()
    {
        commit({}, [](session &, const commit_result &) { });
    }

    // --- acceptance and cancellation

    void submit(const job_id &id, const std::string &row, stored_handler done)
    {
        if (state.jobs.contains(id) || state.finishedJobs.contains(id)) {
            done(store_outcome::conflict);
            return;
        }
        acceptances.add(id, row, std::move(done));
    }

    /// Adds a job whose row has just been committed, without reading it from the store.
    void addAcceptedJob(const std::string &row, row_version version)
    {
        step(state, job_arrived {decodeJob(row), {}, version, false}, bootNow(), actions);
        requestPass();
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
        cancelHandlers[id].push_back(std::move(done));
        step(state, job_cancelled {id}, bootNow(), actions);
        requestPass();
    }

    /// Commits under the condition of ownership, and rewrites the renewal row with it when that is due.
    void commit(store_transaction transaction, std::function<void(session &, const commit_result &)> done)
    {
        const auto sentAt = bootNow();
        transaction.conditions.push_back({ownerPlace(), state.takeOver.token});
        if (sentAt >= renewedAt + renewalInterval || transaction.writes.empty()) {
            renewedAt = sentAt;
            transaction.writes.push_back({renewalPlace(), "1"});
        }
        // The timeout grows with the commit time, so that a slow store doesn't get a commit for the second time while
        // the first one still waits in its queue.
        const auto timeout = std::clamp<std::chrono::milliseconds>(
            runner.m_store.smoothedCommitTime() * commitTimeFactor, minCommitTimeout, maxCommitTimeout);
        const auto number = ++lastCommitNumber;
        pendingCommits[number] = {sentAt, std::move(done)};
        runner.m_store.commit(transaction, timeout, guarded([number](session &self, const commit_result &result) {
                                  self.finishCommit(number, result);
                              }));
    }

    /// Handles the answer to a commit, unless the commit has been abandoned before.
    void finishCommit(std::uint64_t number, const commit_result &result)
    {
        const auto node = pendingCommits.extract(number);
        if (node.empty()) {
            return;
        }
        if (result.outcome == store_outcome::conflict && !hasOwnRow(result.currentRows)) {
            runner.m_links.ownershipLost("a write found another owner's row");
            return;
        }
        if (result.outcome == store_outcome::done) {
            step(state, ownership_confirmed {node.mapped().sentAt}, bootNow(), actions);
        }
        node.mapped().done(*this, result);
    }

    /// Called when a read that was sent at @p answeredSince has been answered. Unanswered commits that were sent long
    /// before it end as lost, since no answer to them is expected any more. All commits can safely be sent again
    /// because of their conditions.
    void abandonUnansweredCommits(instant answeredSince)
    {
        const auto timeout = std::max<std::chrono::milliseconds>(
            unansweredCommitTimeout, runner.m_store.smoothedCommitTime() * commitTimeFactor);
        std::vector<std::uint64_t> unanswered;
        for (const auto &[number, commit] : pendingCommits) {
            if (commit.sentAt + timeout <= answeredSince) {
                unanswered.push_back(number);
            }
        }
        for (const auto number : unanswered) {
            runner.m_log.write("cell", "commit-silent",
                               {{"ms", millisecondsText(bootNow() - pendingCommits.at(number).sentAt)}});
            finishCommit(number, {});
        }
    }

    /// True if @p rows contains the owner's row with the version under which this session began.
    bool hasOwnRow(const std::vector<store_row> &rows) const
    {
        const auto row = std::ranges::find(rows, ownerPlace(), &store_row::place);
        return row != rows.end() && row->version == state.takeOver.token;
    }

    /// Confirms the ownership by a read of the owner's row. Unlike a commit, a read doesn't wait in the partition's
    /// queue of writes.
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
                                if (!self.hasOwnRow(result.rows)) {
                                    self.runner.m_links.ownershipLost("a read found another owner's row");
                                    return;
                                }
                                step(self.state, ownership_confirmed {sentAt}, bootNow(), self.actions);
                                self.abandonUnansweredCommits(sentAt);
                            }));
    }

    template<typename message>
    auto forwardAnswer()
    {
        return guarded([](session &self, const message &answer) {
            step(self.state, answer, bootNow(), self.actions);
            self.requestPass();
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
                        runner.m_workers.start(order, state.takeOver.token, startTimeout,
                                               forwardAnswer<start_answered>());
                    },
                    [this](const send_stop &order) {
                        runner.m_workers.stop(order, state.takeOver.token, stopTimeout, forwardAnswer<stop_answered>());
                    },
                    [this](const send_list &order) {
                        runner.m_workers.list(order, state.takeOver.token, order.timeout,
                                              forwardAnswer<list_answered>());
                    },
                    [this](const ask_advice &request) {
                        runner.m_links.askAdvice(request, forwardAnswer<advice_answered>());
                    },
                    [this](const commit_rows &rows) {
                        commit(rows.transaction, [number = rows.number](session &self, const commit_result &result) {
                            const auto sequence = result.outcome == store_outcome::done
                                ? result.version
                                : versionOf(result.currentRows, commitSequencePlace());
                            step(self.state, commit_answered {number, result.outcome, sequence}, bootNow(),
                                 self.actions);
                            self.requestPass();
                        });
                    },
                    [this](const report_placed &report) { handleReport(report); },
                    [this](const report_ended &report) { handleReport(report); },
                    [this](const report_job_end &report) { handleReport(report); },
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

    void logSummary(instant now)
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
                            {"unresolved", std::to_string(summary.unreconciled)},
                            {"used", std::to_string(summary.usedCores)},
                            {"offered", std::to_string(summary.offeredCores)},
                            {"confirmed_ms", millisecondsText(now - state.confirmedAt)}});
    }

    void handleReport(const report_placed &report)
    {
        runner.m_measures.observe("primrosecroft_task_wait_seconds", "kind", "placed", report.waited);
        runner.m_log.write("cell", "placed",
                           {{"task", toString(report.run.task)},
                            {"attempt", std::to_string(report.run.attempt)},
                            {"worker", report.worker},
                            {"waited_ms", std::to_string(report.waited.count())}});
    }

    void handleReport(const report_ended &report)
    {
        runner.m_measures.count("primrosecroft_runs_ended", "how", report.how);
        if (report.how == "done") {
            return; // the log line of the job covers it
        }
        runner.m_log.write("cell", "ended",
                           {{"task", toString(report.run.task)},
                            {"attempt", std::to_string(report.run.attempt)},
                            {"worker", report.worker},
                            {"how", report.how}});
    }

    void handleReport(const report_job_end &report)
    {
        if (auto node = cancelHandlers.extract(report.id)) {
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
        return; // the next owner reads the job with all other rows
    }
    if (!m_session->isLoaded) {
        m_session->earlyNotices.emplace_back(id, cancelled); // may be newer than the rows that are being read
        return;
    }
    if (!m_session->state.jobs.contains(id)) {
        m_session->readJob(id);
        return;
    }
    if (cancelled) {
        step(m_session->state, job_cancelled {id}, bootNow(), m_session->actions);
        m_session->requestPass();
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

instant cell_runner::countsHoldAsOf() const
{
    if (!m_session) {
        return {};
    }
    return primrosecroft::countsHoldAsOf(m_session->state.confirmedAt, m_session->jobsScannedAt, jobScanInterval);
}

} // namespace primrosecroft
