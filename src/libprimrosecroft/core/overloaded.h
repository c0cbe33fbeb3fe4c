#pragma once

namespace primrosecroft
{

/// One visitor for a variant, made of a handler for each of its types.
template<typename... handlers>
struct overloaded : handlers...
{
    using handlers::operator()...;
};

} // namespace primrosecroft
