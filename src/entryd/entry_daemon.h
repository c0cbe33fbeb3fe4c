#pragma once

#include "settings/daemon_settings.h"

#include <memory>

namespace primrosecroft
{

/// Serves callers and operators on one entry VM by our own interface: bookings, demands, planning sheets.
class entry_daemon
{
public:
    explicit entry_daemon(const daemon_settings &settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    /// Serves until it is told to end. Returns the exit status: 0 after an orderly end, 3 when work was cut off.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
