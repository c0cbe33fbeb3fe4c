#include "cell/detail/cell_parts.h"
#include "cell/detail/trials.h"
#include "cell/detail/unsettled_losses.h"
#include "cell/detail/worker_loss.h"

#include <algorithm>
#include <ranges>

/// The leases on workers, and the lists that extend them.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto formerStopMargin = 50ms; ///< covers rounding, a slow clock, and the time that the worker's list took
constexpr auto leaseMargin = 50ms; ///< covers rounding, and the time that a worker needs to end expired runs
constexpr auto listPause = 35ms; ///< ends within this time are listed together
constexpr auto listRetryDelay = 150ms; ///< pause after a list request that failed
constexpr auto listTimeout = 700ms; ///< in addition to the wait that the request asks for
constexpr auto firstListRetryDelay =
    20ms; ///< short, because jobs of an earlier owner may wait for the worker's first list
constexpr auto firstListTimeout = 350ms; ///< several times the round trip to another region
constexpr auto listWait = 700ms; ///< a worker waits up to this long for an end; each list request extends the lease
constexpr auto idleListInterval = 900ms; ///< for a worker on which nothing runs
constexpr auto unlistedListInterval = 500ms; ///< for a worker that the platform does not list

/// Lower bound of the worker's clock at the moment @p at, for a clock that runs at minClockRate to full speed.
worker_time earliestWorkerTime(const clock_sample &sample, instant at)
{
    const auto since = std::chrono::duration_cast<worker_time>(at - sample.receivedAt);
    return sample.clock
        + (since.count() >= 0
               ? worker_time(static_cast<std::int64_t>(static_cast<double>(since.count()) * minClockRate))
               : since);
}

/// The latest moment at which the worker's clock passes @p deadline, for a clock that runs at minClockRate or faster.
instant latestInstantOf(const clock_sample &sample, worker_time deadline)
{
    const auto left = std::max(worker_time(0), deadline - sample.clock);
    return sample.receivedAt + std::chrono::duration_cast<duration>(left / minClockRate) + leaseMargin;
}

/// Called for the first list under this owner's token, which doesn't show the runs that an earlier owner has stopped.
/// They hold their resources for a while; from now on the worker refuses that owner's orders.
void markReconciled(const cell_state &state, worker_state &worker, instant now)
{
    worker.isReconciled = true;
    if (state.unreconciledWorkers.contains(worker.description.id) || state.areContactedWorkersUnknown) {
        worker.formerStopsEndAt = now + state.settings.maxStopTime + formerStopMargin;
    }
}

/// Takes the workers on which no run of an earlier owner is left, but for listed ones, out of the unreconciled ones.
void finishReconciliation(cell_state &state, instant now)
{
    std::erase_if(state.unreconciledWorkers, [&](const worker_id &id) {
        const auto worker = state.workers.find(id);
        return worker != state.workers.end() && worker->second.isReconciled && worker->second.formerStopsEndAt <= now;
    });
}

/// Returns whether all leases on the worker have surely expired, whichever of its boots runs there.
bool haveLeasesExpired(cell_state &state, const worker_state &worker, instant now)
{
    const auto end = std::max(worker.leasesEndBy, worker.strayLeasesEndBy);
    return end != instant {} && end <= now && !(strayLeaseEnd(state, worker) > now && hasUnshownRuns(state, worker));
}

/// Returns whether a list failed that was requested at the address of a boot in doubt. That says nothing of the known
/// boot, unless both are at the same address.
bool isSilenceOfDoubtedBoot(const worker_state &worker, order_result result)
{
    const bool hasFailed = result == order_result::unreachable || result == order_result::lost;
    return hasFailed && worker.doubtedEntry && worker.requestedBoot == worker.doubtedEntry->description.boot
        && worker.doubtedEntry->description.address != worker.description.address;
}

/// Returns whether jobs of an earlier owner may wait for the worker's first list under this owner.
bool isReconciliationPending(const cell_state &state, const worker_state &worker, instant now)
{
    return !worker.isReconciled && now < state.inDoubtUntil;
}

} // namespace

std::optional<worker_time> leaseDeadline(const cell_state &state, const worker_state &worker)
{
    if (!worker.clock || state.confirmedAt == instant {}) {
        return std::nullopt;
    }
    return earliestWorkerTime(*worker.clock, state.confirmedAt) + state.settings.maxLease;
}

instant strayLeaseEnd(const cell_state &state, const worker_state &worker)
{
    if (worker.lastLeaseOrderAt == instant {}) {
        return {};
    }
    const auto longest = std::chrono::duration_cast<duration>(state.settings.maxLease / minClockRate) + leaseMargin;
    return worker.lastLeaseOrderAt + longest;
}

void recordDeadline(worker_state &worker, worker_time deadline, instant now)
{
    worker.lastLeaseOrderAt = now;
    worker.latestDeadline = std::max(worker.latestDeadline, deadline);
    worker.leasesEndBy = latestInstantOf(*worker.clock, worker.latestDeadline);
}

void handleListAnswer(cell_state &state, const list_answered &message, instant now, cell_actions &actions)
{
    const auto found = state.workers.find(message.worker);
    if (found == state.workers.end()) {
        return;
    }
    auto &worker = found->second;
    worker.isListPending = false;
    if (isSilenceOfDoubtedBoot(worker, message.result)) {
        worker.doubtedEntry.reset(); // the next list goes to the known boot; the entry's writer writes it again
        worker.nextListAt = now;
        return;
    }
    worker.isUnresponsive = message.result != order_result::done;
    worker.nextListAt = now
        + (message.result == order_result::lost && isReconciliationPending(state, worker, now) ? firstListRetryDelay
                                                                                               : listRetryDelay);
    if (message.result == order_result::fenced) {
        actions.emplace_back(report_fenced {message.worker});
        return;
    }
    if (message.result == order_result::unreachable) {
        // Behind a partition that refuses connections its runs would go on, so they are kept until the leases expire.
        worker.lastListAt = {};
        worker.refusedSince = worker.refusedSince == instant {} ? now : worker.refusedSince;
        countRefusal(state, worker, now);
        return;
    }
    if (message.result == order_result::bootMismatch && worker.doubtedEntry
        && worker.requestedBoot == worker.doubtedEntry->description.boot) {
        worker.doubtedEntry.reset(); // another worker answers at the address that it gives
        worker.nextListAt = now;
        return;
    }
    if (message.result == order_result::bootMismatch && worker.requestedBoot != worker.description.boot) {
        worker.nextListAt = now; // it says nothing of the boot that is known by now
        return;
    }
    if (message.result == order_result::bootMismatch) {
        handleBootChange(state, worker, otherWorkersBoot, now, actions);
        settleDoubtedEntry(state, worker, {}, now, actions);
        worker.nextListAt = now;
        return;
    }
    if (message.result != order_result::done) {
        return;
    }
    if (message.boot != worker.description.boot) {
        if (message.sentAt < worker.bootKnownAt) {
            worker.nextListAt = now; // it may come from before the worker's last restart
            return;
        }
        // Lists are requested one at a time, so this boot is later than the one that was known by then.
        handleBootChange(state, worker, message.boot, now, actions);
    }
    settleDoubtedEntry(state, worker, message.sentAt, now, actions);
    takeBackRefusals(state, worker);
    settleLosses(state, worker, now, actions);
    worker.clock = clock_sample {message.clock, now};
    // The new clock sample usually gives a closer bound for the end of the leases.
    if (worker.latestDeadline.count() > 0) {
        worker.leasesEndBy = latestInstantOf(*worker.clock, worker.latestDeadline);
    }
    worker.lastListAt = now;
    worker.lastSignAt = now;
    worker.refusedSince = {};
    worker.nextListAt = now + listPause;
    if (!worker.isReconciled) {
        // Leases granted by an earlier owner may end later than those that this owner grants for now.
        recordDeadline(worker, message.clock + state.settings.maxLease, now);
        if (message.ended.size() < maxEndsPerList) { // otherwise tasks may have ended there that it has yet to list
            markReconciled(state, worker, now);
        }
    }
    handleListedRuns(state, worker, message, now, actions);
    endSurvivedTrials(state, worker, actions);
}

void requestLists(cell_state &state, instant now, cell_actions &actions)
{
    for (auto &[id, worker] : state.workers) {
        if (worker.isListPending || now < worker.nextListAt) {
            continue;
        }
        const bool isBusy = !worker.reservations.empty() || !worker.unknownRuns.empty();
        const bool isBootInDoubt = worker.doubtedEntry.has_value();
        if (!isBootInDoubt && worker.clock && !isBusy && worker.lastListAt != instant {}
            && worker.processedEnd == worker.acknowledgedEnd && now < worker.lastListAt + idleListInterval) {
            continue;
        }
        if (!isInPlatformsList(worker) && now < worker.lastListAt + unlistedListInterval) {
            continue;
        }
        // An order without an answer may have been carried out, so each further one would postpone the moment by which
        // the leases of an unresponsive worker have surely expired.
        const auto deadline = worker.isUnresponsive || isBootInDoubt ? std::nullopt : leaseDeadline(state, worker);
        if (deadline) {
            recordDeadline(worker, *deadline, now);
        }
        const bool needsImmediateAnswer = std::ranges::any_of(worker.reservations, [&](const auto &held) {
            const auto view = findTask(state, held.first.task);
            const auto *run = view ? findRun(*view->task, id, held.first.attempt) : nullptr;
            return run != nullptr
                && (run->phase == run_phase::unconfirmed || run->mayBeOver || run->stopConfirmedAt != instant {});
        });
        const auto maxWait = isInTrial(worker) ? timeToTrialEnd(worker, now) : std::chrono::milliseconds(listWait);
        const auto wait = deadline && isBusy && !needsImmediateAnswer ? std::min(maxWait, listWait) : 0ms;
        // A worker that doesn't answer may have restarted, and number other ends like those that it may forget.
        const auto acknowledgedEnd = worker.isUnresponsive || isBootInDoubt ? 0 : worker.acknowledgedEnd;
        worker.isListPending = true;
        const auto &receiver = isBootInDoubt ? worker.doubtedEntry->description : worker.description;
        worker.requestedBoot = receiver.boot;
        actions.emplace_back(
            send_list {id, receiver.address, receiver.boot, deadline, acknowledgedEnd, wait,
                       wait + (isReconciliationPending(state, worker, now) ? firstListTimeout : listTimeout)});
    }
}

void expireLeases(cell_state &state, instant now, cell_actions &actions)
{
    finishReconciliation(state, now);
    std::vector<worker_id> removable;
    for (auto &[id, worker] : state.workers) {
        const bool areOver = haveLeasesExpired(state, worker, now);
        if (areOver && !worker.reservations.empty()) {
            actions.emplace_back(report_worker_change {id, "leases expired", worker.description.boot});
            recordWorkerLoss(state, worker, isInPlatformsList(worker) ? worker_loss::silent : worker_loss::unlisted,
                             now, actions);
            dropRuns(state, worker, dropped_runs::all, now, actions, "lapsed unseen");
        }
        const bool hadNoLease = worker.leasesEndBy == instant {} && !state.unreconciledWorkers.contains(id);
        if (!isInPlatformsList(worker) && worker.reservations.empty() && (areOver || hadNoLease)
            && !worker.isListPending) {
            removable.push_back(id);
        }
    }
    for (const auto &id : removable) {
        actions.emplace_back(report_worker_change {id, "forgotten", state.workers.at(id).description.boot});
        state.workers.erase(id);
    }
    if (now >= state.inDoubtUntil) {
        state.unreconciledWorkers.clear();
        state.areContactedWorkersUnknown = false;
    }
}

} // namespace primrosecroft::detail
