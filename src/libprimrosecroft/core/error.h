#pragma once

#include <stdexcept>
#include <string>

namespace primrosecroft
{

/**
 * Exception and error value of the whole product: the step that failed, the peer with which it failed
 * (empty if no peer was involved), and the reason. what() holds all three.
 */
class error : public std::runtime_error
{
public:
    error(std::string step, std::string peer, const std::string &reason);

    const std::string &step() const
    {
        return m_step;
    }

    const std::string &peer() const
    {
        return m_peer;
    }

private:
    std::string m_step;
    std::string m_peer;
};

} // namespace primrosecroft
