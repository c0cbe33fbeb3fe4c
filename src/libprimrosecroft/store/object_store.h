#pragma once

#include "store/store.h"

#include <optional>

namespace primrosecroft
{

/// Storage for texts that are too large for a row. An object is immutable: its name never refers to another text.
class object_store
{
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store &) = delete;
    object_store &operator=(const object_store &) = delete;

    /// Stores an object. The outcome is `done` also if an object of this name exists already.
    virtual void put(const std::string &name, const std::string &bytes, std::chrono::milliseconds timeout,
                     std::function<void(store_outcome)> done) = 0;

    /// Reads an object. If it doesn't exist, the outcome is `done` and the text std::nullopt.
    virtual void get(const std::string &name, std::chrono::milliseconds timeout,
                     std::function<void(store_outcome, std::optional<std::string>)> done) = 0;
};

} // namespace primrosecroft
