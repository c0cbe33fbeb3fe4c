#pragma once

#include <chrono>
#include <functional>

namespace primrosecroft
{

/**
 * A timer on the main loop. It ends with its owner, so that a callback never
 * outlives what it refers to.
 */
class timer
{
public:
    timer() = default;
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Calls @p action once after @p delay. An earlier start is taken back.
    void once(std::chrono::milliseconds delay, std::function<void()> action);

    /// Calls @p action each @p interval until stopped.
    void every(std::chrono::milliseconds interval, std::function<void()> action);

    void stop();
    bool isRunning() const;

private:
    void start(std::chrono::milliseconds interval, bool repeats, std::function<void()> action);
    static int fire(void *self);

    std::function<void()> m_action;
    unsigned m_source = 0;
    bool m_repeats = false;
};

} // namespace primrosecroft
