#include "configuration/configuration_follower.h"

#include "core/error.h"
#include "observability/log_text.h"

#include <glog/logging.h>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::chrono::milliseconds tickInterval {250};

/// A row that can't be decoded counts as one that could not be read.
table_read toTableRead(const row_result &result)
{
    if (!result) {
        return {};
    }
    if (!*result) {
        return {std::optional<configuration_row> {}};
    }
    try {
        return {std::optional(configurationRowFromJson((*result)->value))};
    } catch (const error &fault) {
        LOG(ERROR) << "configuration: unreadable row, key=" << logText((*result)->place.key)
                   << " reason=" << logText(fault.what());
        return {};
    }
}

} // namespace

configuration_follower::configuration_follower(guarded_store &rows, applied_handler applied)
    : m_store(rows)
    , m_applied(std::move(applied))
{
}

void configuration_follower::start(std::chrono::milliseconds interval)
{
    m_timer.every(interval, [this] { refresh(); });
    m_ticker.every(tickInterval, [this] { handle(configuration_ticked {}); });
    refresh();
}

void configuration_follower::refresh()
{
    if (std::exchange(m_isReading, true)) {
        return;
    }
    m_store.readRow(configurationPlace(), [this](const row_result &result) {
        m_isReading = false;
        handle(toTableRead(result));
    });
}

void configuration_follower::offer(const configuration_version &offered)
{
    if (!supersedes(offered, m_state.current)) {
        return;
    }
    try {
        auto sheet = readSheet(offered.text, "sheet");
        m_offered = std::move(sheet);
        handle(body_received {offered});
    } catch (const error &fault) {
        LOG(ERROR) << "configuration: refused, version=" << offered.version << " reason=" << logText(fault.what());
        handle(version_refused {offered.version});
    }
}

void configuration_follower::recordPeerVersion(std::int64_t version)
{
    handle(peer_version_reported {version});
}

void configuration_follower::setFetchesFirst(bool first)
{
    m_state.fetchesFirst = first;
}

void configuration_follower::handle(const configuration_message &message)
{
    const auto action = step(m_state, message, std::chrono::steady_clock::now());
    if (const auto *wanted = std::get_if<fetch_body>(&action)) {
        fetch(wanted->row);
    } else if (std::holds_alternative<apply_version>(action)) {
        apply();
    }
}

void configuration_follower::fetch(const configuration_row &row)
{
    m_store.getObject(row.hash, [this, row](const std::optional<std::string> &text) {
        if (text) {
            offer({row.version, row.hash, *text});
        }
        handle(fetch_ended {});
    });
}

void configuration_follower::apply()
{
    LOG(INFO) << "configuration: in force, version=" << m_state.current->version << " sheet=" << m_offered.name;
    m_applied(m_offered);
}

const std::optional<configuration_version> &configuration_follower::current() const
{
    return m_state.current;
}

bool configuration_follower::isKnown() const
{
    return knowsConfiguration(m_state, std::chrono::steady_clock::now());
}

} // namespace primrosecroft
