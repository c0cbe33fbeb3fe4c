#pragma once

#include <stdexcept>
#include <string>

namespace primrosecroft
{

/**
 * What every part throws or hands on when something fails: the step that failed,
 * the peer it failed with (empty when no peer took part), and the reason.
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
