#pragma once

#include "settings/entry_daemon_settings.h"

#include <memory>

namespace primrosecroft
{

/// The daemon of one entry VM: serves bookings, demands and planning sheets to callers and operators over HTTP.
class entry_daemon
{
public:
    explicit entry_daemon(const entry_daemon_settings &settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    /// Serves until SIGTERM or SIGINT; a second signal ends it at once. Returns the exit status: 0 after an orderly
    /// end, 3 if a second signal or the shutdown timeout ended it, so that requests may have been cut off. Throws error
    /// if a listening address can't be bound.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
