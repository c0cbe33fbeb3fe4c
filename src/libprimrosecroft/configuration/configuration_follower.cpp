#include "configuration/configuration_follower.h"

#include "core/error.h"
#include "observability/log_text.h"

#include <glog/logging.h>
#include <utility>

namespace primrosecroft
{

configuration_follower::configuration_follower(platform_client &platform, applied_handler applied)
    : m_platform(platform)
    , m_applied(std::move(applied))
{
}

void configuration_follower::start(std::chrono::milliseconds interval)
{
    m_timer.every(interval, [this] { refresh(); });
    refresh();
}

void configuration_follower::refresh()
{
    if (std::exchange(m_reading, true)) {
        return;
    }
    m_platform.read(configurationRowKey, [this](const row_result &result) { rowRead(result); });
}

void configuration_follower::rowRead(const row_result &result)
{
    if (!result || !*result) {
        m_reading = false;
        return;
    }
    try {
        const auto row = configurationRowFromJson((*result)->value);
        if (m_current && row.version <= m_current->version) {
            m_reading = false;
            return;
        }
        m_platform.getObject("sheets/" + row.hash, [this, row](const std::optional<std::string> &text) {
            m_reading = false;
            if (text) {
                offer({row.version, row.hash, *text});
            }
        });
    } catch (const error &fault) {
        m_reading = false;
        LOG(ERROR) << "configuration: unreadable row, reason=" << logText(fault.what());
    }
}

void configuration_follower::offer(const configuration_version &offered)
{
    if (supersedes(offered, m_current)) {
        apply(offered);
    }
}

void configuration_follower::apply(const configuration_version &offered)
{
    try {
        const auto sheet = readSheet(offered.text, "sheet");
        m_current = offered;
        LOG(INFO) << "configuration: in force, version=" << offered.version << " sheet=" << sheet.name;
        m_applied(sheet);
    } catch (const error &fault) {
        LOG(ERROR) << "configuration: refused, version=" << offered.version << " reason=" << logText(fault.what());
    }
}

const std::optional<configuration_version> &configuration_follower::current() const
{
    return m_current;
}

} // namespace primrosecroft
