#include "demands/acceptance.h"
#include "jobs/job_rows.h"
#include "store_emulator.h"

#include <catch2/catch.hpp>
#include <random>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// A store whose failures follow from a seed: outages, lost requests and lost answers.
struct flaky_store
{
    store_emulator rows;
    std::mt19937_64 random;
    bool isOut = false; ///< during an outage commits are refused and reads fail

    bool chance(unsigned percent)
    {
        return random() % 100 < percent;
    }

    store_outcome commit(const demand_row &row)
    {
        if (isOut) {
            return store_outcome::refused;
        }
        if (chance(20)) {
            return store_outcome::lost; // the request was lost
        }
        const auto result = rows.commit(demandAcceptance(row, makeDemandJob(row, "tasks", {})));
        if (chance(30)) {
            return store_outcome::lost; // the answer was lost
        }
        return result.outcome;
    }

    std::optional<demand_row> stored(const demand_key &key) const
    {
        const auto found = rows.rows().find(demandPlace(key));
        return found == rows.rows().end() ? std::nullopt : std::optional(rowFromJson(found->second.value));
    }

    key_read read(const demand_key &key)
    {
        if (isOut || chance(20)) {
            return {};
        }
        return {std::optional(stored(key))};
    }
};

acceptance_state makeState(instant now, const std::string &team)
{
    acceptance_state state;
    state.row.key = "wash";
    state.row.home = "dyce";
    state.row.spec.team = team;
    state.deadline = now + 5s;
    return state;
}

/// Runs one request until its answer and returns that answer. Time is virtual.
acceptance_action run(acceptance_state &state, flaky_store &store, instant &now)
{
    acceptance_action action = send_commit {};
    for (;;) {
        now += 5ms;
        store.isOut = store.chance(store.isOut ? 80 : 10);
        if (std::holds_alternative<send_commit>(action)) {
            action = step(state, acceptance_answered {store.commit(state.row)}, now);
        } else if (std::holds_alternative<read_key>(action)) {
            action = step(state, store.read(state.row.key), now);
        } else if (const auto *wait = std::get_if<wait_before_retry>(&action)) {
            now += wait->pause;
            action = step(state, retry_due {}, now);
        } else {
            return action;
        }
        REQUIRE(now < state.deadline + 1s);
    }
}

} // namespace

TEST_CASE("answers about a demand's acceptance agree with the store, whatever calls are lost")
{
    int refusals = 0;
    for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
        INFO("seed " << seed);
        flaky_store store;
        store.random.seed(seed);
        instant now {};
        const auto isKeyTaken = seed % 3 == 0;
        if (isKeyTaken) {
            const auto other = makeState(now, seed % 2 == 0 ? "yard" : "stores");
            store.rows.commit(demandAcceptance(other.row, makeDemandJob(other.row, "tasks", {})));
        }
        auto state = makeState(now, "yard");
        const auto answer = run(state, store, now);
        const auto row = store.stored("wash");
        const auto isThere = row && row->spec.team == "yard";
        CHECK((!isThere || store.rows.rows().contains(jobPlace(jobOfDemand("wash")))));
        if (std::holds_alternative<answer_accepted>(answer)) {
            CHECK(isThere);
        } else if (!std::holds_alternative<answer_unknown>(answer)) {
            ++refusals;
            // A refusal before any commit was sent doesn't exclude that an earlier request stored the demand.
            CHECK((!isThere || isKeyTaken));
        }
    }
    CHECK(refusals > 0);
}

TEST_CASE("after a conflict the outcome is unknown while the existing row can't be read")
{
    auto state = makeState(instant {}, "yard");
    const instant late = state.deadline;
    CHECK(std::holds_alternative<read_key>(step(state, acceptance_answered {store_outcome::conflict}, instant {})));
    CHECK(std::holds_alternative<answer_unknown>(step(state, key_read {}, late)));
}

TEST_CASE("a demand is answered as not run at once if the store refuses the first commit")
{
    auto state = makeState(instant {}, "yard");
    CHECK(
        std::holds_alternative<answer_not_run>(step(state, acceptance_answered {store_outcome::refused}, instant {})));
}

TEST_CASE("a key that was answered as unknown before is never answered as not run")
{
    auto state = makeState(instant {}, "yard");
    state.mayExist = true;
    const auto action = step(state, acceptance_answered {store_outcome::refused}, instant {});
    CHECK(std::holds_alternative<wait_before_retry>(action));
    CHECK(std::holds_alternative<answer_unknown>(
        step(state, acceptance_answered {store_outcome::refused}, state.deadline)));
}
