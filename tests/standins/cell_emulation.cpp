#include "cell_emulation.h"

#include "cell/detail/cell_parts.h"
#include "core/overloaded.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto stepTime = 10ms; ///< of virtual time between two looks
constexpr auto orderDelay = 2ms;
constexpr auto storeDelay = 8ms;
constexpr auto announceTime = 800ms; ///< between two announcements of a worker
constexpr auto lateLeast = 2'000; ///< milliseconds until an order without an answer is carried out
constexpr auto lateMost = 12'000;

struct emulated_worker
{
    executor_emulator executor;
    instant cutUntil;
    bool refuses = false; ///< while it is cut
    instant downUntil; ///< crashed; it comes back as a new boot
    bool isDown = false;
    worker_description announced; ///< as the platform lists it, which lags
    instant nextAnnouncement;
};

struct emulated_process
{
    process_id name;
    std::int64_t incarnation = 0;
    leadership_state leadership;
    std::unique_ptr<cell_state> cell;
    row_version token = 0;
    instant frozenUntil;
    instant downUntil;
    bool isDown = false;
    bool isCut = false; ///< from the store
    instant cutUntil;
    std::uint64_t session = 0; ///< answers to an earlier one are dropped
    instant nextConfirm;
    bool isConfirming = false;
};

struct known_task
{
    bool isDone = false; ///< a worker has listed a good end that was noted
    std::set<std::uint32_t> failed; ///< noted
};

} // namespace

struct cell_emulation::parts
{
    parts(const emulation_settings &own, cell_emulation &outer)
        : settings(own)
        , emulation(outer)
        , random(own.seed)
    {
        for (std::size_t i = 0; i < settings.workers; ++i) {
            worker_description worker;
            worker.id = "w" + std::to_string(i);
            worker.boot = 1;
            worker.address = "10.0.0." + std::to_string(i) + ":80";
            worker.pool = "pool";
            worker.labels = {"a", "rack" + std::to_string(i / 2)};
            worker.capacity = {8'000, 16'000, 0};
            workers.push_back({executor_emulator(worker, i % 2 == 0 ? 1.0 : 0.98), {}, false, {}, false, worker, {}});
        }
        for (std::size_t i = 0; i < settings.processes; ++i) {
            processes.push_back({});
            startProcess(i);
        }
    }

    // --- time

    void at(instant when, std::function<void()> what)
    {
        events.emplace(when, std::move(what));
    }

    void runUntil(instant end)
    {
        while (now < end && violation.empty()) {
            const auto next = now + stepTime;
            while (!events.empty() && events.begin()->first <= next && violation.empty()) {
                auto node = events.extract(events.begin());
                now = std::max(now, node.key());
                node.mapped()();
            }
            now = next;
            store.now += stepTime;
            for (auto &worker : workers) {
                advance(worker);
            }
            for (std::size_t i = 0; i < processes.size(); ++i) {
                tick(i);
            }
            check();
        }
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    std::int64_t pick(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    }

    // --- workers

    void advance(emulated_worker &worker)
    {
        if (worker.isDown) {
            if (now >= worker.downUntil) {
                worker.isDown = false;
                worker.executor.reboot(worker.executor.described().boot + 1);
                worker.executor.described().capacity.milliCores = chance(0.5) ? 8'000 : 4'000; // of another kind
            }
            return;
        }
        worker.executor.advance(stepTime);
        if (now >= worker.nextAnnouncement) {
            worker.nextAnnouncement = now + announceTime;
            worker.announced = worker.executor.described();
        }
    }

    emulated_worker *find(const worker_id &id)
    {
        const auto found =
            std::ranges::find(workers, id, [](const auto &each) { return each.executor.described().id; });
        return found == workers.end() ? nullptr : &*found;
    }

    bool isReachable(const emulated_worker &worker) const
    {
        return !worker.isDown && now >= worker.cutUntil;
    }

    row_version seenToken(row_version token) const
    {
        return settings.mutation == disabled_rule::fencing ? 1 : token;
    }

    /// Carries an order to a worker, perhaps late, perhaps without an answer.
    template<typename answer>
    void order(std::size_t process, const worker_id &id, const answer &lost,
               const std::function<answer(emulated_worker &)> &carryOut)
    {
        const auto session = processes[process].session;
        const auto reply = [this, process, session](const answer &message) {
            at(now + orderDelay, [this, process, session, message] { deliver(process, session, message); });
        };
        const auto losesAnswer = isTroubled() && chance(0.03 * settings.faultScale);
        if (losesAnswer && chance(0.6)) {
            const auto delay = std::chrono::milliseconds(pick(lateLeast, lateMost));
            at(now + delay, [this, id, carryOut] {
                auto *worker = find(id);
                if (worker != nullptr && isReachable(*worker)) {
                    carryOut(*worker);
                }
            });
        }
        at(now + orderDelay, [this, id, lost, carryOut, reply, losesAnswer] {
            auto *worker = find(id);
            if (!losesAnswer && worker != nullptr && worker->refuses && now < worker->cutUntil) {
                auto refused = lost;
                refused.result = order_result::unreachable;
                reply(refused);
                return;
            }
            if (losesAnswer || worker == nullptr || !isReachable(*worker)) {
                at(now + 600ms, [reply, lost] { reply(lost); });
                return;
            }
            reply(carryOut(*worker));
        });
    }

    template<typename message>
    void deliver(std::size_t process, std::uint64_t session, const message &answer)
    {
        auto &own = processes[process];
        if (now < own.frozenUntil) {
            at(own.frozenUntil, [this, process, session, answer] { deliver(process, session, answer); });
            return;
        }
        if (own.session == session && own.cell) {
            feed(process, answer);
        }
    }

    // --- the store

    bool storeServes(const emulated_process &process) const
    {
        return now >= storeDownUntil && !(process.isCut && now < process.cutUntil);
    }

    void commit(std::size_t process, store_transaction transaction, std::function<void(commit_result)> done)
    {
        const auto session = processes[process].session;
        const auto reply = [this, process, session, done = std::move(done)](const commit_result &result) {
            reach(process, session, [done, result] { done(result); });
        };
        at(now + storeDelay, [this, process, transaction = std::move(transaction), reply] {
            if (!storeServes(processes[process])) {
                at(now + 900ms, [reply] { reply({}); });
                return;
            }
            const bool isLost = isTroubled() && chance(0.05 * settings.faultScale);
            if (isLost && chance(0.5)) {
                at(now + std::chrono::milliseconds(pick(1'000, 6'000)),
                   [this, transaction] { store.commit(transaction); });
                at(now + 900ms, [reply] { reply({}); });
                return;
            }
            const auto result = store.commit(transaction);
            if (isLost) {
                at(now + 900ms, [reply] { reply({}); });
                return;
            }
            reply(result);
        });
    }

    /// From a callback on the way to a process: when it wakes, if it still is the one that asked.
    void reach(std::size_t process, std::uint64_t session, const std::function<void()> &what)
    {
        at(std::max(now + storeDelay, processes[process].frozenUntil), [this, process, session, what] {
            if (now < processes[process].frozenUntil) {
                reach(process, session, what);
            } else if (processes[process].session == session && !processes[process].isDown) {
                what();
            }
        });
    }

    // --- processes

    void startProcess(std::size_t index)
    {
        auto &process = processes[index];
        process.name = "p" + std::to_string(index);
        process.incarnation = ++lastIncarnation;
        leadership_settings own;
        own.process = process.name;
        own.incarnation = process.incarnation;
        process.leadership = makeLeadership(own, now);
        process.cell.reset();
        process.isDown = false;
        ++process.session;
    }

    void tick(std::size_t index)
    {
        auto &process = processes[index];
        if (process.isDown) {
            if (now >= process.downUntil) {
                startProcess(index);
            }
            return;
        }
        if (now < process.frozenUntil) {
            return;
        }
        if (now >= nextBeat[index]) {
            nextBeat[index] = now + 200ms;
            hearOwner(index);
            lead(index, leadership_tick {});
        }
        if (process.cell) {
            step(*process.cell, clock_ticked {std::chrono::milliseconds(1'700'000'000'000) + elapsed(), store.now, 3},
                 now, actions);
            runSchedulingPass(*process.cell, now, actions);
            carryOut(index);
            confirm(index);
        }
        if (process.cell) {
            reconcile(index);
        }
    }

    /// What nobody told the owner of is found in the store.
    void reconcile(std::size_t index)
    {
        if (now < nextReconcile) {
            return;
        }
        nextReconcile = now + 2s;
        std::vector<job_arrived> unknown;
        for (const auto &[place, row] : store.rows()) {
            const auto key = place.table == jobTable ? parseLiveKey(place.key) : std::nullopt;
            if (key && key->kind == live_row::job && !processes[index].cell->jobs.contains(key->id)) {
                unknown.push_back({decodeJob(row.value), {}, row.version, false});
            }
        }
        for (const auto &job : unknown) {
            feed(index, job);
        }
    }

    /// A process that lives and owns answers others at once.
    void hearOwner(std::size_t index)
    {
        auto &process = processes[index];
        if (process.leadership.owns || !process.leadership.owner) {
            return;
        }
        const auto &owner = *process.leadership.owner;
        const auto found = std::ranges::find(processes, owner.process, &emulated_process::name);
        if (found == processes.end() || found->isDown) {
            lead(index, owner_connection_refused {});
        } else if (found->leadership.owns && now >= found->frozenUntil) {
            lead(index, owner_answer_received {owner.process, found->leadership.version});
        }
    }

    void lead(std::size_t index, const leadership_message &message)
    {
        auto &process = processes[index];
        for (const auto &action : step(process.leadership, message, now)) {
            std::visit(overloaded {
                           [&](const poll_owner &) { look(index); },
                           [&](const take_ownership &taking) { take(index, taking); },
                           [&](const begin_ownership &beginning) { begin(index, beginning); },
                           [&](const end_ownership &) {
                               process.cell.reset();
                               ++process.session;
                           },
                           [](const write_resignation &) {},
                           [](const report_owner &) {},
                       },
                       action);
        }
    }

    void look(std::size_t index)
    {
        const auto session = processes[index].session;
        at(now + storeDelay, [this, index, session] {
            owner_poll_answered seen;
            seen.storeRoundTrip = storeDelay;
            if (storeServes(processes[index])) {
                seen.outcome = store_outcome::done;
                if (const auto row = store.rows().find(ownerPlace()); row != store.rows().end()) {
                    seen.row = decodeOwner(row->second.value);
                    seen.version = row->second.version;
                }
                if (const auto row = store.rows().find(renewalPlace()); row != store.rows().end()) {
                    seen.renewal = row->second.version;
                }
            }
            reach(index, session, [this, index, seen] {
                takenSince[index] = now - 2 * storeDelay;
                lead(index, seen);
            });
        });
    }

    void take(std::size_t index, const take_ownership &taking)
    {
        const auto sentAt = now;
        commit(index, {{{ownerPlace(), taking.expected}}, {{ownerPlace(), encodeOwner(taking.row)}}, {}},
               [this, index, sentAt](const commit_result &result) {
                   takenSince[index] = sentAt;
                   lead(index, take_over_answered {result.outcome, result.version});
               });
    }

    void begin(std::size_t index, const begin_ownership &beginning)
    {
        auto &process = processes[index];
        ++process.session;
        process.token = beginning.token;
        cell_take_over takeOver;
        takeOver.token = beginning.token;
        takeOver.term = beginning.term;
        takeOver.takenAt = now;
        process.cell = std::make_unique<cell_state>(makeCell({}, takeOver));
        process.cell->confirmedAt = takenSince[index];
        if (const auto chain = store.rows().find(commitSequencePlace()); chain != store.rows().end()) {
            process.cell->commitSequence = chain->second.version;
        }
        if (const auto book = store.rows().find(contactedWorkersPlace()); book != store.rows().end()) {
            process.cell->contactedWorkers = decodeContactedWorkers(book->second.value);
            process.cell->unreconciledWorkers = process.cell->contactedWorkers;
        }
        if (settings.mutation == disabled_rule::inDoubtAfterTakeOver) {
            process.cell->unreconciledWorkers.clear();
        }
        std::map<job_id, job_arrived> stored;
        for (const auto &[place, row] : store.rows()) {
            const auto key = place.table == jobTable ? parseLiveKey(place.key) : std::nullopt;
            if (!key) {
                continue;
            }
            auto &job = stored[key->id];
            if (key->kind == live_row::job) {
                job.job = decodeJob(row.value);
                job.version = row.version;
            } else if (key->kind == live_row::progress) {
                job.progress = decodeProgress(row.value);
            } else {
                job.cancelled = true;
            }
        }
        for (const auto &[id, job] : stored) {
            if (job.version != 0) {
                step(*process.cell, job, now, actions);
            }
        }
        carryOut(index);
    }

    void confirm(std::size_t index)
    {
        auto &process = processes[index];
        for (const auto &worker : workers) {
            if (process.cell && !worker.isDown) {
                step(*process.cell, worker_listed {worker.announced}, now, actions);
            }
        }
        if (now < process.nextConfirm || process.isConfirming) {
            return;
        }
        process.nextConfirm = now + 300ms;
        process.isConfirming = true;
        ownedCommit(index, {{}, {{renewalPlace(), "1"}}, {}},
                    [this, index](const commit_result &) { processes[index].isConfirming = false; });
        at(now + 1'000ms, [this, index] { processes[index].isConfirming = false; });
    }

    bool isOwnRow(std::size_t index, const std::vector<store_row> &found) const
    {
        return settings.mutation == disabled_rule::ownershipCondition
            || versionOf(found, ownerPlace()) == processes[index].token;
    }

    void ownedCommit(std::size_t index, store_transaction transaction, std::function<void(const commit_result &)> done)
    {
        const auto sentAt = now;
        if (settings.mutation == disabled_rule::commitSequence
            || settings.mutation == disabled_rule::ownershipCondition) {
            std::erase_if(transaction.conditions, [](const auto &each) { return each.place == commitSequencePlace(); });
        }
        if (settings.mutation != disabled_rule::ownershipCondition) {
            transaction.conditions.push_back({ownerPlace(), processes[index].token});
        }
        commit(index, std::move(transaction),
               [this, index, sentAt, done = std::move(done)](const commit_result &result) {
                   if (result.outcome == store_outcome::conflict && !isOwnRow(index, result.currentRows)) {
                       lead(index, ownership_lost {});
                       return;
                   }
                   if (result.outcome == store_outcome::done) {
                       feed(index, ownership_confirmed {sentAt});
                   }
                   done(result);
               });
    }

    template<typename message>
    void feed(std::size_t index, const message &answer)
    {
        if (processes[index].cell) {
            step(*processes[index].cell, answer, now, actions);
            carryOut(index);
        }
    }

    void carryOut(std::size_t index)
    {
        const auto token = seenToken(processes[index].token);
        for (const auto &action : std::exchange(actions, {})) {
            std::visit(overloaded {
                           [&](const send_start &one) { sendStart(index, one, token); },
                           [&](const send_stop &one) {
                               order<stop_answered>(
                                   index, one.worker, {one.worker, one.boot, one.run, order_result::lost, now},
                                   [one, token, sentAt = now](emulated_worker &worker) {
                                       return stop_answered {one.worker, one.boot, one.run,
                                                             worker.executor.stop(one.run, token), sentAt};
                                   });
                           },
                           [&](const send_list &one) { sendList(index, one, token); },
                           [&](const commit_rows &rows) {
                               ownedCommit(index, rows.transaction, [this, index, rows](const commit_result &result) {
                                   const auto chain = result.outcome == store_outcome::done
                                       ? result.version
                                       : versionOf(result.currentRows, commitSequencePlace());
                                   feed(index, commit_answered {rows.number, result.outcome, chain});
                               });
                           },
                           [&](const report_fenced &) { lead(index, ownership_lost {}); },
                           [](const auto &) {},
                       },
                       action);
            if (!processes[index].cell) {
                actions.clear();
                return;
            }
        }
    }

    void sendStart(std::size_t index, send_start one, row_version token)
    {
        if (settings.mutation == disabled_rule::leaseFromConfirmation) {
            if (const auto *worker = find(one.worker)) {
                one.deadline = worker->executor.clock() + 6'000ms;
            }
        }
        start_answered lost {one.worker, one.boot, one.run, order_result::lost, now};
        if (settings.mutation == disabled_rule::stopBeforeRestart) {
            lost.result = order_result::noCapacity;
        }
        order<start_answered>(index, one.worker, lost, [this, one, token, sentAt = now](emulated_worker &worker) {
            start_answered answer {one.worker, one.boot, one.run, order_result::lost, sentAt};
            answer.result = started(worker, one, token);
            return answer;
        });
    }

    void sendList(std::size_t index, send_list one, row_version token)
    {
        list_answered lost;
        lost.worker = one.worker;
        lost.sentAt = now;
        if (settings.mutation == disabled_rule::acknowledgeAfterCommit && processes[index].cell) {
            one.acknowledgedEnd = processes[index].cell->workers.at(one.worker).processedEnd;
        }
        if (settings.mutation == disabled_rule::leaseFromConfirmation && one.deadline) {
            if (const auto *worker = find(one.worker)) {
                one.deadline = worker->executor.clock() + 6'000ms;
            }
        }
        order<list_answered>(index, one.worker, lost, [this, one, token, sentAt = now](emulated_worker &worker) {
            if (one.boot != 0 && one.boot != worker.executor.described().boot) {
                list_answered other;
                other.worker = one.worker;
                other.sentAt = sentAt;
                other.result = order_result::bootMismatch;
                return other;
            }
            auto answer = worker.executor.list(one.deadline, one.acknowledgedEnd, token);
            answer.sentAt = sentAt;
            noteEnds(worker);
            return answer;
        });
    }

    // --- checks, from what workers see

    order_result started(emulated_worker &worker, const send_start &one, row_version token)
    {
        const auto job = jobs.find(one.run.task.job);
        if (job == jobs.end()) {
            violation = "a task of a job that nobody submitted starts: " + toString(one.run.task);
            return order_result::invalid;
        }
        const auto &step = job->second.spec.steps[static_cast<std::size_t>(one.run.task.step)];
        worker.executor.sizes[one.run.task] = step.size;
        const auto before = worker.executor.running();
        const auto result = worker.executor.start(one, token, behaviourOf(one.run, step));
        if (emulation.onTrace) {
            emulation.onTrace("start " + toString(one.run.task) + " attempt " + std::to_string(one.run.attempt) + " at "
                              + one.worker + " token " + std::to_string(token) + " result "
                              + std::to_string(static_cast<int>(result)) + " deadline "
                              + std::to_string(one.deadline.count()) + " clock "
                              + std::to_string(worker.executor.clock().count()));
        }
        if (result == order_result::done && !before.contains(one.run)) {
            checkStart(one.run, step);
        }
        return result;
    }

    task_behaviour behaviourOf(const run_id &run, const step_spec &step) const
    {
        if (emulation.behaviour) {
            return emulation.behaviour(run, step);
        }
        return {step.estimate, false, step.isService, 0};
    }

    void noteEnds(emulated_worker &worker)
    {
        for (const auto &each : worker.executor.ends()) {
            if (!each.noted) {
                continue;
            }
            auto &task = tasks[each.end.run.task];
            if (emulation.onTrace && each.end.how == run_end::done && !task.isDone) {
                emulation.onTrace("acknowledged " + toString(each.end.run.task) + " attempt "
                                  + std::to_string(each.end.run.attempt) + " at " + worker.executor.described().id);
            }
            task.isDone = task.isDone || each.end.how == run_end::done;
            if (each.end.how == run_end::failed) {
                task.failed.insert(each.end.run.attempt);
            }
        }
    }

    void checkStart(const run_id &run, const step_spec &step)
    {
        const auto &job = jobs.at(run.task.job);
        const auto found = tasks.find(run.task);
        if (found != tasks.end() && found->second.isDone) {
            violation = "started again after its good end was noted: " + toString(run.task);
        }
        if (found != tasks.end() && !step.isService
            && static_cast<std::int32_t>(found->second.failed.size()) >= job.queue.maxFailures) {
            violation = "started beyond its budget: " + toString(run.task);
        }
        for (const auto before : step.after) {
            const auto count = job.spec.steps[static_cast<std::size_t>(before)].count;
            for (std::int32_t index = 0; index < count; ++index) {
                if (!hasEnded({run.task.job, run.task.occurrence, before, index})) {
                    violation = "started before the step before it ended: " + toString(run.task);
                }
            }
        }
    }

    bool hasEnded(const task_ref &task) const
    {
        return std::ranges::any_of(workers, [&](const emulated_worker &worker) {
            return std::ranges::any_of(worker.executor.ends(), [&](const auto &each) {
                return each.end.run.task == task && each.end.how == run_end::done;
            });
        });
    }

    void check()
    {
        std::set<task_ref> seen;
        for (const auto &worker : workers) {
            if (worker.isDown) {
                continue;
            }
            for (const auto &run : worker.executor.running()) {
                if (!seen.insert(run.task).second) {
                    violation = "two runs at once of " + toString(run.task);
                }
            }
            if (!fits(worker.executor.used(), worker.executor.described().capacity)) {
                violation = "over its capacity: " + worker.executor.described().id;
            }
        }
        for (const auto &[place, row] : store.rows()) {
            if (place.table == endedTable && checkedEnds.insert(place.key).second) {
                checkEnd(place.key, decodeEnded(row.value).status);
            }
        }
    }

    void checkEnd(const job_id &id, job_status status)
    {
        const auto &job = jobs.at(id);
        if (status != job_status::complete) {
            return;
        }
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            for (std::int32_t index = 0; index < job.spec.steps[step].count; ++index) {
                if (!hasEnded({id, 0, static_cast<std::int32_t>(step), index})) {
                    violation = "shown as complete with a task that hasn't ended: " + id;
                }
            }
        }
    }

    // --- faults

    bool isTroubled() const
    {
        return elapsed() < settings.faultPeriod;
    }

    std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - begun);
    }

    std::size_t ownerIndex() const
    {
        const auto found = std::ranges::find_if(processes, [](const auto &each) { return each.leadership.owns; });
        return static_cast<std::size_t>(found - processes.begin());
    }

    void kill(std::size_t index, std::chrono::milliseconds span)
    {
        if (index < processes.size()) {
            processes[index].isDown = true;
            processes[index].downUntil = now + span;
            processes[index].cell.reset();
            processes[index].leadership.owns = false;
            ++processes[index].session;
        }
    }

    void drawFault()
    {
        const auto span = std::chrono::milliseconds(pick(300, 9'000));
        const auto process = chance(0.6)
            ? ownerIndex()
            : static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(processes.size()) - 1));
        const auto worker = static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(workers.size()) - 1));
        const auto kind = pick(0, 6);
        if (emulation.onTrace) {
            emulation.onTrace("fault " + std::to_string(kind) + " process " + std::to_string(process) + " worker "
                              + std::to_string(worker) + " for " + std::to_string(span.count()));
        }
        switch (kind) {
        case 0:
            kill(process, span);
            break;
        case 1:
            if (process < processes.size()) {
                processes[process].frozenUntil = now + span;
            }
            break;
        case 2:
        case 6:
            workers[worker].cutUntil = now + span;
            workers[worker].refuses = kind == 6;
            break;
        case 3:
            if (!workers[worker].isDown) {
                workers[worker].isDown = true;
                workers[worker].downUntil = now + span;
            }
            break;
        case 4:
            storeDownUntil = now + std::min<std::chrono::milliseconds>(span, 5'000ms);
            break;
        default:
            if (process < processes.size()) {
                processes[process].isCut = true;
                processes[process].cutUntil = now + span;
            }
            break;
        }
    }

    void submit(const accepted_job &job)
    {
        jobs[job.id] = job;
        const auto result = store.commit(acceptance(job.id, encodeJob(job)));
        if (result.outcome != store_outcome::done) {
            return;
        }
        const auto owner = ownerIndex();
        if (owner < processes.size() && now >= processes[owner].frozenUntil) {
            deliver(owner, processes[owner].session, job_arrived {job, {}, result.version, false});
        } else {
            at(now + 500ms, [this, id = job.id] { notice(id); });
        }
    }

    /// Until an owner has been told.
    void notice(const job_id &id)
    {
        const auto owner = ownerIndex();
        if (owner >= processes.size() || now < processes[owner].frozenUntil) {
            at(now + 500ms, [this, id] { notice(id); });
            return;
        }
        const auto row = store.rows().find(jobPlace(id));
        if (row != store.rows().end()) {
            deliver(owner, processes[owner].session,
                    job_arrived {decodeJob(row->second.value), {}, row->second.version, false});
        }
    }

    emulation_settings settings;
    cell_emulation &emulation;
    std::mt19937_64 random;
    instant now {std::chrono::seconds(1'000)};
    instant begun {std::chrono::seconds(1'000)};
    std::multimap<instant, std::function<void()>> events;
    store_emulator store;
    std::vector<emulated_worker> workers;
    std::vector<emulated_process> processes;
    std::map<std::size_t, instant> nextBeat;
    std::map<std::size_t, instant> takenSince;
    std::map<job_id, accepted_job> jobs;
    std::map<task_ref, known_task> tasks;
    std::set<job_id> checkedEnds;
    std::vector<cell_action> actions;
    std::int64_t lastIncarnation = 0;
    instant nextReconcile;
    instant storeDownUntil;
    std::string violation;
};

cell_emulation::cell_emulation(const emulation_settings &settings)
    : m_parts(std::make_unique<parts>(settings, *this))
{
}

cell_emulation::~cell_emulation() = default;

std::string cell_emulation::run()
{
    auto &own = *m_parts;
    for (std::size_t i = 0; i < own.settings.jobs; ++i) {
        accepted_job job;
        job.id = "job" + std::to_string(i);
        job.queue = {"queue", "pool", 0, 3, 2, 500ms, std::nullopt};
        const auto steps = own.pick(1, 3);
        for (std::int64_t number = 0; number < steps; ++number) {
            step_spec step;
            step.count = static_cast<std::int32_t>(own.pick(1, 5));
            step.size = {own.pick(500, 4'000), own.pick(100, 4'000), 0};
            step.estimate = std::chrono::milliseconds(own.pick(100, 5'000));
            if (number > 0) {
                step.after = {static_cast<std::int32_t>(number - 1)};
            }
            job.spec.steps.push_back(step);
        }
        own.at(own.begun + std::chrono::milliseconds(own.pick(500, own.settings.faultPeriod.count())),
               [&own, job] { own.submit(job); });
    }
    const auto faults = static_cast<int>(own.settings.faultScale * 6);
    for (int i = 0; i < faults; ++i) {
        own.at(own.begun + std::chrono::milliseconds(own.pick(1'000, own.settings.faultPeriod.count())),
               [&own] { own.drawFault(); });
    }
    own.runUntil(own.begun + own.settings.totalTime);
    if (own.violation.empty()) {
        const auto open = std::ranges::find_if(own.jobs, [this](const auto &job) { return !storedEnd(job.first); });
        if (open != own.jobs.end()) {
            own.violation = "not ended long after all trouble: " + open->first;
        }
    }
    return own.violation;
}

void cell_emulation::submit(const accepted_job &job)
{
    m_parts->submit(job);
}

void cell_emulation::cancel(const job_id &id)
{
    const auto owner = m_parts->ownerIndex();
    m_parts->store.put(cancelPlace(id), "1");
    if (owner < m_parts->processes.size()) {
        m_parts->deliver(owner, m_parts->processes[owner].session, job_cancelled {id});
    }
}

void cell_emulation::killOwner(std::chrono::milliseconds downFor)
{
    m_parts->kill(m_parts->ownerIndex(), downFor);
}

void cell_emulation::freezeOwner(std::chrono::milliseconds span)
{
    const auto owner = m_parts->ownerIndex();
    if (owner < m_parts->processes.size()) {
        m_parts->processes[owner].frozenUntil = m_parts->now + span;
    }
}

void cell_emulation::disconnectWorker(std::size_t worker, std::chrono::milliseconds span)
{
    m_parts->workers.at(worker).cutUntil = m_parts->now + span;
}

void cell_emulation::refuseConnections(std::size_t worker, std::chrono::milliseconds span)
{
    disconnectWorker(worker, span);
    m_parts->workers.at(worker).refuses = true;
}

void cell_emulation::rebootWorker(std::size_t worker, std::int64_t milliCores)
{
    auto &executor = m_parts->workers.at(worker).executor;
    executor.reboot(executor.described().boot + 1);
    executor.described().capacity.milliCores = milliCores;
}

void cell_emulation::stopStore(std::chrono::milliseconds span)
{
    m_parts->storeDownUntil = m_parts->now + span;
}

void cell_emulation::runFor(std::chrono::milliseconds span)
{
    m_parts->runUntil(m_parts->now + span);
}

std::optional<job_status> cell_emulation::storedEnd(const job_id &id) const
{
    const auto row = m_parts->store.rows().find(endedPlace(id));
    return row == m_parts->store.rows().end() ? std::nullopt : std::optional(decodeEnded(row->second.value).status);
}

std::string cell_emulation::violation() const
{
    return m_parts->violation;
}

std::string cell_emulation::owner() const
{
    const auto index = m_parts->ownerIndex();
    return index < m_parts->processes.size() ? m_parts->processes[index].name : std::string();
}

std::string cell_emulation::explain(const job_id &id) const
{
    const auto index = m_parts->ownerIndex();
    if (index >= m_parts->processes.size() || !m_parts->processes[index].cell) {
        return "no owner";
    }
    const auto &state = *m_parts->processes[index].cell;
    std::string text = m_parts->processes[index].name + " term " + std::to_string(state.takeOver.term) + ": "
        + explainWaiting(state, id, m_parts->now);
    if (const auto job = state.jobs.find(id); job != state.jobs.end()) {
        for (const auto &[number, occurrence] : job->second.occurrences) {
            for (const auto &step : occurrence.steps) {
                text +=
                    "; step ready " + std::to_string(step.isReady ? 1 : 0) + " done " + std::to_string(step.doneCount);
                for (const auto &task : step.tasks) {
                    for (const auto &run : task.runs) {
                        text += " [" + run.worker + " attempt " + std::to_string(run.attempt) + " phase "
                            + std::to_string(static_cast<int>(run.phase)) + " stop " + std::to_string(run.isStopWanted)
                            + std::to_string(run.isStopPending) + std::to_string(run.stopConfirmedAt != instant {})
                            + "]";
                    }
                }
            }
        }
    }
    for (const auto &[name, worker] : state.workers) {
        text += "; " + name + " boot " + std::to_string(worker.description.boot) + " listing "
            + std::to_string(worker.isListPending) + " silent " + std::to_string(worker.isUnresponsive) + " usable "
            + std::to_string(detail::mayStartOn(state, worker, m_parts->now)) + " used "
            + std::to_string(worker.used.milliCores) + " strangers " + std::to_string(worker.unknownRuns.size());
    }
    return text;
}

std::chrono::milliseconds cell_emulation::elapsed() const
{
    return m_parts->elapsed();
}

} // namespace primrosecroft
