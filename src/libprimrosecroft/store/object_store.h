#pragma once

#include "store/store.h"

#include <optional>

namespace primrosecroft
{

/// Texts that are too large for a row, each under a name that never stands for another text.
class object_store
{
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store &) = delete;
    object_store &operator=(const object_store &) = delete;

    /// Done also when the object was there before.
    virtual void put(const std::string &name, const std::string &bytes, std::chrono::milliseconds timeout,
                     std::function<void(store_outcome)> done) = 0;

    /// Nothing beside `done` when there is no such object.
    virtual void get(const std::string &name, std::chrono::milliseconds timeout,
                     std::function<void(store_outcome, std::optional<std::string>)> done) = 0;
};

} // namespace primrosecroft
