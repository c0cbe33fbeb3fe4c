#pragma once

#include <memory>
#include <utility>

namespace primrosecroft
{

/// Lets the callbacks of an ownership's pending calls do nothing once the ownership has ended.
class session_guard
{
public:
    /// Called before the first wrap(). @p session is the object that contains this one.
    void open(const std::shared_ptr<void> &session)
    {
        m_self = std::shared_ptr<const session_guard>(session, this);
    }

    void close()
    {
        m_isClosed = true;
    }

    bool isClosed() const
    {
        return m_isClosed;
    }

    /// Wraps a callback so that it does nothing once the session has been closed. The session isn't destroyed while the
    /// callback runs.
    template<typename function>
    auto wrap(function call) const
    {
        return [weak = m_self, call = std::move(call)](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->m_isClosed) {
                call(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::weak_ptr<const session_guard> m_self;
    bool m_isClosed = false;
};

} // namespace primrosecroft
