#include "fuzz_inputs.h"

#include <catch2/catch.hpp>
#include <random>

using namespace primrosecroft;
using namespace std::string_literals;

namespace
{

constexpr int roundsPerSeed = 4'000;

/// Makes one to eight changes that readers may fail at: a replaced byte, a removed or repeated part, a run of one
/// special character, or a number that is out of range.
std::string mutate(std::string text, std::mt19937 &random)
{
    static const std::string specialCharacters = "{}[]:,&*!|>'\"%@`#\n\t -\\\0\xff\x80"s;
    const auto randomBelow = [&random](std::size_t bound) { return bound == 0 ? 0 : random() % bound; };
    for (auto changes = 1 + randomBelow(8); changes > 0; --changes) {
        const auto at = randomBelow(text.size() + 1);
        switch (randomBelow(5)) {
        case 0:
            if (at < text.size()) {
                text[at] = static_cast<char>(random());
            }
            break;
        case 1:
            text.erase(at, randomBelow(16));
            break;
        case 2:
            text.insert(at, 1 + randomBelow(40), specialCharacters[randomBelow(specialCharacters.size())]);
            break;
        case 3:
            text.insert(at, text.substr(randomBelow(text.size()), randomBelow(32)));
            break;
        default:
            text.insert(at, "99999999999999999999");
            break;
        }
    }
    return text;
}

} // namespace

TEST_CASE("mutated sheets, settings, demands and frames are accepted or rejected with error")
{
    const auto target = GENERATE(range(std::size_t {0}, fuzzTargetCount));
    const auto seed = GENERATE(1U, 24U);
    std::mt19937 random(seed);
    int acceptedCount = 0;
    for (int round = 0; round < roundsPerSeed; ++round) {
        acceptedCount += acceptsInput(target, mutate(validInput(target), random)) ? 1 : 0;
    }
    INFO("target " << target << " seed " << seed);
    // Some mutations have to be accepted and some rejected, so that both paths of the reader are tested.
    CHECK(acceptedCount > 0);
    CHECK(acceptedCount < roundsPerSeed);
}
