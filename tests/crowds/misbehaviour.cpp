#include "misbehaviour.h"

#include "core/error.h"

#include <map>

namespace primrosecroft::crowds
{

namespace
{

constexpr std::size_t bodySize = std::size_t {256} * 1024; ///< the longest that the users' pages allow
constexpr std::size_t blockSize = std::size_t {64} * 1024; ///< of repeated text that is sent at once

const std::string requestLine = "POST /q/00000000000000c0 HTTP/1.1\r\nHost: jobs.example\r\n";
const std::string unknownJob = "GET /q/00000000000000c1 HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
const std::string unknownQueue = "GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n";

std::string repeat(const std::string &text, std::size_t size)
{
    std::string result;
    while (result.size() < size) {
        result += text;
    }
    return result;
}

/// The head of a request whose body follows at its full length.
std::string headOfLongest()
{
    return requestLine + "Content-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

std::string chunkedAllButEnd()
{
    const std::string chunk = "10\r\n" + std::string(16, ' ') + "\r\n";
    return requestLine + "Transfer-Encoding: chunked\r\n\r\n" + repeat(chunk, bodySize / 16 * chunk.size());
}

std::map<std::string, misbehaviour> makeAll()
{
    const auto longest = headOfLongest() + std::string(bodySize, ' '); // no JSON: refused once it is complete
    return {
        {"heads", {requestLine, repeat("a: b\r\n", blockSize)}},
        {"field", {requestLine + "a: ", std::string(blockSize, 'b')}},
        {"empty_lines", {"", repeat("\r\n", blockSize)}},
        {"bodies", {headOfLongest() + std::string(bodySize - 1, ' '), ""}},
        {"chunks", {chunkedAllButEnd(), ""}},
        {"whole", {"", longest}},
        {"unread", {"", repeat(unknownQueue, blockSize), false}},
        {"idle", {unknownJob, ""}},
    };
}

} // namespace

misbehaviour misbehaviourOf(const std::string &kind)
{
    const auto all = makeAll();
    const auto found = all.find(kind);
    if (found == all.end()) {
        throw error("start crowd", kind, "no such kind");
    }
    return found->second;
}

} // namespace primrosecroft::crowds
