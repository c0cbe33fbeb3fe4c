#include "cell/detail/cell_parts.h"
#include "cell/detail/trials.h"
#include "cell/detail/worker_loss.h"

#include <algorithm>

/// The state of workers as the platform lists them, and which of them may take tasks.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto contactTimeout = 2'500ms; ///< a worker without a list for this long gets no new tasks

/// Forgets what held for an earlier boot. Runs that are left may go on in the present one.
void resetBootState(const cell_state &state, worker_state &worker, instant now)
{
    worker.isReconciled = false;
    worker.formerStopsEndAt = {};
    worker.clock.reset();
    worker.latestDeadline = worker_time(0);
    worker.leasesEndBy = {};
    worker.strayLeasesEndBy = strayLeaseEnd(state, worker);
    worker.refusedSince = {};
    worker.lastSignAt = {};
    worker.lastAnswerAt = {};
    worker.lastStartAt = worker.reservations.empty() ? instant {} : now;
    worker.processedEnd = 0;
    worker.acknowledgedEnd = 0;
}

/// Returns whether the entry, which tells of another boot than the known one, surely tells of a later one.
bool isSurelyLater(const worker_state &worker, const worker_description &entry)
{
    if (worker.description.boot == otherWorkersBoot) {
        return true;
    }
    // The known boot's own entry came before, and the worker's time of day hasn't gone back as far as is known.
    const bool hasGoneBack = worker.description.boot < worker.highestBoot;
    return worker.isListed && !hasGoneBack && entry.boot > worker.description.boot;
}

/// Keeps the entry until a list tells whether its boot is the present one.
void doubtEntry(worker_state &worker, const worker_description &entry, instant now)
{
    if (entry.boot == worker.earlierBoot) {
        return; // the platform's list lags behind the worker's own answer
    }
    if (!worker.doubtedEntry || worker.doubtedEntry->description.boot != entry.boot) {
        worker.doubtedEntry = doubted_entry {entry, now};
        worker.nextListAt = now;
    }
    worker.doubtedEntry->description = entry;
}

} // namespace

const std::string &rackOf(const worker_description &worker)
{
    static const std::string none;
    return worker.labels.empty() ? none : worker.labels.back();
}

void handleBootChange(cell_state &state, worker_state &worker, worker_boot boot, instant now, cell_actions &actions)
{
    if (worker.description.boot == boot) {
        return;
    }
    actions.emplace_back(report_worker_change {worker.description.id, "restarted", worker.description.boot});
    markRunsOfNextBoot(state, worker, boot);
    recordWorkerLoss(state, worker, worker_loss::restarted, now, actions);
    dropRuns(state, worker, dropped_runs::ofEarlierBoots, now, actions, "lost with its worker");
    resetBootState(state, worker, now);
    worker.health = {};
    if (boot != otherWorkersBoot) {
        worker.earlierBoot = worker.description.boot;
    }
    worker.description.boot = boot;
    worker.bootKnownAt = now;
    worker.highestBoot = std::max(worker.highestBoot, boot);
    worker.isListed = false; // its kind and capacity may have changed; its next entry in the platform's list has them
}

void settleDoubtedEntry(cell_state &state, worker_state &worker, instant sentAt, instant now, cell_actions &actions)
{
    if (!worker.doubtedEntry) {
        return;
    }
    const auto entry = *worker.doubtedEntry;
    if (entry.description.boot == worker.description.boot || worker.description.boot == otherWorkersBoot) {
        updateWorker(state, entry.description, now, actions);
    } else if (sentAt >= entry.since) {
        worker.earlierBoot = entry.description.boot;
        worker.doubtedEntry.reset();
    }
}

bool isInPlatformsList(const worker_state &worker)
{
    return worker.isListed || worker.doubtedEntry;
}

bool mayStartOn(const cell_state &state, const worker_state &worker, instant now)
{
    return worker.isListed && !worker.doubtedEntry && worker.isReconciled && worker.formerStopsEndAt <= now
        && !worker.description.isDraining && worker.clock && worker.unknownRuns.empty() && !isInTrial(worker)
        && worker.lastListAt + contactTimeout > now && worker.health.quarantinedUntil <= now
        && !state.rules.drained.contains(worker.description.id)
        && state.contactedWorkers.contains(worker.description.id);
}

void updateWorker(cell_state &state, const worker_description &description, instant now, cell_actions &actions)
{
    auto &worker = state.workers[description.id];
    const bool isNew = worker.description.id.empty();
    if (isNew) {
        worker.description = description;
        worker.highestBoot = description.boot;
        worker.nextListAt = now;
        actions.emplace_back(report_worker_change {description.id, "listed", description.boot});
    }
    const bool isOfOtherBoot = description.boot != worker.description.boot;
    if (isOfOtherBoot && !isSurelyLater(worker, description)) {
        doubtEntry(worker, description, now);
        return;
    }
    worker.doubtedEntry.reset();
    if (isOfOtherBoot) {
        handleBootChange(state, worker, description.boot, now, actions);
        worker.nextListAt = now;
    }
    if (description.isDraining && !worker.description.isDraining) {
        actions.emplace_back(report_worker_change {description.id, "draining", description.boot});
    }
    if (description.isDraining && worker.drainEndsAt == instant {} && description.remaining) {
        worker.drainEndsAt = now + *description.remaining;
    }
    if (!description.isDraining) {
        worker.drainEndsAt = {};
    }
    worker.description = description;
    worker.isListed = true;
}

void unlistWorker(cell_state &state, const worker_id &id, cell_actions &actions)
{
    const auto found = state.workers.find(id);
    if (found != state.workers.end() && isInPlatformsList(found->second)) {
        found->second.isListed = false;
        found->second.doubtedEntry.reset();
        actions.emplace_back(report_worker_change {id, "no longer listed", found->second.description.boot});
    }
}

} // namespace primrosecroft::detail
