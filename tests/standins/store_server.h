#pragma once

#include "io/http_server.h"
#include "store_emulator.h"
#include "waiting_calls.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace primrosecroft::standins
{

/// What becomes of the answer to a transaction that the store has carried out.
enum class answer_fate
{
    sent,
    reset, ///< the connection is reset instead
    lost, ///< the request stays open without an answer
};

/// How the store serves one request.
struct store_call_options
{
    std::chrono::milliseconds delay {0}; ///< of the answer; that of a feed isn't delayed
    answer_fate fate = answer_fate::sent;

    /// Time after which a transaction is carried out, if its conditions hold then.
    std::chrono::milliseconds commitDelay {0};

    /// Called with each transaction that has taken effect; may be empty.
    std::function<void(const store_transaction &transaction, row_version version)> committed;

    /// Returns the value of a row as this caller is to see it; empty for the value that is stored.
    std::function<std::string(const store_row &row)> valueOf;
};

/// Serves the platform's store over HTTP in real time.
class store_server
{
public:
    explicit store_server(waiting_calls &calls);

    void serve(const std::shared_ptr<http_request> &request, const store_call_options &options = {});

    /// Keeps a request open for good.
    void keepUnanswered(const std::shared_ptr<http_request> &request);

    store_emulator store;

private:
    using shared_request = std::shared_ptr<http_request>;

    void serveTransaction(const shared_request &request, const store_call_options &options);
    void commit(const shared_request &request, const store_transaction &transaction, const store_call_options &options);
    void serveRange(const shared_request &request, const store_call_options &options);
    void serveFeed(const shared_request &request, const store_call_options &options);
    void serveObject(const shared_request &request);
    void answerAfter(std::chrono::milliseconds delay, const shared_request &request, const http_response &answer);

    waiting_calls &m_calls;
    std::map<std::string, std::string> m_objects;
    std::vector<shared_request> m_unanswered;
};

/// Makes a response with a JSON body.
http_response jsonAnswer(unsigned status, const std::string &body);

} // namespace primrosecroft::standins
