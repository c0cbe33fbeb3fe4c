#pragma once

namespace primrosecroft
{

/// Visitor for std::visit that combines one callable for each alternative of a variant.
template<typename... handlers>
struct overloaded : handlers...
{
    using handlers::operator()...;
};

} // namespace primrosecroft
