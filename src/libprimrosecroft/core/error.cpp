#include "core/error.h"

#include <utility>

namespace primrosecroft
{

namespace
{

std::string compose(const std::string &step, const std::string &peer, const std::string &reason)
{
    if (peer.empty()) {
        return step + ": " + reason;
    }
    return step + " (" + peer + "): " + reason;
}

} // namespace

error::error(std::string step, std::string peer, const std::string &reason)
    : std::runtime_error(compose(step, peer, reason))
    , m_step(std::move(step))
    , m_peer(std::move(peer))
{
}

} // namespace primrosecroft
