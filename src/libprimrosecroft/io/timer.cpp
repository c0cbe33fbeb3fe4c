#include "io/timer.h"

#include <glib.h>
#include <utility>

namespace primrosecroft
{

timer::~timer()
{
    stop();
}

void timer::once(std::chrono::milliseconds delay, std::function<void()> action)
{
    start(delay, false, std::move(action));
}

void timer::every(std::chrono::milliseconds interval, std::function<void()> action)
{
    start(interval, true, std::move(action));
}

void timer::stop()
{
    if (m_source != 0) {
        g_source_remove(std::exchange(m_source, 0));
    }
}

bool timer::isRunning() const
{
    return m_source != 0;
}

void timer::start(std::chrono::milliseconds interval, bool repeats, std::function<void()> action)
{
    stop();
    m_action = std::move(action);
    m_repeats = repeats;
    m_source = g_timeout_add(static_cast<guint>(interval.count()), &timer::fire, this);
}

int timer::fire(void *self)
{
    auto &owner = *static_cast<timer *>(self);
    if (owner.m_repeats) {
        const auto action = owner.m_action;
        action();
        return G_SOURCE_CONTINUE;
    }
    owner.m_source = 0;
    const auto action = std::exchange(owner.m_action, nullptr);
    action();
    return G_SOURCE_REMOVE;
}

} // namespace primrosecroft
