#pragma once

#include "core/types.h"
#include "io/http_client.h"
#include "io/timer.h"
#include "platform/store_breaker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/**
 * The platform's services as this project uses them: a transactional table with
 * conditional writes, an object store, and a list of VMs that lags.
 */
namespace primrosecroft
{

struct table_row
{
    std::string key;
    std::int64_t version = 0;
    std::string value;
};

/// One conditional write of a transaction.
struct table_write
{
    static constexpr std::int64_t anyVersion = -1;
    static constexpr std::int64_t noRow = 0;

    std::string key;
    std::int64_t ifVersion = anyVersion;
    std::optional<std::string> value; ///< none deletes the row
};

using table_transaction = std::vector<table_write>;

enum class commit_status
{
    committed,
    conflict, ///< a condition didn't hold; nothing was written
    notSent, ///< nothing can have been written
    lost, ///< it may have taken effect
};

struct commit_result
{
    commit_status status = commit_status::lost;
    std::vector<std::int64_t> versions; ///< one a write, when committed
};

enum class vm_role
{
    entry,
    worker,
    executor,
};

struct listed_vm
{
    std::string id;
    vm_role role = vm_role::entry;
    failure_domain_id failureDomain;
    std::string region;
    std::string rack;
    std::string address; ///< an IP number
    std::uint16_t port = 0; ///< of what it serves
    bool leaving = false;
};

/// Empty when the read failed; a row without value when there is none.
using row_result = std::optional<std::optional<table_row>>;

/**
 * Client of the platform. Transactions that come while one commit is on its way are
 * sent together in the next (group commit). After a failure no write is sent until
 * a probe has succeeded, so that callers are told at once that nothing was run. For a
 * while after the store's return its operations are spread over time.
 */
class platform_client
{
public:
    platform_client(http_client &http, std::string baseUrl, std::chrono::milliseconds timeout);

    void commit(table_transaction transaction, std::function<void(commit_result)> done);
    void read(const std::string &key, std::function<void(row_result)> done);

    /// The rows of those @p keys that have one, by one read.
    void readMany(const std::vector<std::string> &keys,
                  std::function<void(std::optional<std::vector<table_row>>)> done);

    /// All rows whose key begins with @p prefix, fetched by pages.
    void list(const std::string &prefix, std::function<void(std::optional<std::vector<table_row>>)> done);

    void putObject(const std::string &name, const std::string &body, std::function<void(bool)> done);
    void getObject(const std::string &name, std::function<void(std::optional<std::string>)> done);
    /// The list of VMs. While it is as it was (ETag, RFC 9110), its body doesn't travel again.
    void listVms(std::function<void(std::optional<std::vector<listed_vm>>)> done);

    /// Operations a second of this daemon in the time after the store's return.
    void setReturnBudget(double operationsPerSecond);

    /// False from a failure until the next success.
    bool isReachable() const;

    std::uint64_t reads() const;
    std::uint64_t writes() const;

private:
    struct queued_commit
    {
        table_transaction transaction;
        std::function<void(commit_result)> done;
    };

    void sendCommits();
    void settleCommits(std::vector<queued_commit> batch, const http_outcome &outcome);
    void listPage(const std::string &prefix, const std::string &after, std::vector<table_row> gathered,
                  std::function<void(std::optional<std::vector<table_row>>)> done);
    void get(const std::string &path, std::function<void(http_outcome)> done);
    void note(const http_outcome &outcome);
    bool maySend();
    void sendRead(const http_call &call, std::function<void(http_outcome)> done);
    void sendReads();

    http_client &m_http;
    std::string m_baseUrl;
    std::chrono::milliseconds m_timeout;
    std::deque<queued_commit> m_queue;
    bool m_committing = false;
    store_breaker m_breaker;
    std::deque<std::function<void()>> m_reads; ///< that wait for the budget
    std::string m_vmsTag;
    std::vector<listed_vm> m_vms; ///< under that tag
    timer m_readPause;
    timer m_commitPause;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
};

} // namespace primrosecroft
