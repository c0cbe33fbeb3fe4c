#include "advice_dispatcher.h"

#include <catch2/catch.hpp>
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
        dispatcher.setRoutes({{"a",
                               [this](const ask_advice &, std::chrono::milliseconds,
                                      const advice_dispatcher::answer_handler &done) { calls.push_back(done); }}});
    }

    void ask(std::chrono::microseconds cost)
    {
        dispatcher.ask({{}, {"w"}, cost, false}, now,
                       [this](const advice_answered &answer) { issuedAt = answer.issuedAt; });
    }

    void answer(std::size_t call, bool isAnswered = true)
    {
        calls.at(call)({{}, {"w"}, isAnswered, {}, 2s});
    }

    advice_dispatcher dispatcher;
    std::vector<advice_dispatcher::answer_handler> calls;
    const instant now {1h};
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
