#include "fuzz_inputs.h"

#include <catch2/catch.hpp>
#include <random>

using namespace primrosecroft;
using namespace std::string_literals;

namespace
{

constexpr int roundsPerSeed = 4'000;

/// One to eight changes of the kinds that break readers: flips, cuts, repeats, and telling characters.
std::string mutate(std::string text, std::mt19937 &random)
{
    static const std::string telling = "{}[]:,&*!|>'\"%@`#\n\t -\\\0\xff\x80"s;
    const auto below = [&random](std::size_t bound) { return bound == 0 ? 0 : random() % bound; };
    for (auto changes = 1 + below(8); changes > 0; --changes) {
        const auto at = below(text.size() + 1);
        switch (below(5)) {
        case 0:
            if (at < text.size()) {
                text[at] = static_cast<char>(random());
            }
            break;
        case 1:
            text.erase(at, below(16));
            break;
        case 2:
            text.insert(at, 1 + below(40), telling[below(telling.size())]);
            break;
        case 3:
            text.insert(at, text.substr(below(text.size()), below(32)));
            break;
        default:
            text.insert(at, "99999999999999999999");
            break;
        }
    }
    return text;
}

} // namespace

TEST_CASE("changed sheets, settings, demands and frames are read or refused, never worse")
{
    const auto target = GENERATE(range(std::size_t {0}, fuzzTargetCount));
    const auto seed = GENERATE(1U, 24U);
    std::mt19937 random(seed);
    int good = 0;
    for (int round = 0; round < roundsPerSeed; ++round) {
        good += readFuzzed(target, mutate(fuzzExample(target), random)) ? 1 : 0;
    }
    INFO("target " << target << " seed " << seed);
    // Some changes are harmless and most are not; both paths have to be met.
    CHECK(good > 0);
    CHECK(good < roundsPerSeed);
}
