#include "queues/configuration_source.h"
#include "queues/queue_following.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// The processes of a region far from the store, which follow the configuration in virtual time.
using namespace primrosecroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr instant start {1h};
constexpr int processCount = 15;
constexpr auto storeRoundTrip = 46ms;
constexpr auto peerRoundTrip = 2ms;
constexpr auto maxReadyAge = 2'200ms; ///< a process with an older confirmation isn't ready
constexpr auto presenceInterval = 200ms;

struct following_process
{
    std::string name;
    peer_address address;
    following_state state;
    milliseconds clockOffset {0}; ///< of its clock, which no other process can know
    std::string value; ///< of its newest row
    std::int64_t inForce = 0;
    std::map<int, std::function<void()>> questions; ///< that wait for news
    bool isDead = false;
    bool isFrozen = false;
    bool isCutFromStore = false;
    bool isCutFromPeers = false;
    bool answersQuestions = true; ///< an earlier build doesn't
    std::vector<std::function<void()>> backlog; ///< that arrived while it was frozen
    std::set<std::string> faults; ///< for which it gave up a source
    std::vector<instant> askedSourceAt;
    std::optional<instant> storeReachedAt; ///< when the latest call was sent that the store answered
};

struct region
{
    explicit region(bool hasOwner = true)
        : isOwnerAlive(hasOwner)
    {
        write();
        for (int index = 0; index < processCount; ++index) {
            auto process = std::make_unique<following_process>();
            process->name = "p" + std::to_string(10 + index);
            process->address = {"10.0.0." + std::to_string(10 + index), 8161};
            process->clockOffset = 1'000ms * index;
            processes.push_back(std::move(process));
        }
        for (int index = 0; index < processCount; ++index) {
            at(start + 37ms * index, [this, index] { advance(process(index), following_due {}); });
        }
        at(start + 300ms, [this] { ownerTick(); });
        runFor(4s);
        storeTransfers = 0;
        oldest = 0ms;
        longestQueue = 0ms;
    }

    following_process &process(int index)
    {
        return *processes.at(static_cast<std::size_t>(index));
    }

    // --- time

    void at(instant time, std::function<void()> action)
    {
        events.emplace(time, std::move(action));
    }

    void runFor(milliseconds span)
    {
        const auto end = now + span;
        while (now < end) {
            const auto next = std::min(end, now + 10ms);
            while (!events.empty() && events.begin()->first <= next) {
                now = std::max(now, events.begin()->first);
                const auto action = std::move(events.begin()->second);
                events.erase(events.begin());
                action();
                checkConfirmations();
            }
            now = next;
            recordAges();
        }
    }

    /// Calls @p action when the process can handle it: never if it has died, later if it is frozen.
    void deliver(following_process &target, std::function<void()> action)
    {
        if (target.isFrozen) {
            target.backlog.push_back(std::move(action));
        } else if (!target.isDead) {
            action();
        }
    }

    void unfreeze(following_process &target)
    {
        target.isFrozen = false;
        for (const auto &action : std::exchange(target.backlog, {})) {
            action();
        }
    }

    instant clockOf(const following_process &target) const
    {
        return now + target.clockOffset;
    }

    // --- what holds at any time

    /// The row of each process was the newest one of the store when it was confirmed, or is a newer one.
    void checkConfirmations()
    {
        for (const auto &each : processes) {
            if (each->state.confirmedAt == instant {}) {
                continue;
            }
            const auto confirmedAt = each->state.confirmedAt - each->clockOffset;
            const auto newest = std::prev(written.upper_bound(confirmedAt))->second;
            if (each->state.rowVersion < newest) {
                wrongConfirmations.insert(each->name);
            }
        }
    }

    void recordAges()
    {
        for (const auto &each : processes) {
            if (!each->isDead && !each->isFrozen && !excepted.contains(each->name)
                && each->state.confirmedAt != instant {}) {
                oldest = std::max(oldest, std::chrono::ceil<milliseconds>(clockOf(*each) - each->state.confirmedAt));
                oldestContact = std::max(oldestContact, std::chrono::ceil<milliseconds>(now - *each->storeReachedAt));
            }
        }
    }

    bool allHave(std::int64_t version) const
    {
        return std::ranges::all_of(processes, [version](const auto &each) {
            return each->isDead || each->isFrozen || each->inForce == version;
        });
    }

    // --- the store

    void write()
    {
        newestRow += 10;
        written[now] = newestRow;
        for (const auto &[id, answer] : std::exchange(polls, {})) {
            answer();
        }
    }

    store_answered snapshot(row_version after, bool isRead)
    {
        store_answered answer;
        answer.isDone = true;
        answer.isHistoryTruncated = !isRead && after < historyStart;
        answer.version = newestRow + otherChanges;
        if (!answer.isHistoryTruncated && newestRow > after) {
            answer.rows.push_back({{"op", "", "config"}, std::to_string(newestRow / 10), newestRow, false});
        }
        return answer;
    }

    /// Sends an answer over the link, on which rows wait for each other.
    void sendAnswer(following_process &target, store_answered answer, instant sentAt)
    {
        auto arrival = now;
        if (!answer.rows.empty()) {
            ++storeTransfers;
            longestQueue = std::max(longestQueue, std::chrono::ceil<milliseconds>(linkFreeAt - now));
            linkFreeAt = std::max(now, linkFreeAt) + rowTransferTime;
            arrival = linkFreeAt;
        }
        answer.sentAt = sentAt;
        at(arrival + storeRoundTrip / 2, [this, &target, answer] {
            deliver(target, [this, &target, answer] {
                target.storeReachedAt = answer.sentAt - target.clockOffset;
                advance(target, answer);
            });
        });
    }

    bool failsAtStore(following_process &from, milliseconds timeout, instant sentAt)
    {
        if (!from.isCutFromStore && !isStoreOut) {
            return false;
        }
        store_answered failure;
        failure.sentAt = sentAt;
        at(now + timeout,
           [this, &from, failure] { deliver(from, [this, &from, failure] { advance(from, failure); }); });
        return true;
    }

    void read(following_process &from)
    {
        const auto sentAt = clockOf(from);
        if (!failsAtStore(from, 700ms, sentAt)) {
            at(now + storeRoundTrip / 2, [this, &from, sentAt] { sendAnswer(from, snapshot(0, true), sentAt); });
        }
    }

    void poll(following_process &from, const poll_store &call)
    {
        const auto sentAt = clockOf(from);
        if (failsAtStore(from, call.wait + 500ms, sentAt)) {
            return;
        }
        at(now + storeRoundTrip / 2, [this, &from, call, sentAt] {
            const auto id = ++lastId;
            const auto answer = [this, &from, call, sentAt] { sendAnswer(from, snapshot(call.after, false), sentAt); };
            if (newestRow > call.after) {
                answer();
                return;
            }
            polls[id] = answer;
            at(now + call.wait, [this, id] {
                if (const auto found = polls.find(id); found != polls.end()) {
                    const auto answerNow = found->second;
                    polls.erase(found);
                    answerNow();
                }
            });
        });
    }

    // --- processes

    void advance(following_process &target, const following_message &message)
    {
        const auto before = target.state;
        for (const auto &action : step(target.state, message, clockOf(target))) {
            std::visit([&](const auto &each) { perform(target, each); }, action);
        }
        if (target.state.confirmedAt != before.confirmedAt || target.state.rowVersion != before.rowVersion) {
            answerQuestions(target);
        }
    }

    void perform(following_process &target, const read_store & /*action*/)
    {
        read(target);
    }

    void perform(following_process &target, const poll_store &call)
    {
        poll(target, call);
    }

    void perform(following_process &target, const probe_store & /*action*/)
    {
        const bool isLost = target.isCutFromStore || isStoreOut;
        const auto sentAt = now;
        at(now + (isLost ? milliseconds(700ms) : storeRoundTrip), [this, &target, isLost, sentAt] {
            deliver(target, [this, &target, isLost, sentAt] {
                target.storeReachedAt = isLost ? target.storeReachedAt : sentAt;
                advance(target, probe_ended {});
            });
        });
    }

    void perform(following_process &target, const pause_following &pause)
    {
        at(now + pause.delay,
           [this, &target] { deliver(target, [this, &target] { advance(target, following_due {}); }); });
    }

    void perform(following_process &target, const apply_row &received)
    {
        if (received.row.version == target.state.rowVersion) {
            target.value = received.row.value;
        }
        const auto version = std::stoll(received.row.value);
        hasGoneBack = hasGoneBack || version < target.inForce;
        target.inForce = std::max<std::int64_t>(target.inForce, version);
    }

    void perform(following_process &target, const report_source_lost &lost)
    {
        target.faults.insert(lost.reason);
    }

    template<typename report>
    void perform(following_process & /*target*/, const report & /*action*/)
    {
    }

    void perform(following_process &from, const ask_source &call)
    {
        from.askedSourceAt.push_back(now);
        ask<source_answered>(from, call);
    }

    void perform(following_process &from, const ask_owner &call)
    {
        ++ownerQuestions;
        ask<owner_answered>(from, {call.owner, call.rowVersion, 0ms, call.timeout});
    }

    following_process *find(const peer_address &address)
    {
        if (owner && owner->address == address) {
            return owner.get();
        }
        const auto found = std::ranges::find_if(processes, [&](const auto &each) { return each->address == address; });
        return found == processes.end() ? nullptr : found->get();
    }

    template<typename answered>
    void ask(following_process &from, const ask_source &call)
    {
        const auto sentAt = clockOf(from);
        const auto isOver = std::make_shared<bool>(false);
        const auto end = [this, &from, sentAt, isOver, call](const std::optional<configuration_news> &news) {
            deliver(from, [this, &from, sentAt, isOver, call, news] {
                if (!std::exchange(*isOver, true)) {
                    advance(from, answered {sentAt, call.source, news});
                }
            });
        };
        at(now + call.timeout, [end] { end(std::nullopt); });
        auto *found = find(call.source);
        if (found == nullptr) {
            return;
        }
        auto &asked = *found;
        if (asked.isDead) {
            at(now + peerRoundTrip, [end] { end(std::nullopt); }); // refused
            return;
        }
        if (asked.isCutFromPeers || from.isCutFromPeers || !asked.answersQuestions) {
            return;
        }
        at(now + peerRoundTrip / 2, [this, &asked, call, end] {
            deliver(asked, [this, &asked, call, end] {
                handleQuestion(asked, call, [this, end](const configuration_news &news) {
                    at(now + peerRoundTrip / 2, [end, news] { end(news); });
                });
            });
        });
    }

    void handleQuestion(following_process &asked, const ask_source &call,
                        const std::function<void(configuration_news)> &reply)
    {
        noteQuestion(asked.state, clockOf(asked));
        const auto askedAt = clockOf(asked);
        const auto answer = [this, &asked, call, askedAt, reply] {
            auto news = newsFor(asked.state, askedAt);
            if (news.rowVersion > call.rowVersion) {
                news.isTooLarge = areRowsTooLarge;
                if (!areRowsTooLarge) {
                    news.value = asked.value;
                    ++peerTransfers;
                }
            }
            reply(news);
        };
        if (asked.state.rowVersion > call.rowVersion || call.wait == 0ms) {
            answer();
            return;
        }
        const auto id = ++lastId;
        asked.questions[id] = answer;
        at(now + call.wait, [this, &asked, id] {
            deliver(asked, [&asked, id] {
                if (const auto found = asked.questions.find(id); found != asked.questions.end()) {
                    const auto answerNow = found->second;
                    asked.questions.erase(found);
                    answerNow();
                }
            });
        });
    }

    static void answerQuestions(following_process &asked)
    {
        for (const auto &[id, question] : std::exchange(asked.questions, {})) {
            question();
        }
    }

    // --- the owner, near the store

    configuration_candidate candidateOf(const following_process &each) const
    {
        configuration_candidate result;
        result.address = each.address;
        result.region = "far";
        result.lastContactAt = now;
        result.storeRoundTrip = storeRoundTrip;
        if (each.state.confirmedAt != instant {}) {
            result.configurationAge = std::chrono::ceil<milliseconds>(clockOf(each) - each.state.confirmedAt);
        }
        result.linkMbps = 1'000;
        return result;
    }

    void ownerTick()
    {
        at(now + presenceInterval, [this] { ownerTick(); });
        if (!isOwnerAlive) {
            return;
        }
        const auto isPresent = [](const auto &each) { return !each->isDead && !each->isFrozen; };
        for (const auto &each : processes) {
            if (isPresent(each)) {
                candidates[each->name] = candidateOf(*each);
            }
        }
        sources = chooseConfigurationSources(candidates, sources, now);
        for (const auto &each : processes) {
            if (isPresent(each) && sources.contains("far")) {
                const auto source = forcedSource.value_or(candidates.at(sources.at("far")).address);
                tellSource(each->state, source == each->address ? std::nullopt : std::optional(source), clockOf(*each));
            }
        }
    }

    /// From now on the owner follows the configuration too, and tells the processes which row it has.
    void startWords()
    {
        owner = std::make_unique<following_process>();
        owner->name = "owner";
        owner->address = {"10.0.0.9", 8161};
        owner->clockOffset = 70s;
        advance(*owner, following_due {});
        at(now + 70ms, [this] { wordTick(); });
        runFor(2s);
        oldest = 0ms;
        storeTransfers = 0;
    }

    void wordTick()
    {
        at(now + presenceInterval, [this] { wordTick(); });
        for (const auto &each : processes) {
            const bool isHeard = !each->isDead && !each->isFrozen && !each->isCutFromPeers;
            if (isHeard && !owner->isDead && !owner->isFrozen) {
                at(now + peerRoundTrip / 2,
                   [this, &target = *each, sentAt = clockOf(*each)] { tellWord(target, sentAt); });
            }
        }
    }

    /// The presence message that @p target sent at @p sentAt has arrived at the owner.
    void tellWord(following_process &target, instant sentAt)
    {
        const auto news = newsFor(owner->state, clockOf(*owner));
        if (!news.confirmedAge) {
            return;
        }
        const owner_word word {owner->address, sentAt, news.rowVersion, *news.confirmedAge};
        at(now + peerRoundTrip / 2,
           [this, &target, word] { deliver(target, [this, &target, word] { advance(target, owner_told {word}); }); });
    }

    following_process &source()
    {
        return **std::ranges::find_if(processes, [this](const auto &each) { return each->name == sources.at("far"); });
    }

    instant now = start;
    std::multimap<instant, std::function<void()>> events;
    int lastId = 0;
    row_version newestRow = 0;
    row_version otherChanges = 3; ///< of other rows since the newest row
    row_version historyStart = 0;
    std::map<instant, row_version> written;
    std::map<int, std::function<void()>> polls; ///< that wait for a change
    milliseconds rowTransferTime = 95ms; ///< of 0.7 MB over the link between the regions
    instant linkFreeAt;
    milliseconds longestQueue {0}; ///< for which a row waited until the rows before it were through the link
    int storeTransfers = 0; ///< of the row, from the store
    int peerTransfers = 0;
    bool isStoreOut = false;
    bool areRowsTooLarge = false;
    std::vector<std::unique_ptr<following_process>> processes;
    configuration_candidates candidates;
    configuration_sources sources;
    std::optional<peer_address> forcedSource;
    bool isOwnerAlive = true;
    std::unique_ptr<following_process> owner; ///< unset until startWords()
    int ownerQuestions = 0;
    std::set<std::string> excepted; ///< processes whose confirmation may grow old
    std::set<std::string> wrongConfirmations;
    milliseconds oldest {0}; ///< greatest age of a confirmation at any process that isn't excepted
    milliseconds oldestContact {0}; ///< greatest time since such a process has reached the store
    bool hasGoneBack = false;
};

/// What every case ends with: after another change all have it, none was ever unready but for the time in which rows
/// waited for each other, and none confirmed a row wrongly.
void checkOutcome(region &far, milliseconds settling = 8s)
{
    far.runFor(settling);
    far.write();
    far.runFor(3s);
    CHECK(far.allHave(far.newestRow / 10));
    CHECK(far.oldest < maxReadyAge + far.longestQueue);
    CHECK(far.wrongConfirmations.empty());
    CHECK_FALSE(far.hasGoneBack);
}

} // namespace

TEST_CASE("a change of the configuration crosses the link to a far region once")
{
    region far;
    REQUIRE(far.allHave(1));
    far.write();
    far.runFor(1s);
    CHECK(far.allHave(2));
    CHECK(far.storeTransfers == 1);
    CHECK(far.peerTransfers == processCount - 1);
    checkOutcome(far, 30s);
    CHECK(far.storeTransfers == 2);
    CHECK(far.longestQueue == 0ms);
    for (const auto &each : far.processes) {
        CHECK(each->faults.empty());
    }
}

TEST_CASE("a transfer that takes long on a busy link is still the only one")
{
    for (const auto phase : {0ms, 90ms, 180ms, 270ms, 360ms, 450ms}) {
        region far;
        far.rowTransferTime = 800ms;
        far.runFor(phase);
        far.write();
        far.runFor(3s);
        CHECK(far.allHave(2));
        CHECK(far.storeTransfers == 1);
        checkOutcome(far);
    }
}

TEST_CASE("the confirmations of processes that ask a source stay as young as its own")
{
    region far;
    far.runFor(2s);
    far.oldest = 0ms;
    far.runFor(10s);
    CHECK(far.oldest < 1s);
}

TEST_CASE("a process that asks a source still notices that it reaches the store")
{
    region far;
    far.runFor(2s);
    far.oldestContact = 0ms;
    far.runFor(10s);
    CHECK(far.oldestContact < 1'500ms); // the store counts as unreachable after this time
    CHECK(far.storeTransfers == 0);
}

TEST_CASE("without an owner that names a source, each process reads the store")
{
    region far(false);
    far.write();
    far.runFor(3s);
    CHECK(far.allHave(2));
    CHECK(far.storeTransfers == processCount);
    CHECK(far.peerTransfers == 0);
}

TEST_CASE("when the source ends, the others stay confirmed, and another one becomes the source")
{
    region far;
    const auto before = far.source().name;
    SECTION("its connections are refused")
    {
        far.source().isDead = true;
    }
    SECTION("it freezes")
    {
        far.source().isFrozen = true;
    }
    far.runFor(10s);
    CHECK(far.source().name != before);
    far.storeTransfers = 0;
    far.write();
    far.runFor(1s);
    CHECK(far.storeTransfers == 1);
    checkOutcome(far);
}

TEST_CASE("a change in the very moment in which the source freezes comes into force at the others")
{
    region far;
    auto &source = far.source();
    source.isFrozen = true;
    far.write();
    far.runFor(4s);
    for (const auto &each : far.processes) {
        CHECK((each->inForce == 2 || each.get() == &source));
    }
    far.unfreeze(source);
    far.recordAges();
    far.oldest = 0ms;
    far.excepted.insert(source.name);
    far.runFor(2s);
    far.excepted.clear();
    checkOutcome(far);
}

TEST_CASE("a source that freezes for any time and goes on tells no age that is too young")
{
    for (const auto span : {300ms, 700ms, 1'200ms, 1'700ms, 2'500ms, 5'000ms}) {
        INFO("frozen for " << span.count() << " ms");
        region far;
        auto &source = far.source();
        far.excepted.insert(source.name);
        source.isFrozen = true;
        far.runFor(span / 2);
        far.write();
        far.runFor(span - span / 2);
        far.unfreeze(source);
        far.runFor(4s);
        far.excepted.clear();
        checkOutcome(far);
    }
}

TEST_CASE("when the source can't reach the store, its confirmation grows old and the others go back to the store")
{
    region far;
    auto &source = far.source();
    far.excepted.insert(source.name);
    source.isCutFromStore = true;
    far.write(); // the others get this version before the source
    far.runFor(2'500ms);
    for (const auto &each : far.processes) {
        CHECK((each->inForce == 2 || each.get() == &source));
    }
    far.runFor(10s);
    CHECK(far.source().name != source.name);
    CHECK(source.inForce == 2); // from the next source
    far.excepted.clear();
    far.oldest = 0ms;
    checkOutcome(far);
}

TEST_CASE("when the source and the others don't reach each other, the others read the store")
{
    region far;
    far.source().isCutFromPeers = true;
    far.write();
    far.runFor(3s);
    CHECK(far.allHave(2));
    checkOutcome(far, 60s);
    // The pauses between two questions grow up to half a minute.
    const auto &asker = far.process(processCount - 1);
    CHECK(asker.faults == std::set<std::string> {"no-answer"});
    CHECK(std::ranges::count_if(asker.askedSourceAt, [&](instant asked) { return asked > far.now - 60s; }) <= 6);
}

TEST_CASE("a source of an earlier build doesn't answer, and the others read the store")
{
    region far;
    far.process(3).answersQuestions = false;
    far.forcedSource = far.process(3).address;
    checkOutcome(far);
    CHECK(far.process(1).faults == std::set<std::string> {"no-answer"});
}

TEST_CASE("a source that is a version behind doesn't take the version from those that ask it")
{
    region far;
    auto &behind = far.process(7);
    behind.isCutFromStore = true;
    far.excepted.insert(behind.name);
    behind.state.sourcePausedUntil = far.clockOf(behind) + 1h;
    far.runFor(500ms);
    far.write();
    far.runFor(1s);
    REQUIRE(behind.inForce == 1);
    far.forcedSource = behind.address;
    far.runFor(5s);
    CHECK(behind.inForce == 1);
    for (const auto &each : far.processes) {
        CHECK((each->inForce == 2 || each.get() == &behind));
    }
    behind.isCutFromStore = false;
    far.runFor(4s);
    far.excepted.clear();
    checkOutcome(far);
}

TEST_CASE("processes that are told to ask each other go back to the store")
{
    region far;
    far.isOwnerAlive = false;
    for (int tick = 0; tick < 100; ++tick) {
        for (int index = 0; index < processCount; ++index) {
            auto &each = far.process(index);
            tellSource(each.state, far.process((index + 1) % processCount).address, far.clockOf(each));
        }
        far.runFor(200ms);
    }
    CHECK(far.process(0).faults.contains("old"));
    checkOutcome(far);
}

TEST_CASE("without an owner the source is kept for a take-over, and then each process reads the store")
{
    region far;
    far.isOwnerAlive = false;
    far.write();
    far.runFor(2s);
    CHECK(far.storeTransfers == 1);
    far.runFor(6s);
    far.storeTransfers = 0;
    far.write();
    far.runFor(3s);
    CHECK(far.storeTransfers == processCount);
    checkOutcome(far);
}

TEST_CASE("when the next owner names another source, the others follow it without a transfer")
{
    region far;
    far.isOwnerAlive = false;
    far.runFor(2s);
    far.candidates.clear();
    far.sources = {{"far", far.process(9).name}};
    far.candidates[far.process(9).name] = far.candidateOf(far.process(9));
    far.isOwnerAlive = true;
    far.runFor(3s);
    CHECK(far.source().name == far.process(9).name);
    CHECK(far.storeTransfers == 0);
    far.write();
    far.runFor(1s);
    CHECK(far.storeTransfers == 1);
    checkOutcome(far);
}

TEST_CASE("a process that can't reach the store stays confirmed by the source")
{
    region far;
    far.process(5).isCutFromStore = true;
    far.write();
    far.runFor(30s);
    CHECK(far.process(5).inForce == 2);
    checkOutcome(far);
    CHECK(far.storeTransfers == 2);
}

TEST_CASE("after an outage of the store the processes are confirmed again, and the source is asked again")
{
    region far;
    far.isStoreOut = true;
    far.runFor(20s);
    far.isStoreOut = false;
    far.runFor(40s);
    far.oldest = 0ms;
    far.storeTransfers = 0;
    checkOutcome(far);
    CHECK(far.storeTransfers == 1);
}

TEST_CASE("a row that doesn't fit a message is read from the store")
{
    region far;
    far.areRowsTooLarge = true;
    far.write();
    far.runFor(3s);
    CHECK(far.allHave(2));
    CHECK(far.peerTransfers == 0);
    CHECK(far.process(processCount - 1).faults == std::set<std::string> {"too-large"});
    checkOutcome(far);
}

TEST_CASE("when the store has dropped its history, only the source reads the row anew")
{
    region far;
    far.historyStart = far.newestRow + 4;
    far.write();
    far.runFor(2s);
    CHECK(far.allHave(2));
    CHECK(far.storeTransfers == 1);
    checkOutcome(far);
}

TEST_CASE("processes that go back to the store go on where the source has read to")
{
    region far;
    far.otherChanges = 8;
    far.runFor(3s);
    far.historyStart = far.newestRow + 5;
    far.isOwnerAlive = false;
    far.source().isDead = true;
    far.runFor(10s);
    CHECK(far.storeTransfers == 0);
    checkOutcome(far);
}

TEST_CASE("an older row of a source changes nothing")
{
    following_state state;
    state.confirmedAt = start;
    state.rowVersion = 10;
    tellSource(state, peer_address {"10.0.0.1", 8161}, start);
    configuration_news news;
    news.rowVersion = 9;
    news.checkedVersion = 9;
    news.confirmedAge = 0ms;
    news.value = "older";
    const auto actions = step(state, source_answered {start + 100ms, *state.source, news}, start + 200ms);
    CHECK(std::ranges::none_of(actions, [](const auto &action) { return std::holds_alternative<apply_row>(action); }));
    CHECK(state.rowVersion == 10);
}

TEST_CASE("an answer confirms the row as of the question at the latest, less the age told")
{
    following_state state;
    state.confirmedAt = start;
    state.rowVersion = 10;
    tellSource(state, peer_address {"10.0.0.1", 8161}, start);
    configuration_news news;
    news.rowVersion = 10;
    news.confirmedAge = -300ms;
    step(state, source_answered {start + 100ms, *state.source, news}, start + 800ms);
    CHECK(state.confirmedAt == start + 400ms);
    news.confirmedAge = -30s; // can't be
    step(state, source_answered {start + 900ms, *state.source, news}, start + 1s);
    CHECK(state.confirmedAt == start + 1s);
}

TEST_CASE("what a process tells is never younger than its confirmation")
{
    following_state state;
    CHECK_FALSE(newsFor(state, start).confirmedAge);
    state.confirmedAt = start;
    CHECK(newsFor(state, start + 1us).confirmedAge == 1ms);
    CHECK(newsFor(state, start - 1us).confirmedAge == 0ms);
}

TEST_CASE("processes that the store turns away hear of a change from the owner")
{
    for (const auto phase : {0ms, 130ms, 260ms, 390ms, 520ms, 650ms}) {
        for (const bool isSourceCut : {false, true}) {
            INFO("cut after " << phase.count() << " ms, the source too: " << isSourceCut);
            region far;
            far.startWords();
            far.runFor(phase);
            for (const auto index : {3, 6, 9, 12, 14}) {
                far.process(index).isCutFromStore = true;
            }
            far.source().isCutFromStore = isSourceCut;
            far.runFor(1'500ms);
            far.write();
            far.runFor(2'500ms); // our bound in an outage
            CHECK(far.allHave(2));
            far.runFor(6s);
            far.write();
            far.runFor(2'500ms);
            CHECK(far.allHave(3));
            CHECK(far.oldest < maxReadyAge);
            std::ranges::for_each(far.processes, [](const auto &each) { each->isCutFromStore = false; });
            checkOutcome(far);
        }
    }
}

TEST_CASE("a change in the moment in which the store turns processes away reaches them in time")
{
    for (const auto phase : {-300ms, -150ms, -20ms, 0ms, 20ms, 150ms, 300ms}) {
        INFO("change " << phase.count() << " ms after the cut");
        region far;
        far.startWords();
        const auto cut = [&far] {
            for (const auto index : {2, 5, 8, 11, 14}) {
                far.process(index).isCutFromStore = true;
            }
        };
        far.at(far.now + 400ms, cut);
        far.at(far.now + 400ms + phase, [&far] { far.write(); });
        far.runFor(400ms + phase + 2'500ms);
        CHECK(far.allHave(2));
    }
}

TEST_CASE("a process that starts while the store turns it away takes the configuration from the owner")
{
    region far;
    far.startWords();
    auto &fresh = far.process(4);
    fresh.isCutFromStore = true;
    far.forcedSource = peer_address {"10.0.0.99", 8161}; // nobody listens there
    fresh.state = {};
    fresh.inForce = 0;
    far.excepted.insert(fresh.name);
    far.at(far.now, [&] { far.advance(fresh, following_due {}); });
    far.runFor(2'500ms);
    CHECK(fresh.inForce == 1);
    CHECK(far.wrongConfirmations.empty());
}

TEST_CASE("an owner that the store turns away confirms nobody beyond its own confirmation")
{
    region far(false); // no process is told a source
    far.startWords();
    auto &cut = far.process(5);
    far.excepted.insert(cut.name);
    cut.isCutFromStore = true;
    far.runFor(3s);
    CHECK(far.clockOf(cut) - cut.state.confirmedAt < maxReadyAge);
    CHECK_FALSE(isStoreOutForAll(cut.state, far.clockOf(cut)));
    far.owner->isCutFromStore = true;
    far.runFor(1'500ms); // until its last poll is over
    far.write();
    far.runFor(4s);
    CHECK(cut.inForce == 1);
    CHECK(far.clockOf(cut) - cut.state.confirmedAt > 4s);
    CHECK(isStoreOutForAll(cut.state, far.clockOf(cut)));
    CHECK(far.wrongConfirmations.empty());
    far.owner->isCutFromStore = false;
    far.runFor(2'500ms);
    CHECK(cut.inForce == 2);
    CHECK_FALSE(isStoreOutForAll(cut.state, far.clockOf(cut)));
    CHECK(far.wrongConfirmations.empty());
}

TEST_CASE("without the owner's word a process isn't extended in its use of an old configuration")
{
    region far(false);
    far.startWords();
    auto &cut = far.process(5);
    far.isStoreOut = true;
    far.runFor(4s);
    CHECK(isStoreOutForAll(cut.state, far.clockOf(cut)));
    far.owner->isDead = true;
    far.runFor(1'300ms);
    CHECK_FALSE(isStoreOutForAll(cut.state, far.clockOf(cut)));
}

TEST_CASE("an owner with an older row takes no version back")
{
    region far;
    far.startWords();
    far.owner->isCutFromStore = true;
    far.runFor(1'500ms);
    far.write();
    far.runFor(3s);
    CHECK(far.owner->inForce == 1);
    CHECK(far.allHave(2));
    CHECK(far.ownerQuestions == 0);
    checkOutcome(far);
}

TEST_CASE("while the store answers, nobody asks the owner")
{
    for (const auto transferTime : {95ms, 450ms}) {
        region far;
        far.rowTransferTime = transferTime;
        far.startWords();
        far.write();
        far.runFor(3s);
        CHECK(far.allHave(2));
        CHECK(far.ownerQuestions == 0);
        CHECK(far.storeTransfers == 2); // the source's and the owner's
        checkOutcome(far);
    }
}
