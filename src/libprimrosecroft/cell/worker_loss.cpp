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

/// A task, or a gang as a whole, with runs on a lost worker.
struct lost_unit
{
    task_view view; ///< of the last of its tasks there
    task_ref ref;
    std::uint32_t attempt = 0; ///< of its first run there
    bool isSuspect = false;
    bool isTrial = false;
    bool isCounted = false; ///< one of its runs there was counted ahead
    std::vector<task_run *> runs {}; ///< its runs there
    task_run *refused = nullptr; ///< the one for which the loss is counted ahead because the worker refuses connections
    bool isLong = false; ///< one of them had run for longer than any trial
};

/// The tasks and gangs with runs on the worker, those of ended jobs too, since they may be why it was lost.
std::vector<lost_unit> unitsOn(cell_state &state, const worker_state &worker, instant now)
{
    std::map<task_ref, lost_unit> units;
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr) {
            continue;
        }
        auto key = id.task;
        key.index = view->spec->isGang ? 0 : key.index;
        auto &unit = units.try_emplace(key, lost_unit {*view, id.task, id.attempt}).first->second;
        unit.runs.push_back(run);
        if (!isSurvived(worker, *run, lossesOf(*view))) {
            unit.isSuspect = true;
            unit.isTrial = unit.isTrial || (run->isTrial && run->phase == run_phase::running);
        }
        unit.isCounted = unit.isCounted || run->isCounted;
        unit.refused = run->refusalCount != nullptr ? run : unit.refused;
        unit.isLong = unit.isLong || hasOutlastedTrials(*run, now);
    }
    const auto values = std::views::values(units);
    return {values.begin(), values.end()};
}

/// Compares all but what is proven.
bool hasSameLosses(const lost_workers &left, const lost_workers &right)
{
    return left.soon == right.soon && left.alone == right.alone && left.later == right.later;
}

/// Returns whether workers were lost under runs of the unit before, though they had survived this one.
bool hadLossBefore(const lost_unit &unit)
{
    return !unit.isSuspect && !hasSameLosses(lossesOf(unit.view).counts, {});
}

/// Returns whether one unit had a trial there, and no other one may be why the worker was lost. Beside a long trial any
/// other may, since each task may crash its worker late.
bool isTrialOfOne(const std::vector<lost_unit> &units)
{
    const auto tried = std::ranges::find_if(units, &lost_unit::isTrial);
    if (tried == units.end() || std::ranges::count_if(units, &lost_unit::isSuspect) != 1) {
        return false;
    }
    return units.size() == 1 || (!needsLongTrial(lossesOf(tried->view)) && !std::ranges::any_of(units, hadLossBefore));
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

void uncountRefusal(const task_view &view, task_run &run)
{
    if (run.refusalCount != nullptr) {
        --(lossesOf(view).counts.*std::exchange(run.refusalCount, nullptr));
    }
}

/// A run of the task has lasted, so what was lost later in its runs speaks no more against it.
void forgetLaterLosses(const task_view &view)
{
    auto &losses = lossesOf(view);
    losses.counts.later = refusalsOf(view).later;
    losses.counts.proven = std::min(losses.counts.proven, losses.counts.soon + losses.counts.later);
    std::erase_if(losses.byAttempt, [](const auto &each) { return each.second.count != &lost_workers::soon; });
    dropLaterLosses(losses);
}

void countLoss(const lost_unit &unit, loss_evidence evidence, bool isProven)
{
    auto &losses = lossesOf(unit.view);
    auto &counts = losses.counts;
    if (unit.refused != nullptr) {
        uncountRefusal(unit.view, *unit.refused);
    }
    if (unit.isCounted && losses.isNextCounted) {
        losses.isNextCounted = false;
        --counts.soon;
    }
    if (const auto counted = losses.byAttempt.find(unit.attempt); counted != losses.byAttempt.end()) {
        if (isProven) {
            proveLoss(losses, counted->second);
        }
        return;
    }
    if (!unit.isSuspect && unit.isLong) {
        forgetLaterLosses(unit.view);
        return;
    }
    const bool isNoneSuspected = hasSameLosses(counts, refusalsOf(unit.view));
    counted_loss counted {nullptr, isProven};
    if (unit.isSuspect && !(evidence == loss_evidence::ofNone && isNoneSuspected)) {
        counted.count = &lost_workers::soon;
        counts.alone += evidence == loss_evidence::ofTrial ? 1 : 0;
    } else if (!unit.isSuspect && evidence == loss_evidence::ofAll) {
        counted.count = &lost_workers::later;
    } else if (!unit.isSuspect || !isProven) {
        return; // nothing speaks against the run
    }
    if (counted.count != nullptr) {
        ++(counts.*counted.count);
    }
    counts.proven += isProven ? 1 : 0;
    losses.byAttempt[unit.attempt] = counted;
}

/// How long a task or gang waits after such losses before it starts again.
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

/// Sets from when on the task, or each member of its gang, may start, to the later or earlier of that and the end of
/// the pause after its losses, as @p choose tells.
template<typename choice>
void adjustPause(const task_view &view, instant now, choice choose)
{
    const auto until = now + pauseAfter(lossesOf(view));
    if (!view.spec->isGang) {
        view.task->notBefore = choose(view.task->notBefore, until);
        return;
    }
    for (auto &member : view.step->tasks) {
        member.notBefore = choose(member.notBefore, until);
    }
}

/// Keeps the task or gang from starting for a while, so that its next trial doesn't fall into the same incident.
void pauseAfterLosses(const task_view &view, instant now)
{
    adjustPause(view, now, [](instant present, instant until) { return std::max(present, until); });
}

/// Counts the loss of a worker for a task or gang there. Fails its job if it is to blame, which takes a proven loss.
void chargeLoss(cell_state &state, const worker_id &worker, const lost_unit &unit, loss_evidence evidence,
                bool isProven, instant now, cell_actions &actions)
{
    if (unit.view.task->isDone || isAborted(*unit.view.job)) {
        return;
    }
    countLoss(unit, evidence, isProven);
    pauseAfterLosses(unit.view, now);
    markUnsaved(state, *unit.view.job);
    if (!unit.isSuspect) {
        return;
    }
    const auto &counts = lossesOf(unit.view).counts;
    actions.emplace_back(report_suspect {unit.ref, worker, counts});
    if (isProven && isToBlame(counts)) {
        giveUpTask(state, unit.ref, unit.view, worker, now, actions);
    }
}

/// Keeps what a restart tells of runs that may be over until it is known whether they are.
void deferLoss(const lost_unit &unit, loss_evidence evidence)
{
    for (auto *run : unit.runs) {
        run->lossIfOver = run->lossIfOver.value_or(evidence);
    }
}

/// Keeps what the worker's next answer may tell of the unit's runs there.
/// @p isOfOther tells that the attempt is counted for another worker of its gang.
void keepUnsettled(cell_state &state, const worker_state &worker, const lost_unit &unit, loss_evidence evidenceIfEnded,
                   bool isOfOther, instant now)
{
    unsettled_loss loss;
    loss.attempt = unit.attempt;
    loss.worker = worker.description.id;
    loss.boot = worker.description.boot;
    loss.address = worker.description.address;
    const auto &byAttempt = lossesOf(unit.view).byAttempt;
    const auto known = byAttempt.find(unit.attempt);
    if (known != byAttempt.end() && !isOfOther) {
        loss.counted = known->second.count == &lost_workers::later ? loss_count::later : loss_count::soon;
    }
    loss.isTrial = loss.counted == loss_count::soon && evidenceIfEnded == loss_evidence::ofTrial;
    loss.countsLater =
        known == byAttempt.end() && !unit.isSuspect && !unit.isLong && evidenceIfEnded == loss_evidence::ofAll;
    if (known != byAttempt.end() || loss.countsLater) {
        keepUnsettledLoss(state, unit.ref, unit.view, loss, now);
        pauseAfterLosses(unit.view, now);
    }
}

/// What the loss of a worker tells if it has surely ended.
loss_evidence provenEvidence(bool isTrial, coincidence others)
{
    if (isTrial && others == coincidence::none) {
        return loss_evidence::ofTrial;
    }
    if (others == coincidence::wave) {
        return loss_evidence::ofNone;
    }
    return isTrial ? loss_evidence::ofSuspects : loss_evidence::ofAll;
}

} // namespace

void shortenPause(const task_view &view, instant now)
{
    adjustPause(view, now, [](instant present, instant until) { return std::min(present, until); });
}

lost_workers refusalsOf(const task_view &view)
{
    lost_workers result;
    const auto add = [&result](const task_state &task) {
        for (const auto &run :
             task.runs | std::views::filter([](const task_run &run) { return run.refusalCount != nullptr; })) {
            ++(result.*run.refusalCount);
        }
    };
    if (view.spec->isGang) {
        std::ranges::for_each(view.step->tasks, add);
    } else {
        add(*view.task);
    }
    return result;
}

loss_record &lossesOf(const task_view &view)
{
    return view.spec->isGang ? view.step->gangLosses : view.task->losses;
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

bool isSuspect(const cell_state &state, bool isGang, const step_state &step, const task_state &task)
{
    const auto &losses = isGang ? step.gangLosses : task.losses;
    if (losses.counts.soon > (losses.isNextCounted ? 1 : 0) || needsLongTrial(losses)) {
        return true;
    }
    return std::ranges::any_of(task.runs, [&](const task_run &run) {
        const auto worker = state.workers.find(run.worker);
        return worker != state.workers.end() && worker->second.isUnresponsive
            && !isSurvived(worker->second, run, losses);
    });
}

bool ensureLossesStored(cell_state &state, const task_ref &ref, const task_view &view, instant now,
                        cell_actions &actions)
{
    auto &losses = lossesOf(view);
    const bool isSuspected = isSuspect(state, view.spec->isGang, *view.step, *view.task);
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
    for (const auto &unit : unitsOn(state, worker, now)) {
        // The refusals of several workers of a gang say no more than one.
        const bool isGangCounted = unit.view.spec->isGang && refusalsOf(unit.view) != lost_workers {};
        if (unit.refused != nullptr || isGangCounted || unit.isCounted || unit.view.task->isDone
            || isAborted(*unit.view.job)) {
            continue;
        }
        auto *run = findRun(*unit.view.task, worker.description.id, unit.attempt);
        run->refusalCount = unit.isSuspect ? &lost_workers::soon : &lost_workers::later;
        ++(lossesOf(unit.view).counts.*run->refusalCount);
        markUnsaved(state, *unit.view.job);
    }
}

void takeBackRefusals(cell_state &state, worker_state &worker)
{
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run != nullptr && run->refusalCount != nullptr) {
            uncountRefusal(*view, *run);
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
    uncountRefusal(view, run);
    if (!run.isCounted) {
        return;
    }
    auto &losses = lossesOf(view);
    losses.counts.soon -= losses.isNextCounted ? 1 : 0;
    losses.isNextCounted = false;
    run.isCounted = false;
    for (auto &member : view.step->tasks | std::views::filter([&](const task_state &) { return view.spec->isGang; })) {
        std::ranges::for_each(member.runs, [](task_run &other) { other.isCounted = false; });
    }
}

bool needsIsolation(const step_state &step, const task_state &task, bool isGang)
{
    return needsLongTrial(isGang ? step.gangLosses : task.losses);
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
    const auto units = unitsOn(state, worker, now);
    const auto time = lossTimeOf(worker, now);
    const auto suspects = std::ranges::count_if(units, &lost_unit::isSuspect);
    const bool isTrial = isTrialOfOne(units);
    const auto others = coincidenceOf(state, worker, time, now);
    const bool isWave = others == coincidence::wave;
    const auto evidenceIfEnded = provenEvidence(isTrial, others);
    // A missing entry makes any run there suspect, as if the worker had ended. It proves nothing.
    const bool isLikely = how == worker_loss::unlisted && evidenceIfEnded == loss_evidence::ofAll;
    const auto evidence = isProven || isLikely ? evidenceIfEnded : loss_evidence::ofSuspects;
    if (how != worker_loss::silent && worker.lastSignAt != instant {}) {
        rememberLoss(state, time);
    }
    actions.emplace_back(report_worker_loss {
        worker.description.id, toString(how),
        std::chrono::duration_cast<std::chrono::milliseconds>(now - std::max(time.from, state.takeOver.takenAt)),
        static_cast<std::size_t>(suspects), units.size() - static_cast<std::size_t>(suspects), isTrial, isWave});
    for (const auto &unit : units) {
        const bool mayGoOn =
            isProven && std::ranges::all_of(unit.runs, [](const task_run *run) { return run->mayBeOver; });
        if (mayGoOn) {
            deferLoss(unit, evidence);
            continue;
        }
        const bool isCountedAlready = lossesOf(unit.view).byAttempt.contains(unit.attempt);
        chargeLoss(state, worker.description.id, unit, evidence, isProven, now, actions);
        if (!isProven) {
            keepUnsettled(state, worker, unit, evidenceIfEnded, isCountedAlready, now);
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
        lost_unit unit {view, id.task, id.attempt, true, run.isTrial, run.isCounted, {&run}};
        unit.refused = run.refusalCount != nullptr ? &run : nullptr;
        chargeLoss(state, worker.description.id, unit, *evidence, true, now, actions);
    }
    return true;
}

} // namespace primrosecroft::detail
