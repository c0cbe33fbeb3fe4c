#include "advice_dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ranges>
#include <vector>

/// The ages of the advice service's answers.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// A dispatcher with one route, whose calls wait until the test answers them.
struct one_route
{
    one_route()
    {
        const auto call = [this](const ask_advice &, std::chrono::milliseconds,
                                 const advice_dispatcher::answer_handler &done) { calls.push_back(done); };
        dispatcher.setRoutes({{"a", {call, 0ms}}});
    }

    void ask(std::chrono::microseconds cost)
    {
        dispatcher.ask({{}, {"w"}, cost, false}, [this](const advice_answered &answer) { issuedAt = answer.issuedAt; });
    }

    void answer(std::size_t call, bool isAnswered = true)
    {
        calls.at(call)({{}, {"w"}, isAnswered, {}, 2s});
    }

    const instant now {1h};
    advice_dispatcher dispatcher {[this] { return now; }, [](const advice_call_report &) {}};
    std::vector<advice_dispatcher::answer_handler> calls;
    instant issuedAt; ///< as the last answer tells
};

} // namespace

TEST_CASE("an answer is as old as its call, however late it is handled")
{
    one_route route;
    route.ask(30ms);
    route.answer(0);
    CHECK(route.issuedAt == route.now + 30ms);
}

TEST_CASE("an answer is younger than the answer to the call before it on the same route")
{
    one_route route;
    route.ask(2s);
    route.ask(30ms);
    route.answer(0);
    route.answer(1);
    CHECK(route.issuedAt == route.now + 2'030ms);
}

TEST_CASE("an answer that was overtaken by a later call's answer isn't taken for younger than it is")
{
    one_route route;
    route.ask(30ms);
    route.ask(2s);
    route.answer(1);
    route.answer(0);
    CHECK(route.issuedAt == route.now + 30ms);
}

TEST_CASE("a call without an answer makes the next answer on its route no younger")
{
    one_route route;
    route.ask(2s);
    route.ask(30ms);
    route.answer(0, false);
    route.answer(1);
    CHECK(route.issuedAt == route.now + 30ms);
}

namespace
{

constexpr auto answerMargin = 700ms; ///< beyond its expected time, after which the dispatcher gives a call up
constexpr auto transportMargin = 200ms; ///< after which a call through another daemon ends, beyond its timeout
constexpr auto farDelay = 40ms; ///< of answers through daemons in another region
constexpr auto spreadStep = 7'919ms; ///< a prime, so that the lateness of the calls takes all values
constexpr auto retryDelay = 200ms; ///< pause of the cell after a call without an answer

/// 30 daemons through which steps ask, on virtual time. The service answers each daemon's calls one after the other.
struct asking_site
{
    /// How a daemon's answers come.
    struct daemon
    {
        bool answers = true;
        std::chrono::milliseconds late {1}; ///< beyond the time that the service needs
        instant busyUntil;
        int calls = 0;
    };

    asking_site()
    {
        std::map<process_id, advice_dispatcher::advice_route> routes;
        for (int number = 10; number < 40; ++number) {
            const auto name = "d" + std::to_string(number);
            daemons[name].late = number < 25 ? farDelay : 1ms;
            const auto send = [this, name](const ask_advice &request, std::chrono::milliseconds timeout, auto done) {
                call(name, request, timeout, std::move(done));
            };
            // The last one is the owner itself, and the first half are in another region.
            routes[name] = {send, number == 39 ? 0ms : number < 25 ? 100ms : 20ms};
        }
        dispatcher.setRoutes(std::move(routes));
    }

    void call(const process_id &name, const ask_advice &request, std::chrono::milliseconds timeout,
              advice_dispatcher::answer_handler done)
    {
        auto &through = daemons.at(name);
        ++calls;
        ++through.calls;
        through.busyUntil = std::max(now, through.busyUntil) + request.cost;
        const auto spreadLateness = maxSpread > 0ms ? calls * spreadStep % maxSpread : 0ms;
        const auto answeredAt = through.busyUntil + through.late + spreadLateness;
        const bool isAnswered = through.answers && answeredAt <= now + timeout;
        const auto endsAt = isAnswered ? answeredAt : now + timeout + transportMargin;
        events.emplace(endsAt, [request, isAnswered, issuedAt = through.busyUntil, done = std::move(done), this] {
            serviceIssuedAt = issuedAt;
            done({request.step, request.workers, isAnswered, {}, 2s});
        });
    }

    /// A step asks until it has an answer, as the cell does.
    void startStep()
    {
        ++waitingSteps;
        askAgain(now);
    }

    void askAgain(instant since)
    {
        ++asks;
        dispatcher.ask({{}, std::vector<worker_id>(workers, "w"), cost, true},
                       [this, since](const advice_answered &answer) {
                           if (!answer.isAnswered) {
                               events.emplace(now + retryDelay, [this, since] { askAgain(since); });
                               return;
                           }
                           CHECK(answer.issuedAt <= serviceIssuedAt);
                           --waitingSteps;
                           waits.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(now - since));
                       });
    }

    void advance(std::chrono::milliseconds time)
    {
        const auto end = now + time;
        while (!events.empty() && events.begin()->first <= end) {
            now = std::max(now, events.begin()->first);
            const auto event = events.extract(events.begin());
            event.mapped()();
        }
        now = end;
    }

    /// Lets steps ask one after the other, and returns the longest wait of them, or @p limit if one has no answer then.
    std::chrono::milliseconds askOneAfterTheOther(int steps, std::chrono::milliseconds limit = 30s)
    {
        waits.clear();
        for (int step = 0; step < steps; ++step) {
            const auto giveUpAt = now + limit;
            startStep();
            while (waitingSteps > 0 && now < giveUpAt) {
                advance(10ms);
                dispatcher.hedgeLateCalls();
            }
            if (waitingSteps > 0) {
                return limit;
            }
        }
        return std::ranges::max(waits);
    }

    /// Lets steps ask at the same time, another one for each that has its answer, and returns the longest wait.
    std::chrono::milliseconds askTogether(int steps, std::chrono::milliseconds time)
    {
        waits.clear();
        const auto end = now + time;
        while (now < end) {
            while (waitingSteps < std::min(steps, maxCostlyCalls())) {
                startStep();
            }
            advance(10ms);
            dispatcher.hedgeLateCalls();
        }
        return waits.empty() ? time : std::ranges::max(waits);
    }

    /// Costly calls that the cell admits.
    int maxCostlyCalls() const
    {
        const auto routes = dispatcher.routeCount();
        return std::max(1, routes - std::max(2, routes / 4));
    }

    /// Changes the first daemons by name.
    void change(int count, bool answers, std::chrono::milliseconds late = farDelay)
    {
        for (auto &each : daemons | std::views::take(count) | std::views::values) {
            each.answers = answers;
            each.late = late;
        }
    }

    static constexpr std::size_t workers = 19;
    static constexpr std::chrono::microseconds cost = 370ms + 5'300us * workers;
    /// One call that isn't answered, given up at its timeout at the latest, and the one that is.
    static constexpr std::chrono::milliseconds bound =
        std::chrono::duration_cast<std::chrono::milliseconds>(cost + (cost + answerMargin));

    instant now {1h};
    std::chrono::milliseconds maxSpread {0}; ///< further lateness of the calls, different for each
    std::map<process_id, daemon> daemons;
    std::multimap<instant, std::function<void()>> events;
    instant serviceIssuedAt; ///< when the service made the answer that is handled now
    std::vector<std::chrono::milliseconds> waits;
    int waitingSteps = 0;
    int calls = 0;
    int asks = 0;
    int hedges = 0; ///< that have ended
    advice_dispatcher dispatcher {
        [this] { return now; },
        [this](const advice_call_report &report) { hedges += report.kind == advice_call_kind::hedge ? 1 : 0; }};
};

} // namespace

TEST_CASE("a step doesn't wait for one daemon after the other whose advice calls get no answer")
{
    asking_site site;
    site.change(15, false);
    CHECK(site.askOneAfterTheOther(1) <= asking_site::bound);
    CHECK(site.askOneAfterTheOther(100) <= asking_site::bound);
}

TEST_CASE("a step doesn't wait for one daemon after the other whose answers come too late")
{
    asking_site site;
    site.change(15, true, 1'500ms);
    CHECK(site.askOneAfterTheOther(1) <= asking_site::bound);
    CHECK(site.askOneAfterTheOther(100) <= asking_site::bound);
}

TEST_CASE("a step waits for one patience at most when the owner's own calls and those of a region stop being answered")
{
    asking_site site;
    CHECK(site.askOneAfterTheOther(60) <= asking_site::cost + 30ms);
    site.change(15, false);
    site.daemons.at("d39").answers = false;
    CHECK(site.askOneAfterTheOther(100) <= asking_site::bound);
    CHECK(site.dispatcher.routeCount() >= 14);
}

TEST_CASE("of many steps that ask while half of the daemons stop answering none waits for more than two of them")
{
    asking_site site;
    CHECK(site.askTogether(20, 5s) <= asking_site::bound);
    site.change(15, false);
    // More calls are under way than daemons answer, so one that was given up may meet another daemon in its failure.
    constexpr auto givenUp = asking_site::cost + answerMargin + transportMargin + retryDelay;
    CHECK(site.askTogether(20, 20s) <= givenUp + givenUp + asking_site::cost);
    CHECK(site.maxCostlyCalls() <= 15);
}

TEST_CASE("daemons that answer advice calls again are used again within seconds")
{
    asking_site site;
    site.change(15, false);
    site.askTogether(20, 20s);
    CHECK(site.dispatcher.routeCount() == 15);
    site.change(15, true);
    site.askTogether(20, 10s);
    CHECK(site.dispatcher.routeCount() == 30);
}

TEST_CASE("an advice service that answers nobody is asked by few, and by all within seconds once it answers again")
{
    asking_site site;
    site.askTogether(10, 5s);
    site.change(30, false);
    site.askTogether(10, 20s);
    site.change(30, true);
    site.askTogether(10, 15s);
    CHECK(site.dispatcher.routeCount() == 30);
}

TEST_CASE("at most a quarter of the advice calls are hedged, however late all answers are")
{
    asking_site site;
    site.change(30, true, 600ms);
    site.askTogether(10, 60s);
    CHECK(site.asks >= 500);
    CHECK(site.hedges <= site.asks / 4 + 8);
    CHECK(site.calls <= site.asks + site.asks / 2 + 16); // with the trials
}

TEST_CASE("an advice service that loses some calls through each daemon is still asked through most of them")
{
    asking_site site;
    site.maxSpread = 900ms; // a fifth of the answers come after the timeout
    site.askTogether(22, 60s);
    CHECK(site.dispatcher.routeCount() >= 15);
    CHECK(site.waits.size() >= 800);
}

TEST_CASE("the answer that comes first counts, and an ask is answered exactly once")
{
    asking_site site;
    site.daemons.at("d39").late = 500ms;
    int answers = 0;
    site.dispatcher.ask({{}, {"w"}, 100ms, true}, [&](const advice_answered &answer) {
        ++answers;
        CHECK(answer.isAnswered);
        CHECK(answer.isCostly);
        CHECK(answer.issuedAt <= site.serviceIssuedAt);
        CHECK(site.now - instant(1h) < 500ms);
    });
    for (int tick = 0; tick < 200; ++tick) {
        site.advance(10ms);
        site.dispatcher.hedgeLateCalls();
    }
    CHECK(answers == 1);
    CHECK(site.calls == 2);
}
