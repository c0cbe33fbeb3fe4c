#include "configuration/configuration_step.h"
#include "core/checksum.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

configuration_version makeVersion(std::int64_t version)
{
    const auto text = "sheet " + std::to_string(version);
    return {version, sha256(text), text};
}

configuration_row makeRow(std::int64_t version)
{
    return {version, makeVersion(version).hash, "operator"};
}

table_read tableWith(std::int64_t version)
{
    return {std::optional(makeRow(version))};
}

} // namespace

TEST_CASE("a daemon that can't read the table is ready only after it has collected its peers' versions")
{
    configuration_state state;
    instant now {};
    CHECK_FALSE(knowsConfiguration(state, now + 1h));
    step(state, table_read {}, now);
    step(state, peer_version_reported {3}, now);
    step(state, body_received {makeVersion(3)}, now);
    CHECK_FALSE(knowsConfiguration(state, now + 1s));
    step(state, peer_version_reported {4}, now + 2s);
    CHECK_FALSE(knowsConfiguration(state, now + 1h));
    step(state, body_received {makeVersion(4)}, now + 2s);
    CHECK(knowsConfiguration(state, now + peerDiscoveryPeriod));
}

TEST_CASE("a new cell without any sheet is ready once the table has been read")
{
    configuration_state state;
    step(state, table_read {std::optional<configuration_row> {}}, instant {});
    CHECK(knowsConfiguration(state, instant {}));
}

TEST_CASE("a new daemon that has read a version from the table waits for its body")
{
    configuration_state state;
    const auto action = step(state, tableWith(7), instant {});
    REQUIRE(std::holds_alternative<fetch_body>(action));
    CHECK_FALSE(knowsConfiguration(state, instant {}));
    step(state, body_received {makeVersion(7)}, instant {});
    CHECK(knowsConfiguration(state, instant {}));
}

TEST_CASE("one daemon of a failure domain fetches a body, and the others get it from that daemon")
{
    configuration_state state;
    step(state, body_received {makeVersion(1)}, instant {});
    state.fetchesFirst = false;
    CHECK(std::holds_alternative<no_action>(step(state, tableWith(2), instant {})));
    CHECK(std::holds_alternative<apply_version>(step(state, body_received {makeVersion(2)}, instant {})));
    CHECK(std::holds_alternative<no_action>(step(state, configuration_ticked {}, instant {} + 1h)));
    // The daemon that fetches may have failed or be paused, so the others fetch after a delay.
    step(state, tableWith(3), instant {});
    CHECK(std::holds_alternative<fetch_body>(step(state, configuration_ticked {}, instant {} + fetchDelay)));
}

TEST_CASE("a body that doesn't match its hash, or whose sheet was refused, is ignored")
{
    configuration_state state;
    auto wrong = makeVersion(2);
    wrong.text += " tampered";
    CHECK(std::holds_alternative<no_action>(step(state, body_received {wrong}, instant {})));
    step(state, version_refused {5}, instant {});
    CHECK(std::holds_alternative<no_action>(step(state, tableWith(5), instant {})));
}

TEST_CASE("versions only grow, whichever messages are lost, late or repeated, even if fetches never end")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        configuration_state state;
        instant now {};
        std::int64_t tableVersion = 1;
        std::int64_t lastVersion = 0;
        std::deque<configuration_message> delayed;
        for (int turn = 0; turn < 200; ++turn) {
            now += std::chrono::milliseconds(random() % 1'000);
            tableVersion += random() % 10 == 0 ? 1 : 0;
            const auto older = std::max<std::int64_t>(1, tableVersion - static_cast<std::int64_t>(random() % 5));
            switch (random() % 5) {
            case 0:
                delayed.emplace_back(tableWith(older));
                break;
            case 1:
                delayed.emplace_back(table_read {});
                break;
            case 2:
                delayed.emplace_back(peer_version_reported {older});
                break;
            case 3:
                delayed.emplace_back(body_received {makeVersion(older)});
                break;
            default:
                delayed.emplace_back(configuration_ticked {});
            }
            const auto message = delayed.at(random() % delayed.size());
            if (std::holds_alternative<fetch_body>(step(state, message, now)) && random() % 3 == 0) {
                step(state, fetch_ended {}, now);
            }
            const auto version = state.current ? state.current->version : 0;
            REQUIRE(version >= lastVersion);
            lastVersion = version;
        }
    }
}
