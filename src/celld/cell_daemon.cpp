#include "cell_daemon.h"

#include "advice_dispatcher.h"
#include "advice_report.h"
#include "callers/caller_service.h"
#include "configuration_link.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/overloaded.h"
#include "core/read_file.h"
#include "durations/duration_report.h"
#include "io/glib_pointer.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/peer_hub.h"
#include "io/timer.h"
#include "leadership/handover.h"
#include "leadership/leadership.h"
#include "leadership/tick_lateness.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_link.h"
#include "owner_session/cell_runner.h"
#include "owner_session/observed_workers.h"
#include "platform/store_client.h"
#include "platform/wire.h"
#include "platform/worker_client.h"
#include "presence_messages.h"
#include "primrosecroft_types.h"
#include "protocol/sender.h"
#include "queues/queue_follower.h"
#include "relays/order_relay.h"
#include "relays/relayed_workers.h"
#include "store/monitored_store.h"

#include <algorithm>
#include <glib-unix.h>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned storeConnections = 16;
constexpr unsigned workerConnections = 5; ///< to each worker: one waits for tasks to end, the others carry orders
constexpr unsigned adviceConnections = 2;
constexpr auto presenceInterval = 200ms; ///< between two presence messages to the owner
constexpr auto presenceTimeout = 600ms;

/// A daemon without a message for this long counts as unreachable and gets no requests for advice.
constexpr auto contactTimeout = 1'200ms;

/// Delay of advice through other daemons, until calls have shown it; above the usual ones, so that a daemon whose calls
/// have been answered goes first.
constexpr auto nearAdviceDelay = 20ms; ///< in the owner's region
constexpr auto farAdviceDelay = 100ms; ///< in another region
constexpr auto adviceCheckInterval = 50ms; ///< between two looks for calls that are late

/// A daemon without a message for this long relays no orders.
constexpr auto relayContactTimeout = 1'000ms;

/// The store counts as unreachable if no call sent within this span was answered. Must exceed the 0.8 s that a feed
/// call waits, because feed calls are the regular evidence that the store is reachable.
constexpr auto storeTimeout = 1'500ms;

constexpr auto maxStoreFailureTime = 400ms; ///< the store counts as unreachable if calls only fail for this long
constexpr auto ownerTimeout = 700ms; ///< an owner counts as responsive for this long after its last answer

/// The process isn't ready if its configuration was last confirmed longer ago than this. So a new version is in force
/// in every ready process within a bounded time.
constexpr auto maxConfigurationAge = 2'200ms;

constexpr auto trafficLogInterval = 10s; ///< between two reports of an owner's traffic with other daemons
constexpr auto ownerReadTimeout = 500ms;
constexpr auto takeOverTimeout = 1'000ms;
constexpr auto minLeaveTime = 3'500ms; ///< from SIGTERM to exit; the balancer stops sending within two of its probes
constexpr auto resignAfter = 2'800ms; ///< after SIGTERM, an owner resigns if no other process has taken over
constexpr auto leaveCheckInterval = 50ms;
constexpr auto finalAnswersMargin = 900ms; ///< this long before SIGKILL, all requests in flight are answered
constexpr auto exitMargin = 500ms; ///< this long before SIGKILL, the process exits; the answers are sent by then

leadership_settings makeLeadershipSettings(const cell_daemon_settings &settings, std::int64_t incarnation)
{
    leadership_settings result;
    result.process = settings.process;
    result.incarnation = incarnation;
    result.address = settings.peers;
    result.capacity = settings.capacity;
    return result;
}

cell_settings makeCellSettings(const cell_daemon_settings &settings, bool learnsDurations)
{
    cell_settings result;
    result.maxLease = settings.maxLease;
    result.maxStopTime = settings.maxStopTime;
    result.maxRowBytes = settings.maxRowBytes;
    result.learnsDurations = learnsDurations;
    return result;
}

/// Memory and descriptors of the process also serve its own work, so callers' requests get a part of them.
http_server_limits makeCallerLimits(const process_limits &process)
{
    constexpr std::size_t memoryPart = 8; ///< a request may be several times as large while it is decoded and stored
    constexpr std::size_t minHeldBytes = std::size_t {2} * 1024 * 1024; ///< for a few requests of the longest kind
    constexpr std::size_t descriptorPart = 2; ///< the others are for workers, store, advice and other daemons
    constexpr std::size_t minConnections = 16;
    http_server_limits result;
    if (process.descriptors) {
        result.maxConnections =
            std::clamp(*process.descriptors / descriptorPart, minConnections, result.maxConnections);
    }
    if (process.memory) {
        result.maxHeldBytes = std::clamp(*process.memory / memoryPart, minHeldBytes, result.maxHeldBytes);
    }
    return result;
}

std::int64_t millisecondsSince(instant since)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - since).count();
}

std::string ageInMs(instant since)
{
    return std::to_string(millisecondsSince(since));
}

/// Text for logs; "unknown" if @p amount is unset.
std::string toText(std::optional<std::int64_t> amount)
{
    return amount ? std::to_string(*amount) : "unknown";
}

std::string toText(std::optional<std::chrono::milliseconds> duration)
{
    return duration ? std::to_string(duration->count()) : "unknown";
}

} // namespace

struct cell_daemon::parts
{
    explicit parts(const cell_daemon_options &options)
        : settings(platform::decodeSettings(readFile(options.settingsFile), options.settingsFile))
        , settingsFile(options.settingsFile)
        , metricsPort(options.metricsPort)
        , incarnation(makeIncarnation())
        , storeHttp(storeConnections)
        , workerHttp(workerConnections)
        , adviceHttp(adviceConnections)
        , storeClient(storeHttp, settings.store)
        , rows(storeClient)
        , workerClient(workerHttp)
        , workers(workerClient, log, measures)
        , advice(adviceHttp, settings.advice)
        , peers(makeSender(settings.process, "celld", settings.failureDomain, incarnation),
                [this](const wire::Message &message, const auto &reply) { handleMessage(message, reply); })
        , queues(rows, {platform::configurationTable, platform::configurationKey, platform::decodeQueueTable}, log,
                 [this](const ask_source &question, auto done) { configurationLink.ask(question, std::move(done)); })
        , configurationLink(peers, queues, settings.peers)
        , leadership(makeLeadership(makeLeadershipSettings(settings, incarnation), bootNow()))
        , relay({incarnation, startedAt}, workers, rows, peers, log, measures)
        , relayedWorkers(workers, peers, settings.peers, incarnation, settings.capacity, makeRelayLinks(), log,
                         measures)
        , runner(rows, relayedWorkers, {platform::workerTable, platform::decodeWorker},
                 {[this](const ask_advice &request, auto done) { adviceDispatcher.ask(request, std::move(done)); },
                  [this] { return adviceDispatcher.routeCount(); },
                  [this](const std::string &reason) { ownershipLost(reason); }},
                 makeCellSettings(settings, options.learnsDurations), log, measures)
        , ownerLink(
              peers, runner, rows,
              {[this] { return isOwner(); }, [this] { return ownerAddress(); }, [this] { return isOwnerResponsive(); }},
              log)
        , callers(rows,
                  {platform::decodeJobBody, platform::encodeStatus, platform::encodeWaiting, platform::deadlineHeader,
                   platform::keyHeader},
                  makeCallerLinks(), log, measures)
        , callerServer(makeCallerLimits(settings.limits),
                       [this](const std::shared_ptr<http_request> &request) { callers.serve(request); })
        , readinessServer(fewClientsLimits(),
                          [this](const std::shared_ptr<http_request> &request) { answerReadiness(request); })
        , metricsServer(fewClientsLimits(),
                        [this](const std::shared_ptr<http_request> &request) { answerOperator(request); })
    {
    }

    void reportRefusal(server_refusal reason)
    {
        measures.count("primrosecroft_connections_refused", "reason", toString(reason));
        log.write("callers", "refused", {{"reason", toString(reason)}});
    }

    caller_links makeCallerLinks()
    {
        caller_links links;
        links.queues = [this] { return queues.current() ? &*queues.current() : nullptr; };
        links.keys = [this] { return keys ? &*keys : nullptr; };
        links.isConfigurationCurrent = [this] { return isConfigurationCurrent(); };
        links.storeTime = [this] { return rows.storeTime(); };
        links.notifyOwner = [this](const job_id &id, bool cancelled) { ownerLink.notify(id, cancelled); };
        links.askOwner = [this](const job_id &id, std::chrono::milliseconds timeout, auto done) {
            ownerLink.ask(id, timeout, std::move(done));
        };
        links.storeThroughOwner = [this](const job_id &id, const std::string &row, bool cancelled,
                                         std::chrono::milliseconds timeout,
                                         auto done) { ownerLink.store(id, row, cancelled, timeout, std::move(done)); };
        links.isOwnerResponsive = [this] { return isOwner() || (ownerAddress() && isOwnerResponsive()); };
        links.isIsolated = [this] { return isIsolated(); };
        links.countWaitingJobs = [this](const queue_name &queue) { return waitingCount(queue); };
        return links;
    }

    relay_links makeRelayLinks()
    {
        relay_links links;
        links.failureDomainOf = [this](const worker_id &id) {
            const auto *state = runner.state();
            const auto worker = state->workers.find(id);
            return worker == state->workers.end() ? failure_domain_id() : worker->second.description.failureDomain;
        };
        links.plan = [this](const relay_plan &before) { return currentRelayPlan(before); };
        links.addressOf = [this](const process_id &process) { return knownPeers.at(process).address; };
        links.clockOf = [this](const process_id &process) {
            const auto known = relayClocks.find(process);
            return known == relayClocks.end() ? relay_clock {} : known->second;
        };
        return links;
    }

    relay_plan currentRelayPlan(const relay_plan &before) const
    {
        worker_counts workersOfDomains;
        for (const auto &[id, worker] : runner.state()->workers) {
            ++workersOfDomains[worker.description.failureDomain];
        }
        std::vector<relay_candidate> candidates;
        for (const auto &[process, peer] : knownPeers) {
            const bool isUsable = peer.canRelay && !peer.isLeaving
                && peer.lastContactAt + relayContactTimeout > bootNow() && peer.lateness.value_or(0ms) <= maxLateness
                && !relayedWorkers.isSuspected(process, peer.lastContactAt);
            if (isUsable) {
                candidates.push_back({process, peer.failureDomain, peer.capacity});
            }
        }
        return planRelays(settings.capacity, workersOfDomains, candidates, before);
    }

    // --- ownership

    bool isOwner() const
    {
        return leadership.owns;
    }

    bool isOwnerResponsive() const
    {
        return leadership.lastContactAt + ownerTimeout > bootNow();
    }

    /// True if neither the store nor a process that might reach it has been in contact lately. Such a process is the
    /// owner, or any other daemon if this process is the owner.
    bool isIsolated() const
    {
        const auto now = bootNow();
        const bool isStoreReachable = rows.lastReachedAt() + storeTimeout > now
            && (!rows.failingSince() || *rows.failingSince() + maxStoreFailureTime > now);
        const bool isPeerReachable = isOwner()
            ? std::ranges::any_of(knownPeers,
                                  [now](const auto &each) { return each.second.lastContactAt + contactTimeout > now; })
            : leadership.lastContactAt + contactTimeout > now;
        return !isStoreReachable && !isPeerReachable;
    }

    /// Returns std::nullopt if this process is the owner, if the owner has resigned or if none is known.
    std::optional<peer_address> ownerAddress() const
    {
        if (!leadership.owner || leadership.owner->hasResigned || isOwner()) {
            return std::nullopt;
        }
        return leadership.owner->address;
    }

    void advanceLeadership(const leadership_message &message)
    {
        for (const auto &action : step(leadership, message, bootNow())) {
            std::visit(overloaded {
                           [this](const poll_owner &) { readOwnerRow(); },
                           [this](const take_ownership &taking) { takeOwnership(taking); },
                           [this](const begin_ownership &begun) { beginOwnership(begun); },
                           [this](const end_ownership &ended) { endOwnership(ended); },
                           [this](const write_resignation &resignation) { resign(resignation); },
                           [this](const report_owner &report) {
                               relay.noteOwner(report.version);
                               log.writeAlways("cell", "owner",
                                               {{"process", report.row.process},
                                                {"token", std::to_string(report.version)},
                                                {"term", std::to_string(report.row.term)},
                                                {"resigned", report.row.hasResigned ? "1" : "0"}});
                               sendPresence();
                               notifyPeersOfOwner(report.row, report.version);
                           },
                       },
                       action);
        }
    }

    void readOwnerRow()
    {
        // No other key of this table and partition sorts between "owner" and "renewal", so one range read of two rows
        // returns both.
        const auto sentAt = bootNow();
        rows.read({cellTable, shardPartition, ownerPlace().key, keyAfter(renewalPlace().key), 2}, ownerReadTimeout,
                  [this, sentAt](const range_result &result) {
                      const auto answer = ownerPollOf(
                          result, std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - sentAt));
                      if (!answer.fault.empty()) {
                          log.write("cell", "row-unreadable", {{"key", ownerPlace().key}, {"reason", answer.fault}});
                      }
                      if (answer.outcome == store_outcome::done) {
                          ownershipConfirmedAt = sentAt;
                      }
                      advanceLeadership(answer);
                  });
    }

    void takeOwnership(const take_ownership &taking)
    {
        log.writeAlways("cell", "take-over",
                        {{"expected", std::to_string(taking.expected)},
                         {"term", std::to_string(taking.row.term)},
                         {"heard_ms", ageInMs(leadership.lastContactAt)},
                         {"unrenewed_ms", std::to_string(unrenewedTime(leadership).count())},
                         {"refused", leadership.isConnectionRefused ? "1" : "0"}});
        formerOwner = leadership.owner ? std::optional(leadership.owner->address) : std::nullopt;
        const auto sentAt = bootNow();
        rows.commit({{{ownerPlace(), taking.expected}}, {{ownerPlace(), encodeOwner(taking.row)}}, {}}, takeOverTimeout,
                    [this, sentAt](const commit_result &result) {
                        if (result.outcome == store_outcome::done) {
                            ownershipConfirmedAt = sentAt;
                        }
                        advanceLeadership(take_over_answered {result.outcome, result.version});
                    });
    }

    void beginOwnership(const begin_ownership &begun)
    {
        log.writeAlways("cell", "owns", {{"token", std::to_string(begun.token)}, {"term", std::to_string(begun.term)}});
        ownsSince = bootNow();
        lastSuccessor.clear();
        relayedWorkers.reset();
        runner.begin(begun.token, begun.term, ownershipConfirmedAt);
        const auto notice = notifyPeersOfOwner(*leadership.owner, begun.token);
        if (formerOwner && *formerOwner != settings.peers) {
            // Only it may know the others, which have sent it their presence. It passes the notice on to them.
            peers.send(*formerOwner, notice);
        }
        refreshAdviceRoutes();
    }

    void endOwnership(const end_ownership &ended)
    {
        log.writeAlways("cell", "no-longer-owns", {{"reason", ended.reason}});
        runner.end();
        relayedWorkers.reset();
    }

    void resign(const write_resignation &resignation)
    {
        rows.commit({{{ownerPlace(), resignation.expected}}, {{ownerPlace(), encodeOwner(resignation.row)}}, {}},
                    takeOverTimeout, [this, row = resignation.row](const commit_result &result) {
                        if (result.outcome == store_outcome::done) {
                            notifyPeersOfOwner(row, result.version);
                        }
                    });
    }

    /// Sends a notice of the owner's row to all known daemons, and returns it.
    wire::Message notifyPeersOfOwner(const owner_row &row, row_version version)
    {
        wire::Message message;
        message.ownerNotice.row = encodeOwner(row);
        message.ownerNotice.version = version;
        message.__isset.ownerNotice = true;
        for (const auto &[name, peer] : knownPeers) {
            peers.send(peer.address, message);
        }
        return message;
    }

    void ownershipLost(const std::string &reason)
    {
        // Deferred to the main loop: this is called from inside the runner, which must not end while it still runs.
        ownershipLostTimer.once(0ms, [this, reason] {
            log.writeAlways("cell", "ownership-doubted", {{"reason", reason}});
            advanceLeadership(ownership_lost {});
        });
    }

    std::int64_t latenessInMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(lateness.smoothed).count();
    }

    void tryHandover()
    {
        if (!isOwner() || (!isLeaving && !runner.isServing())) {
            return;
        }
        const auto now = bootNow();
        const auto chosen = planHandover({isLeaving, ownsSince, runner.confirmedAt(), rows.failingSince(),
                                          rows.minRoundTrip(), handoverRequestedAt, lastSuccessor, settings.capacity,
                                          lateness.lateSince, patienceWith(*leadership.owner)},
                                         knownPeers, now);
        if (!chosen) {
            return;
        }
        handoverRequestedAt = now;
        lastSuccessor = chosen->successor;
        const auto &successor = knownPeers.at(chosen->successor);
        log.writeAlways("cell", "hand-over",
                        {{"to", chosen->successor},
                         {"reason", toString(chosen->reason)},
                         {"unconfirmed_ms", ageInMs(runner.confirmedAt())},
                         {"distance_ms", toText(rows.minRoundTrip())},
                         {"cores_milli", toText(settings.capacity.milliCores)},
                         {"link_mbps", toText(settings.capacity.linkMbps)},
                         {"late_ms", std::to_string(latenessInMs())},
                         {"to_cores_milli", toText(successor.capacity.milliCores)},
                         {"to_link_mbps", toText(successor.capacity.linkMbps)}});
        wire::Message message;
        message.handover.token = leadership.version;
        message.__isset.handover = true;
        peers.send(successor.address, message);
    }

    // --- other daemons

    void handleMessage(const wire::Message &message, const std::function<void(wire::Message)> &reply)
    {
        if (message.__isset.presence) {
            handlePresence(message, reply);
        } else if (message.__isset.jobNotice) {
            ownerLink.handleNotice(message.jobNotice, reply);
        } else if (message.__isset.jobQuery) {
            ownerLink.handleQuery(message.jobQuery, reply);
        } else if (message.__isset.jobSubmission) {
            ownerLink.handleSubmission(message.jobSubmission, reply);
        } else if (message.__isset.adviceQuery) {
            handleAdviceQuery(message.adviceQuery, reply);
        } else if (message.__isset.ownerNotice) {
            handleOwnerNotice(message.ownerNotice);
        } else if (message.__isset.orderBatch) {
            relay.handle(message.orderBatch, message.sender);
        } else if (message.__isset.orderResults) {
            handleOrderResults(message);
        } else if (message.__isset.handover) {
            log.writeAlways("cell", "hand-over-asked", {{"from", message.sender.process}});
            advanceLeadership(handover_requested {message.handover.token});
        } else if (message.__isset.configurationPoll) {
            configurationLink.handlePoll(message.configurationPoll, reply);
        }
    }

    void handleOrderResults(const wire::Message &message)
    {
        if (const auto peer = knownPeers.find(message.sender.process); peer != knownPeers.end()) {
            peer->second.lastContactAt = bootNow();
        }
        if (isOwner()) {
            relayedWorkers.handle(message.orderResults);
        }
    }

    void handleOwnerNotice(const wire::OwnerNotice &notice)
    {
        try {
            advanceLeadership(owner_reported {decodeOwner(notice.row), notice.version});
        } catch (const error &fault) {
            log.write("cell", "notice-unreadable", {{"reason", fault.what()}});
        }
    }

    void handlePresence(const wire::Message &message, const std::function<void(wire::Message)> &reply)
    {
        const auto now = bootNow();
        knownPeers[message.sender.process] = decodePresence(message, now);
        noteUptime(relayClocks[message.sender.process], message.sender.incarnation,
                   std::chrono::milliseconds(message.presence.upMs), now);
        configurationLink.notePresence(message);
        wire::Message answer;
        answer.ownerReport.owns = isOwner();
        answer.ownerReport.token = leadership.version;
        if (const auto counts = ownWaitingCounts()) {
            answer.ownerReport.waiting = {counts->jobs.begin(), counts->jobs.end()};
            answer.ownerReport.__set_waitingAgeMs(millisecondsSince(counts->asOf));
        } else if (isOwner()) {
            log.write("cell", "no-counts", {{"for", message.sender.process}, {"reason", "loading"}});
        }
        if (isOwner()) {
            configurationLink.addSource(answer.ownerReport, message.sender.process, ownsSince);
            configurationLink.addWord(answer.ownerReport, bootNow());
        }
        answer.__isset.ownerReport = true;
        reply(answer);
    }

    void sendPresence()
    {
        const auto address = ownerAddress();
        if (!address) {
            return;
        }
        wire::Message message;
        message.presence = encodePresence(
            {settings.peers, settings.region, std::chrono::milliseconds(millisecondsSince(rows.lastReachedAt())),
             isLeaving, std::chrono::milliseconds(millisecondsSince(startedAt)), rows.minRoundTrip(), settings.capacity,
             std::chrono::milliseconds(latenessInMs())});
        configurationLink.addAge(message.presence);
        message.__isset.presence = true;
        const auto process = leadership.owner->process;
        peers.ask(*address, message, presenceTimeout,
                  [this, address, process, sentAt = bootNow()](const std::optional<wire::Message> &reply) {
                      if (!reply || !reply->__isset.ownerReport) {
                          if (peers.refusedConnection(*address) && ownerAddress() == address) {
                              advanceLeadership(owner_connection_refused {});
                          }
                          return;
                      }
                      if (!reply->ownerReport.owns) {
                          return;
                      }
                      configurationLink.handleReport(reply->ownerReport, *address, sentAt);
                      if (reply->ownerReport.__isset.waitingAgeMs) {
                          const auto &report = reply->ownerReport;
                          keepLater(waitingCounts,
                                    {{report.waiting.begin(), report.waiting.end()},
                                     process,
                                     report.token,
                                     sentAt - std::chrono::milliseconds(report.waitingAgeMs)});
                      }
                      advanceLeadership(owner_answer_received {process, reply->ownerReport.token});
                  });
    }

    void refreshAdviceRoutes()
    {
        std::map<process_id, advice_dispatcher::advice_route> routes;
        routes[settings.process].call = [this](const ask_advice &request, std::chrono::milliseconds timeout,
                                               auto done) {
            advice.ask(request.step, request.workers, timeout, std::move(done));
        };
        const auto now = bootNow();
        for (const auto &[name, peer] : knownPeers) {
            if (!peer.isLeaving && peer.lastContactAt + contactTimeout > now) {
                const auto call = [this, address = peer.address](const ask_advice &request,
                                                                 std::chrono::milliseconds timeout, auto done) {
                    requestAdviceThroughPeer(address, request, timeout, std::move(done));
                };
                routes[name] = {call, peer.region == settings.region ? nearAdviceDelay : farAdviceDelay};
            }
        }
        adviceDispatcher.setRoutes(std::move(routes));
    }

    void requestAdviceThroughPeer(const peer_address &address, const ask_advice &request,
                                  std::chrono::milliseconds timeout, std::function<void(advice_answered)> done)
    {
        wire::Message message;
        auto &query = message.adviceQuery;
        query.job = request.step.job;
        query.occurrence = request.step.occurrence;
        query.step = request.step.step;
        query.workers = request.workers;
        query.patienceMs = timeout.count();
        message.__isset.adviceQuery = true;
        // Waits longer than the peer does for the service, so that the peer's answer still arrives.
        peers.ask(address, message, timeout + 200ms,
                  [request, done = std::move(done)](const std::optional<wire::Message> &reply) {
                      advice_answered answer {request.step, request.workers, false, {}, 0ms};
                      if (reply && reply->__isset.adviceReport && reply->adviceReport.answered) {
                          answer.isAnswered = true;
                          answer.valid = std::chrono::milliseconds(reply->adviceReport.validMs);
                          for (const auto &each : reply->adviceReport.allowed) {
                              answer.allowed.push_back({each.worker, each.ticket});
                          }
                      }
                      done(std::move(answer));
                  });
    }

    void handleAdviceQuery(const wire::AdviceQuery &query, const std::function<void(wire::Message)> &reply)
    {
        advice.ask({query.job, query.occurrence, query.step}, query.workers,
                   std::chrono::milliseconds(std::clamp<std::int64_t>(query.patienceMs, 1, 60'000)),
                   [reply](const advice_answered &answer) {
                       wire::Message message;
                       message.adviceReport.answered = answer.isAnswered;
                       message.adviceReport.validMs = answer.valid.count();
                       for (const auto &each : answer.allowed) {
                           wire::AdvisedWorker row;
                           row.worker = each.worker;
                           row.ticket = each.ticket;
                           message.adviceReport.allowed.push_back(row);
                       }
                       message.__isset.adviceReport = true;
                       reply(message);
                   });
    }

    // --- callers' jobs

    /// Returns std::nullopt if this process isn't the owner or hasn't loaded the stored state.
    std::optional<waiting_counts> ownWaitingCounts() const
    {
        const auto *state = runner.state();
        if (state == nullptr || !isOwner()) {
            return std::nullopt;
        }
        return waiting_counts {waitingJobs(*state), settings.process, leadership.version, runner.countsHoldAsOf()};
    }

    /// Number of waiting jobs of a queue. Returns std::nullopt if neither this process nor an answer of the owner gives
    /// a recent one.
    std::optional<waiting_count> waitingCount(const queue_name &queue) const
    {
        const auto own = ownWaitingCounts();
        return countOf(own ? own : waitingCounts, queue, bootNow());
    }

    // --- the configuration

    void applyConfiguration(const queue_table &table)
    {
        callerServer.setMaxHeadSize(static_cast<std::size_t>(table.maxHeadBytes));
        callerServer.setMaxBodySize(table.maxRequestBytes);
        runner.setWorkspaces(policiesOf(table));
        keys = table.workspaces ? std::optional<key_index>(*table.workspaces) : std::nullopt;
        if (table.workspaces) {
            reportWorkspaces(table.version, *table.workspaces);
        }
    }

    void reportWorkspaces(std::int64_t version, const std::vector<workspace> &workspaces)
    {
        std::size_t keyCount = 0;
        for (const auto &each : workspaces) {
            keyCount += each.keys.size();
        }
        log.writeAlways("queues", "workspaces",
                        {{"version", std::to_string(version)},
                         {"count", std::to_string(workspaces.size())},
                         {"keys", std::to_string(keyCount)}});
        for (const auto &each : findSharedKeys(workspaces)) {
            log.write("queues", "key-shared", {{"holder", each.holder}, {"other", each.other}});
        }
    }

    bool isConfigurationCurrent() const
    {
        const bool isExtended = queues.isStoreOutForAll() && !isIsolated();
        const auto limit = settings.maxConfigurationDelay + (isExtended ? settings.maxOutageDelay : 0ms);
        return queues.confirmedAt() + limit >= bootNow();
    }

    // --- the process

    bool isReady() const
    {
        return !isLeaving && queues.current() && queues.confirmedAt() + maxConfigurationAge > bootNow();
    }

    void answerReadiness(const std::shared_ptr<http_request> &request) const
    {
        request->answer({isReady() ? statusOk : statusUnavailable, {}, ""});
    }

    void answerOperator(const std::shared_ptr<http_request> &request)
    {
        if (request->path() == "/durations") {
            answerDurations(request);
        } else {
            answerMetrics(request);
        }
    }

    /// Answers with what the owner has learned of the durations of a queue's tasks.
    void answerDurations(const std::shared_ptr<http_request> &request)
    {
        const auto *state = runner.state();
        if (state == nullptr) {
            request->answer({statusUnavailable, {}, R"({"detail":"this process doesn't own the shard"})"});
            return;
        }
        const auto page = describeDurations(state->durations, request->query("queue"));
        request->answer({page ? statusOk : statusNotFound,
                         {{"Content-Type", "application/json"}},
                         page.value_or(R"({"detail":"nothing has been learned of this queue"})")});
    }

    void answerMetrics(const std::shared_ptr<http_request> &request)
    {
        measures.set("primrosecroft_owns", isOwner() ? 1 : 0);
        measures.set("primrosecroft_store_writes", static_cast<double>(rows.writes()));
        measures.set("primrosecroft_store_reads", static_cast<double>(rows.reads()));
        measures.set("primrosecroft_log_lines_dropped", static_cast<double>(log.droppedLines()));
        if (queues.confirmedAt() != instant {}) {
            measures.set("primrosecroft_configuration_age_seconds",
                         std::chrono::duration<double>(bootNow() - queues.confirmedAt()).count());
        }
        measures.set("primrosecroft_queues_version",
                     static_cast<double>(queues.current() ? queues.current()->version : 0));
        for (const auto &[kind, traffic] : peers.traffic()) {
            measures.set("primrosecroft_peer_sent_bytes_" + kind, static_cast<double>(traffic.sentBytes));
            measures.set("primrosecroft_peer_received_bytes_" + kind, static_cast<double>(traffic.receivedBytes));
        }
        if (const auto *state = runner.state(); state != nullptr) {
            measures.set("primrosecroft_jobs_live", static_cast<double>(state->jobs.size()));
            measures.set("primrosecroft_workers_known", static_cast<double>(state->workers.size()));
        }
        request->answer({statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, measures.text()});
    }

    /// Logs what each kind of message has taken of the link since the start.
    void logTraffic()
    {
        const auto write = [this](const std::string &kind, const frame_traffic &traffic) {
            log.write("process", "traffic",
                      {{"kind", kind},
                       {"sent", std::to_string(traffic.sentFrames)},
                       {"sent_bytes", std::to_string(traffic.sentBytes)},
                       {"received", std::to_string(traffic.receivedFrames)},
                       {"received_bytes", std::to_string(traffic.receivedBytes)}});
        };
        for (const auto &[kind, traffic] : peers.traffic()) {
            write(kind, traffic);
        }
        const auto writeCalls = [&write](const std::string &kind, const http_byte_counts &bytes) {
            write(kind, {bytes.calls, bytes.sent, bytes.calls, bytes.received});
        };
        writeCalls("store", storeHttp.callBytes());
        writeCalls("workers", workerHttp.callBytes());
        writeCalls("advice", adviceHttp.callBytes());
    }

    void tick()
    {
        recordTick(lateness, presenceInterval, bootNow());
        advanceLeadership(leadership_ticked {rows.storeTime()});
        if (isOwner()) {
            if (const auto word = queues.ownWord(bootNow())) {
                queues.tellWord(*word); // what the others hear
            }
            tryHandover();
            refreshAdviceRoutes();
            if (runner.isServing()) {
                relayedWorkers.refreshPlan();
            }
            if (bootNow() >= trafficLoggedAt + trafficLogInterval) {
                trafficLoggedAt = bootNow();
                logTraffic();
            }
        } else {
            sendPresence();
        }
    }

    static gboolean onTerminate(gpointer self)
    {
        static_cast<parts *>(self)->leave();
        return G_SOURCE_CONTINUE;
    }

    static gboolean onReload(gpointer self)
    {
        static_cast<parts *>(self)->reload();
        return G_SOURCE_CONTINUE;
    }

    /// Reads the settings file and logs whether it is valid. The running process keeps its settings.
    void reload()
    {
        try {
            const auto fresh = platform::decodeSettings(readFile(settingsFile), settingsFile);
            log.writeAlways("process", "reload", {{"process", fresh.process}, {"store", toString(fresh.store)}});
        } catch (const error &fault) {
            log.writeAlways("process", "reload-refused", {{"reason", fault.what()}});
        }
    }

    void leave()
    {
        if (std::exchange(isLeaving, true)) {
            return;
        }
        callerServer.closeAfterResponses();
        log.writeAlways("process", "leaving", {{"requests", std::to_string(callers.inFlight())}});
        const auto leavingSince = bootNow();
        advanceLeadership(leave_requested {});
        tryHandover();
        sendPresence();
        leaveTimer.every(leaveCheckInterval, [this, leavingSince] {
            tryHandover();
            if (bootNow() >= leavingSince + resignAfter) {
                advanceLeadership(resign_requested {}); // no other process has taken over
            }
            if (bootNow() >= leavingSince + settings.terminationGrace - finalAnswersMargin) {
                callers.answerAllAsUnknown();
            }
            const bool isOver = bootNow() >= leavingSince + minLeaveTime && callers.inFlight() == 0 && !isOwner();
            if (isOver || bootNow() >= leavingSince + settings.terminationGrace - exitMargin) {
                leaveTimer.stop();
                log.writeAlways("process", "stopped", {{"cut_off", std::to_string(callers.inFlight())}});
                g_main_loop_quit(loop.get());
            }
        });
    }

    int run()
    {
        peers.listen(settings.peers);
        callerServer.onRefusal([this](server_refusal reason) { reportRefusal(reason); });
        callerServer.listen(settings.callers.address, settings.callers.port);
        readinessServer.listen(settings.readiness.address, settings.readiness.port);
        if (metricsPort != 0) {
            metricsServer.listen(settings.peers.address, metricsPort);
        }
        log.writeAlways("process", "started",
                        {{"process", settings.process},
                         {"domain", settings.failureDomain},
                         {"callers", toString(settings.callers)},
                         {"peers", toString(settings.peers)},
                         {"store", toString(settings.store)}});
        const auto sources = {g_unix_signal_add(SIGTERM, &parts::onTerminate, this),
                              g_unix_signal_add(SIGINT, &parts::onTerminate, this),
                              g_unix_signal_add(SIGHUP, &parts::onReload, this)};
        queues.start([this](const queue_table &table) { applyConfiguration(table); });
        tickTimer.every(presenceInterval, [this] { tick(); });
        adviceTimer.every(adviceCheckInterval, [this] {
            if (isOwner()) {
                adviceDispatcher.hedgeLateCalls();
            }
        });
        tick();
        g_main_loop_run(loop.get());
        for (const auto source : sources) {
            g_source_remove(source);
        }
        return 0;
    }

    cell_daemon_settings settings;
    std::string settingsFile;
    std::uint16_t metricsPort;
    std::int64_t incarnation;
    instant startedAt = bootNow();
    loop_pointer loop {g_main_loop_new(nullptr, FALSE)};
    decision_log log;
    metrics measures;
    http_client storeHttp;
    http_client workerHttp;
    http_client adviceHttp;
    platform::store_client storeClient;
    monitored_store rows;
    platform::worker_client workerClient;
    observed_workers workers;
    platform::advice_client advice;
    peer_hub peers;
    queue_follower queues;
    std::optional<key_index> keys; ///< of the configuration in force; unset if it has no workspaces
    configuration_link configurationLink;
    leadership_state leadership;
    advice_dispatcher adviceDispatcher {
        bootNow, [this](const advice_call_report &report) { reportAdviceCall(report, log, measures); }};
    order_relay relay;
    relayed_workers relayedWorkers;
    cell_runner runner;
    owner_link ownerLink;
    caller_service callers;
    http_server callerServer;
    http_server readinessServer;
    http_server metricsServer;
    instant trafficLoggedAt;
    timer tickTimer;
    timer adviceTimer;
    timer ownershipLostTimer;
    timer leaveTimer;
    tick_lateness lateness;
    /// When the last completed call for the owner's row was sent. A new ownership counts as confirmed from then on.
    instant ownershipConfirmedAt;
    std::optional<instant> handoverRequestedAt; ///< of the latest request; std::nullopt before the first one
    instant ownsSince;
    std::optional<peer_address> formerOwner; ///< at the latest take-over; std::nullopt if no owner was known
    process_id lastSuccessor; ///< the daemon last asked to take over; empty if this ownership has asked none
    std::map<process_id, successor_candidate> knownPeers; ///< from the last presence message of each
    std::map<process_id, relay_clock> relayClocks; ///< from the presence messages of each
    std::optional<waiting_counts> waitingCounts; ///< the latest that an owner has reported
    bool isLeaving = false;
};

cell_daemon::cell_daemon(const cell_daemon_options &options)
    : m_parts(std::make_unique<parts>(options))
{
}

cell_daemon::~cell_daemon() = default;

int cell_daemon::run()
{
    return m_parts->run();
}

} // namespace primrosecroft
