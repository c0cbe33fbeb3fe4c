#include "administration/administration.h"
#include "configuration/sheet_change.h"
#include "core/error.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;

namespace
{

const std::string sheetText =
    "# Morning plan\n"
    "sheet: s\n"
    "failureDomains: {a: {region: r}}\n"
    "workers:\n"
    "  w1: {failureDomain: a, rack: r1, address: 127.0.0.1, port: 1, cores: 4, memory: 1GiB}\n"
    "  w2: # spare\n"
    "    failureDomain: a\n"
    "    rack: r1\n"
    "    address: 127.0.0.2\n"
    "    port: 1\n"
    "    cores: 4\n"
    "    memory: 1GiB\n"
    "    draining: true\n"
    "  w3:\n"
    "    failureDomain: a\n"
    "    rack: Hårby\n"
    "    address: 127.0.0.3\n"
    "    port: 1\n"
    "    cores: 4\n"
    "    memory: 1GiB\n";

std::string withAsciiRack(std::string text)
{
    // Names must be ASCII; a comment may contain any character.
    text.replace(text.find("Hårby"), std::string("Hårby").size(), "r2 # Hårby");
    return text;
}

} // namespace

TEST_CASE("draining is set in the text and nothing else is changed")
{
    const auto text = withAsciiRack(sheetText);
    for (const auto &[worker, draining] : {std::pair {"w1", true}, std::pair {"w2", false}, std::pair {"w3", true}}) {
        const auto changed = withDraining(text, worker, draining);
        const auto changes = differences(readSheet(text, "before"), readSheet(changed, "after"));
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().what == std::string("workers.") + worker);
        CHECK(readSheet(changed, "after").workers.at(worker).isDraining == draining);
        CHECK(changed.find("# Morning plan") == 0);
        CHECK(changed.find("# spare") != std::string::npos);
        CHECK(withDraining(changed, worker, draining) == changed);
    }
    CHECK_THROWS_AS(withDraining(text, "w9", true), error);
}

TEST_CASE("differences list the parts that were added, removed and changed")
{
    const auto before = readSheet(withAsciiRack(sheetText), "before");
    auto after = before;
    after.policy.packingWeight = before.policy.packingWeight + 1;
    after.workers.erase("w1");
    after.workers["w4"] = before.workers.at("w2");
    after.workers.at("w2").isDraining = false;
    const auto changes = differences(before, after);
    REQUIRE(changes.size() == 4);
    CHECK(changes.at(0).what == "policy.packingWeight");
    CHECK((changes.at(1).what == "workers.w1" && changes.at(1).kind == change_kind::removed));
    CHECK((changes.at(2).what == "workers.w2" && changes.at(2).kind == change_kind::changed));
    CHECK((changes.at(3).what == "workers.w4" && changes.at(3).kind == change_kind::added));
    CHECK(differences(before, before).empty());
}

TEST_CASE("differences show each weight of the policy")
{
    const auto before = readSheet(withAsciiRack(sheetText), "before");
    for (const auto &[name, weight] : {std::pair {"packingWeight", &placement_policy::packingWeight},
                                       std::pair {"balanceWeight", &placement_policy::balanceWeight},
                                       std::pair {"spreadWeight", &placement_policy::spreadWeight},
                                       std::pair {"strandingWeight", &placement_policy::strandingWeight},
                                       std::pair {"shortFirst", &placement_policy::shortFirst}}) {
        CAPTURE(name);
        auto after = before;
        after.policy.*weight += 1;
        const auto changes = differences(before, after);
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().what == std::string("policy.") + name);
    }
}

TEST_CASE("administration needs the token, unless the settings open it, and is closed without either")
{
    const administration_settings guarded {"0123456789abcdef", false};
    CHECK_FALSE(refuseUnlessAdministrator(guarded, "Bearer 0123456789abcdef"));
    for (const auto *wrong : {"", "Bearer ", "Bearer 0123456789abcdee", "Bearer 0123456789abcdef0", "0123456789abcdef",
                              "Basic 0123456789abcdef"}) {
        CHECK(refuseUnlessAdministrator(guarded, wrong)->status == 401);
    }
    CHECK(refuseUnlessAdministrator({"", false}, "Bearer ")->status == 403);
    CHECK_FALSE(refuseUnlessAdministrator({"", true}, ""));
}

TEST_CASE("sheets and the list of all demands need an administrator, a caller's own demand doesn't")
{
    CHECK(requiresAdministrator("PUT", "/v1/sheet"));
    CHECK(requiresAdministrator("GET", "/v1/sheet/history"));
    CHECK(requiresAdministrator("GET", "/v1/demands"));
    CHECK_FALSE(requiresAdministrator("POST", "/v1/demands"));
    CHECK_FALSE(requiresAdministrator("GET", "/v1/demands/key"));
    CHECK_FALSE(requiresAdministrator("GET", "/booking/slots"));
}
