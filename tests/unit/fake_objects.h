#pragma once

#include "store/object_store.h"

#include <functional>
#include <map>
#include <string>

namespace primrosecroft
{

/// Object store in memory that is always reachable.
class fake_objects : public object_store
{
public:
    void put(const std::string &name, const std::string &bytes, std::chrono::milliseconds /*timeout*/,
             std::function<void(store_outcome)> done) override
    {
        texts[name] = bytes;
        done(store_outcome::done);
    }

    void get(const std::string &name, std::chrono::milliseconds /*timeout*/,
             std::function<void(store_outcome, std::optional<std::string>)> done) override
    {
        const auto found = texts.find(name);
        done(store_outcome::done, found == texts.end() ? std::nullopt : std::optional(found->second));
    }

    std::map<std::string, std::string> texts; ///< by name
};

} // namespace primrosecroft
