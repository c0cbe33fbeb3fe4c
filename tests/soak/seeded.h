#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace primrosecroft::soak
{

/// Random numbers that repeat exactly with their seed, also with another standard library.
class seeded
{
public:
    explicit seeded(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a number from @p first to @p last.
    int number(int first, int last)
    {
        return first + static_cast<int>(m_engine() % static_cast<std::uint64_t>(last - first + 1));
    }

    std::chrono::milliseconds time(std::chrono::milliseconds first, std::chrono::milliseconds last)
    {
        return std::chrono::milliseconds(number(static_cast<int>(first.count()), static_cast<int>(last.count())));
    }

    /// Returns true with this probability.
    bool chance(double probability)
    {
        return number(0, 999'999) < probability * 1'000'000;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace primrosecroft::soak
