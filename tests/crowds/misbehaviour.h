#pragma once

#include <string>

namespace primrosecroft::crowds
{

/// What each connection of a crowd does.
struct misbehaviour
{
    std::string opening; ///< sent first
    std::string repeated; ///< sent again and again afterwards; empty if the client sends no more
    bool readsResponses = true;
};

/// Returns the misbehaviour of that name. Throws error if there is none.
misbehaviour misbehaviourOf(const std::string &kind);

} // namespace primrosecroft::crowds
