#pragma once

#include "configuration/configuration_follower.h"
#include "io/http_server.h"
#include "store/guarded_store.h"

#include <memory>
#include <optional>
#include <string>

namespace primrosecroft
{

/**
 * Serves GET and PUT of the sheet in force, and GET of its history and earlier versions. A change goes into force by a
 * compare-and-set of its version: of concurrent changes one succeeds, and the others are answered with the version in
 * force.
 */
class sheet_service
{
public:
    /// @p writer identifies this process; it must be unique for each start, because it distinguishes own writes from
    /// others'.
    sheet_service(guarded_store &rows, configuration_follower &configuration, std::string writer);

    /// Answers a request for /v1/sheet or a path below it.
    void serve(const std::shared_ptr<http_request> &request);

private:
    struct change;

    void showCurrent(const std::shared_ptr<http_request> &request) const;
    void showHistory(const std::shared_ptr<http_request> &request);
    void showVersion(const std::shared_ptr<http_request> &request);
    void replaceSheet(const std::shared_ptr<http_request> &request);
    void compare(const std::shared_ptr<change> &entry);
    void storeText(const std::shared_ptr<change> &entry, row_version rowVersion);
    void commit(const std::shared_ptr<change> &entry, row_version rowVersion);
    void retryLost(const std::shared_ptr<change> &entry, row_version rowVersion);
    void confirmWriter(const std::shared_ptr<change> &entry);
    void answerConflict(const std::shared_ptr<change> &entry, const std::optional<configuration_row> &winner);
    void answerDone(const std::shared_ptr<change> &entry);

    guarded_store &m_store;
    configuration_follower &m_configuration;
    std::string m_writer;
    std::uint64_t m_lastChange = 0;
};

} // namespace primrosecroft
