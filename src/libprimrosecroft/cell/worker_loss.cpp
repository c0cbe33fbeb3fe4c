#include "cell/detail/worker_loss.h"

#include "cell/detail/trials.h"
#include "cell/detail/unsettled_losses.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t provenBeforeBlame = 2; ///< silence proves nothing, and one crash may have any other reason
constexpr std::uint32_t maxSoonLosses = 4; ///< whatever else may have been why
constexpr std::uint32_t maxLosses = 5; ///< likewise, with those lost later
constexpr std::uint32_t maxProven = 4; ///< likewise, with those lost in waves
/// Other workers that are lost at about the same time in a wave: at least, and as a share of all workers.
constexpr std::int64_t minWave = 3;
constexpr double minWaveShare = 0.02;
constexpr std::uint32_t lossesBeforePause = 2; ///< each further one keeps the task from starting for longer
constexpr auto lossPause = 2'000ms;
constexpr auto maxLossPause = 4'000ms;
/// So many workers of which it isn't known whether they have ended keep a task from starting until one of them answers.
/// A crashed worker is back after some seconds; one that isn't may be gone for good, so the task starts in the end.
constexpr std::uint32_t unprovenBeforeHold = 3;
constexpr auto unprovenHold = 10'000ms; ///< twice as long after each further one
constexpr std::uint32_t maxHoldDoublings = 3;
constexpr auto answerDelay = 20ms; ///< a worker's answer may arrive this long after it went down
constexpr std::size_t maxRecentLosses = 1'000; ///< the latest ones that are remembered

std::string toString(worker_loss how)
{
    switch (how) {
    case worker_loss::restarted:
        return "restarted";
    case worker_loss::unlisted:
        return "unlisted";
    case worker_loss::silent:
        return "silent";
    }
    return "";
}

/// A task with runs on a lost worker.
struct lost_task
{
    task_view view;
    task_ref ref;
    std::uint32_t attempt = 0; ///< of its first run there
    bool isSuspect = false;
    bool isTrial = false;
    bool isCounted = false; ///< one of its runs there was counted ahead
    std::vector<task_run *> runs {}; ///< its runs there
    task_run *refused = nullptr; ///< the one for which the loss is counted ahead because the worker refuses connections
    bool isLong = false; ///< one of them had run for longer than any trial
};

/// The tasks with runs on the worker, those of ended jobs too, since they may be why it was lost.
std::vector<lost_task> tasksOn(cell_state &state, const worker_state &worker, instant now)
{
    std::map<task_ref, lost_task> tasks;
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr) {
            continue;
        }
        auto &task = tasks.try_emplace(id.task, lost_task {*view, id.task, id.attempt}).first->second;
        task.runs.push_back(run);
        if (!isSurvived(worker, *run)) {
            task.isSuspect = true;
            task.isTrial = task.isTrial || (run->isTrial && run->phase == run_phase::running);
        }
        task.isCounted = task.isCounted || run->isCounted;
        task.refused = run->refusalCount != nullptr ? run : task.refused;
        task.isLong = task.isLong || hasOutlastedTrials(*run, now);
    }
    const auto values = std::views::values(tasks);
    return {values.begin(), values.end()};
}

/// Compares all but what is proven.
bool hasSameLosses(const lost_workers &left, const lost_workers &right)
{
    return left.soon == right.soon && left.alone == right.alone && left.later == right.later;
}

/// Returns whether workers were lost under runs of the task before, though they had survived this one.
bool hadLossBefore(const lost_task &task)
{
    return !task.isSuspect && !hasSameLosses(task.view.task->losses.counts, {});
}

bool isSameGang(const task_view &left, const task_view &right)
{
    return left.spec->isGang && left.step == right.step;
}

bool mayCoincide(const loss_time &left, const loss_time &right)
{
    return left.from <= right.until + answerDelay && right.from <= left.until + answerDelay;
}

/// Bounds of the time at which a worker that is lost, or doesn't answer, went down. A start without an answer doesn't
/// tell that it was up.
loss_time lossTimeOf(const worker_state &worker, instant now)
{
    const auto until = worker.refusedSince == instant {} ? now : worker.refusedSince;
    return {std::min(until, std::max(worker.lastSignAt, worker.lastAnswerAt)), until};
}

/// What may have been lost at the same time as a worker.
enum class coincidence
{
    none,
    some, ///< fewer than in a wave
    wave, ///< so many that each run had little to do with the loss of its worker
};

coincidence coincidenceOf(const cell_state &state, const worker_state &lost, const loss_time &time, instant now)
{
    auto others =
        std::ranges::count_if(state.recentLosses, [&](const loss_time &other) { return mayCoincide(time, other); });
    for (const auto &other : std::views::values(state.workers)) {
        const bool isDown = &other != &lost && other.isUnresponsive && other.lastSignAt != instant {};
        others += isDown && mayCoincide(time, lossTimeOf(other, now)) ? 1 : 0;
    }
    const auto share = static_cast<std::int64_t>(minWaveShare * static_cast<double>(state.workers.size()));
    if (others >= std::max(minWave, share)) {
        return coincidence::wave;
    }
    return others > 0 ? coincidence::some : coincidence::none;
}

void rememberLoss(cell_state &state, const loss_time &time)
{
    state.recentLosses.push_back(time);
    if (state.recentLosses.size() > maxRecentLosses) {
        state.recentLosses.pop_front();
    }
}

/// Returns whether so many workers were lost under the task that anything else is hardly why.
bool mayCrashAnyWorker(const lost_workers &counts)
{
    return counts.soon >= maxSoonLosses || counts.soon + counts.later >= maxLosses || counts.proven >= maxProven;
}

void uncountRefusal(task_state &task, task_run &run)
{
    if (run.refusalCount != nullptr) {
        --(task.losses.counts.*std::exchange(run.refusalCount, nullptr));
    }
}

/// A run of the task has lasted, so what was lost later in its runs speaks no more against it.
void forgetLaterLosses(task_state &task)
{
    auto &losses = task.losses;
    losses.counts.later = refusalsOf(task).later;
    losses.counts.proven = std::min(losses.counts.proven, losses.counts.soon + losses.counts.later);
    std::erase_if(losses.byAttempt, [](const auto &each) { return each.second.count != &lost_workers::soon; });
    dropLaterLosses(losses);
}

void countLoss(const lost_task &lost, loss_evidence evidence, bool isProven)
{
    auto &task = *lost.view.task;
    auto &losses = task.losses;
    auto &counts = losses.counts;
    if (lost.refused != nullptr) {
        uncountRefusal(task, *lost.refused);
    }
    if (lost.isCounted && losses.isNextCounted) {
        losses.isNextCounted = false;
        --counts.soon;
    }
    if (const auto counted = losses.byAttempt.find(lost.attempt); counted != losses.byAttempt.end()) {
        if (isProven) {
            proveLoss(losses, counted->second);
        }
        return;
    }
    if (!lost.isSuspect && lost.isLong) {
        forgetLaterLosses(task);
        return;
    }
    const bool isNoneSuspected = hasSameLosses(counts, refusalsOf(task));
    counted_loss counted {nullptr, isProven};
    if (lost.isSuspect && !(evidence == loss_evidence::ofNone && isNoneSuspected)) {
        counted.count = &lost_workers::soon;
        counts.alone += evidence == loss_evidence::ofTrial ? 1 : 0;
    } else if (!lost.isSuspect && evidence == loss_evidence::ofAll) {
        counted.count = &lost_workers::later;
    } else if (!lost.isSuspect || !isProven) {
        return; // nothing speaks against the run
    }
    if (counted.count != nullptr) {
        ++(counts.*counted.count);
    }
    counts.proven += isProven ? 1 : 0;
    losses.byAttempt[lost.attempt] = counted;
}

/// How long a task waits after such losses before it starts again, and the gang of which it is a member with it.
std::chrono::milliseconds pauseAfter(const loss_record &losses)
{
    const auto lost = losses.counts.soon + losses.counts.later - (losses.isNextCounted ? 1 : 0);
    const auto unproven = lost - std::min(lost, losses.counts.proven);
    if (unproven >= unprovenBeforeHold) {
        return unprovenHold * (1 << std::min(unproven - unprovenBeforeHold, maxHoldDoublings));
    }
    return lost <= lossesBeforePause
        ? 0ms
        : std::min(maxLossPause, lossPause * static_cast<std::int64_t>(lost - lossesBeforePause));
}

/// Keeps the task from starting for a while, so that its next trial doesn't fall into the same incident.
void pauseAfterLosses(task_state &task, instant now)
{
    task.notBefore = std::max(task.notBefore, now + pauseAfter(task.losses));
}

/// Counts the loss of a worker for a task there. Fails its job if it is to blame, which takes a proven loss.
void chargeLoss(cell_state &state, const worker_id &worker, const lost_task &lost, loss_evidence evidence,
                bool isProven, instant now, cell_actions &actions)
{
    auto &task = *lost.view.task;
    if (task.isDone || isAborted(*lost.view.job)) {
        return;
    }
    countLoss(lost, evidence, isProven);
    pauseAfterLosses(task, now);
    markUnsaved(state, *lost.view.job);
    if (!lost.isSuspect) {
        return;
    }
    const auto &counts = task.losses.counts;
    actions.emplace_back(report_suspect {lost.ref, worker, counts});
    if (isProven && isToBlame(counts)) {
        giveUpTask(state, lost.ref, lost.view, worker, now, actions);
    }
}

/// Keeps what a restart tells of runs that may be over until it is known whether they are.
void deferLoss(const lost_task &lost, loss_evidence evidence)
{
    for (auto *run : lost.runs) {
        run->lossIfOver = run->lossIfOver.value_or(evidence);
    }
}

/// Keeps what the worker's next answer may tell of the task's runs there.
void keepUnsettled(cell_state &state, const worker_state &worker, const lost_task &lost, loss_evidence evidenceIfEnded,
                   instant now)
{
    unsettled_loss loss;
    loss.attempt = lost.attempt;
    loss.worker = worker.description.id;
    loss.boot = worker.description.boot;
    loss.address = worker.description.address;
    const auto &byAttempt = lost.view.task->losses.byAttempt;
    const auto known = byAttempt.find(lost.attempt);
    if (known != byAttempt.end()) {
        loss.counted = known->second.count == &lost_workers::later ? loss_count::later : loss_count::soon;
    }
    loss.isTrial = loss.counted == loss_count::soon && evidenceIfEnded == loss_evidence::ofTrial;
    loss.countsLater =
        known == byAttempt.end() && !lost.isSuspect && !lost.isLong && evidenceIfEnded == loss_evidence::ofAll;
    if (known != byAttempt.end() || loss.countsLater) {
        keepUnsettledLoss(state, lost.ref, lost.view, loss, now);
        pauseAfterLosses(*lost.view.task, now);
    }
}

/// The tasks of a lost worker, and what else tells which of them may be why it was lost.
struct worker_evidence
{
    std::vector<lost_task> tasks;
    /// One task there had a trial, or several of one gang: whichever of a gang's members is to blame, its job can't be
    /// done. No other task is a suspect.
    bool isOfOne = false;
    bool hasOthers = false; ///< beside that task or gang
    bool isTrial = false; ///< the trial there is why the worker was lost, unless others were lost too
    coincidence others = coincidence::none; ///< lost at the same time
};

/// Returns whether the task had a trial there, and no other one may be why the worker was lost. Beside a long trial any
/// other may, since each task may crash its worker late.
bool isTrialOfOne(const worker_evidence &evidence, const lost_task &task)
{
    return evidence.isOfOne && task.isTrial && (!evidence.hasOthers || !needsLongTrial(task.view.task->losses));
}

worker_evidence evidenceOf(cell_state &state, const worker_state &worker, const loss_time &time, instant now)
{
    worker_evidence result {tasksOn(state, worker, now)};
    result.others = coincidenceOf(state, worker, time, now);
    const auto &tasks = result.tasks;
    const auto tried = std::ranges::find_if(tasks, &lost_task::isTrial);
    if (tried == tasks.end()) {
        return result;
    }
    const auto isOther = [&tried](const lost_task &task) {
        return task.view.task != tried->view.task && !isSameGang(task.view, tried->view);
    };
    result.hasOthers = std::ranges::any_of(tasks, isOther);
    result.isOfOne = std::ranges::none_of(
        tasks, [&](const lost_task &task) { return isOther(task) && (task.isSuspect || hadLossBefore(task)); });
    result.isTrial = std::ranges::any_of(tasks, [&](const lost_task &task) { return isTrialOfOne(result, task); });
    return result;
}

/// What the loss of the worker tells of one of its tasks if it has surely ended.
loss_evidence provenEvidence(const worker_evidence &evidence, const lost_task &task)
{
    if (evidence.others == coincidence::wave) {
        return loss_evidence::ofNone;
    }
    if (!evidence.isTrial) {
        return loss_evidence::ofAll;
    }
    const bool isOfTask = evidence.others == coincidence::none && isTrialOfOne(evidence, task);
    return isOfTask ? loss_evidence::ofTrial : loss_evidence::ofSuspects;
}

} // namespace

void shortenPause(task_state &task, instant now)
{
    task.notBefore = std::min(task.notBefore, now + pauseAfter(task.losses));
}

lost_workers refusalsOf(const task_state &task)
{
    lost_workers result;
    for (const auto &run :
         task.runs | std::views::filter([](const task_run &run) { return run.refusalCount != nullptr; })) {
        ++(result.*run.refusalCount);
    }
    return result;
}

void proveLoss(loss_record &losses, counted_loss &counted)
{
    losses.counts.proven += counted.isProven ? 0 : 1;
    counted.isProven = true;
}

bool isToBlame(const lost_workers &counts)
{
    return counts.proven >= provenBeforeBlame && (counts.alone > 0 || mayCrashAnyWorker(counts));
}

bool isSuspect(const cell_state &state, const task_state &task)
{
    const auto &losses = task.losses;
    if (losses.counts.soon > (losses.isNextCounted ? 1 : 0) || needsLongTrial(losses)) {
        return true;
    }
    return std::ranges::any_of(task.runs, [&](const task_run &run) {
        const auto worker = state.workers.find(run.worker);
        return worker != state.workers.end() && worker->second.isUnresponsive && !isSurvived(worker->second, run);
    });
}

bool ensureLossesStored(cell_state &state, const task_ref &ref, const task_view &view, instant now,
                        cell_actions &actions)
{
    auto &losses = view.task->losses;
    const bool isSuspected = isSuspect(state, *view.task);
    if (!losses.isNextCounted && (isSuspected || !hasSameLosses(losses.counts, {}))) {
        if (isSuspected && isToBlame(losses.counts)) {
            giveUpTask(state, ref, view, {}, now, actions);
            return false;
        }
        ++losses.counts.soon;
        losses.isNextCounted = true;
        markUnsaved(state, *view.job);
    }
    const auto &counts = losses.counts;
    const auto &stored = losses.stored;
    return counts.soon <= stored.soon && counts.alone <= stored.alone && counts.later <= stored.later;
}

void countRefusal(cell_state &state, worker_state &worker, instant now)
{
    for (const auto &lost : tasksOn(state, worker, now)) {
        auto &task = *lost.view.task;
        if (lost.refused != nullptr || lost.isCounted || task.isDone || isAborted(*lost.view.job)) {
            continue;
        }
        auto *run = findRun(task, worker.description.id, lost.attempt);
        run->refusalCount = lost.isSuspect ? &lost_workers::soon : &lost_workers::later;
        ++(task.losses.counts.*run->refusalCount);
        markUnsaved(state, *lost.view.job);
    }
}

void takeBackRefusals(cell_state &state, worker_state &worker)
{
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run != nullptr && run->refusalCount != nullptr) {
            uncountRefusal(*view->task, *run);
            markUnsaved(state, *view->job);
        }
    }
}

void uncountRun(cell_state &state, const task_view &view, task_run &run)
{
    if (run.refusalCount == nullptr && !run.isCounted) {
        return;
    }
    markUnsaved(state, *view.job);
    uncountRefusal(*view.task, run);
    if (!run.isCounted) {
        return;
    }
    auto &losses = view.task->losses;
    losses.counts.soon -= losses.isNextCounted ? 1 : 0;
    losses.isNextCounted = false;
    run.isCounted = false;
}

void recordWorkerLoss(cell_state &state, worker_state &worker, worker_loss how, instant now, cell_actions &actions)
{
    const auto boot = worker.description.boot;
    if (worker.description.isDraining || boot == otherWorkersBoot || boot == worker.lostBoot) {
        return; // it was to leave, or its loss is counted and its next boot isn't known yet
    }
    if (how == worker_loss::restarted) { // otherwise it may come back in the same boot, and be lost again
        worker.lostBoot = worker.description.boot;
    }
    const bool isProven = how == worker_loss::restarted;
    if (isProven) {
        proveLosses(state, worker.description.id, now, actions);
    }
    const auto time = lossTimeOf(worker, now);
    const auto known = evidenceOf(state, worker, time, now);
    const auto suspects = std::ranges::count_if(known.tasks, &lost_task::isSuspect);
    if (how != worker_loss::silent && worker.lastSignAt != instant {}) {
        rememberLoss(state, time);
    }
    actions.emplace_back(report_worker_loss {
        worker.description.id, toString(how),
        std::chrono::duration_cast<std::chrono::milliseconds>(now - std::max(time.from, state.takeOver.takenAt)),
        static_cast<std::size_t>(suspects), known.tasks.size() - static_cast<std::size_t>(suspects), known.isTrial,
        known.others == coincidence::wave});
    for (const auto &lost : known.tasks) {
        const auto evidenceIfEnded = provenEvidence(known, lost);
        // A missing entry makes any run there suspect, as if the worker had ended. It proves nothing.
        const bool isLikely = how == worker_loss::unlisted && evidenceIfEnded == loss_evidence::ofAll;
        const auto evidence = isProven || isLikely ? evidenceIfEnded : loss_evidence::ofSuspects;
        const bool mayGoOn =
            isProven && std::ranges::all_of(lost.runs, [](const task_run *run) { return run->mayBeOver; });
        if (mayGoOn) {
            deferLoss(lost, evidence);
            continue;
        }
        chargeLoss(state, worker.description.id, lost, evidence, isProven, now, actions);
        if (!isProven) {
            keepUnsettled(state, worker, lost, evidenceIfEnded, now);
        }
    }
}

bool recordDeferredLoss(cell_state &state, const worker_state &worker, const run_id &id, const task_view &view,
                        task_run &run, instant now, cell_actions &actions)
{
    if (!run.mayBeOver) {
        return false;
    }
    if (const auto evidence = std::exchange(run.lossIfOver, std::nullopt)) {
        lost_task lost {view, id.task, id.attempt, true, run.isTrial, run.isCounted, {&run}};
        lost.refused = run.refusalCount != nullptr ? &run : nullptr;
        chargeLoss(state, worker.description.id, lost, *evidence, true, now, actions);
    }
    return true;
}

} // namespace primrosecroft::detail
