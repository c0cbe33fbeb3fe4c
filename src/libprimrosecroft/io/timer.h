#pragma once

#include <chrono>
#include <functional>

namespace primrosecroft
{

/**
 * A timer on the main loop. Its destructor stops it, so that an action isn't called after the object that owns the
 * timer, and to which the action refers, has been destroyed.
 */
class timer
{
public:
    timer() = default;
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Calls @p action once after @p delay. Replaces an earlier start of this timer.
    void once(std::chrono::milliseconds delay, std::function<void()> action);

    /// Calls @p action at each @p interval until stopped. Replaces an earlier start of this timer.
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
