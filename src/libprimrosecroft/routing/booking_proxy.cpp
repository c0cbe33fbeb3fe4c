#include "routing/booking_proxy.h"

#include "core/parse_integer.h"
#include "observability/log_text.h"
#include "observability/problem.h"

#include <algorithm>
#include <array>
#include <functional>
#include <glib.h>
#include <glog/logging.h>
#include <numeric>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

/// About this much of a server error's body is kept; the rest is dropped.
constexpr std::size_t maxErrorBodyBytes = std::size_t {64} * 1024;
constexpr auto tickInterval = 20ms;
constexpr auto maxDeadline = 10min;

constexpr const char *repeatHeader = "Primrosecroft-Repeat";
constexpr const char *deadlineHeader = "Primrosecroft-Deadline-Ms";
constexpr const char *requestIdHeader = "Primrosecroft-Request-Id";
constexpr const char *loadHeader = "Primrosecroft-Load";
constexpr const char *leavingHeader = "Primrosecroft-Leaving";
constexpr const char *notRunHeader = "Primrosecroft-Not-Run";

/// The caller's header decides. Without it, a request is repeatable if its method is idempotent (RFC 9110, 9.2.2).
bool isRepeatable(const http_request &request)
{
    const auto mark = request.header(repeatHeader);
    if (!mark.empty()) {
        return mark == "allowed";
    }
    static constexpr std::array idempotentMethods {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
    return std::ranges::find(idempotentMethods, request.method()) != idempotentMethods.end();
}

std::int64_t sizeOf(const http_headers &headers)
{
    constexpr std::size_t separators = 4; // colon, space and the end of the line
    return std::transform_reduce(
        headers.begin(), headers.end(), std::int64_t {0}, std::plus {}, [](const http_header &each) {
            return static_cast<std::int64_t>(each.name.size() + each.value.size() + separators);
        });
}

/// Headers that concern one connection only and aren't forwarded (RFC 9110, 7.6.1).
bool isHopByHop(const std::string &name)
{
    static constexpr std::array names {"connection",
                                       "keep-alive",
                                       "proxy-authenticate",
                                       "proxy-authorization",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "content-length",
                                       "host",
                                       "expect"};
    return std::ranges::any_of(names,
                               [&name](const char *each) { return g_ascii_strcasecmp(name.c_str(), each) == 0; });
}

/// True if a Connection header names @p name, so that it concerns this connection only (RFC 9110, 7.6.1).
bool isNamedByConnection(const http_headers &headers, const std::string &name)
{
    const auto wanted = ' ' + name + ' ';
    return std::ranges::any_of(headers, [&wanted](const http_header &header) {
        if (g_ascii_strcasecmp(header.name.c_str(), "Connection") != 0) {
            return false;
        }
        auto names = ' ' + header.value + ' ';
        std::ranges::replace_if(names, [](char letter) { return letter == ',' || letter == '\t'; }, ' ');
        const auto found = std::ranges::search(names, wanted, {}, g_ascii_tolower, g_ascii_tolower);
        return !found.empty();
    });
}

/// The headers without those that concern one connection only.
http_headers forwardedHeaders(const http_headers &headers)
{
    http_headers result;
    std::ranges::copy_if(headers, std::back_inserter(result), [&headers](const http_header &header) {
        return !isHopByHop(header.name) && !isNamedByConnection(headers, header.name);
    });
    return result;
}

/// Like forwardedHeaders(), but with Content-Length, so that the caller can distinguish a streamed answer that was
/// cut off from a complete one.
http_headers forwardedHeadersWithLength(const http_headers &headers)
{
    auto result = forwardedHeaders(headers);
    const auto length = headerValue(headers, "Content-Length");
    if (!length.empty() && headerValue(headers, "Transfer-Encoding").empty()) {
        result.push_back({"Content-Length", length});
    }
    return result;
}

} // namespace

struct booking_proxy::booking
{
    /// State of one attempt. Each attempt begins with a new one.
    struct attempt
    {
        upstream_id upstream;
        instant sentAt;
        std::shared_ptr<http_stream> stream;
        bool isUpstreamLeaving = false;
        bool wasNotRun = false;
        bool isStreaming = false; ///< the answer is passed on to the caller as it arrives
        std::optional<std::int32_t> reportedLoad; ///< std::nullopt if the answer doesn't report one
        std::int64_t bytes = 0; ///< of the request, and of what has arrived of the answer
        http_response errorResponse; ///< a server error's answer, which goes to the caller if no retry is made
    };

    std::uint64_t id = 0;
    std::shared_ptr<http_request> request; ///< the caller's
    http_call call;
    std::string pathAndQuery;
    instant arrivedAt;
    instant deadline;
    attempt latest;
};

booking_proxy::booking_proxy(http_client &http, metrics &measures, const routing_settings &settings,
                             std::chrono::milliseconds defaultDeadline,
                             std::function<void(const upstream_id &)> announceLeaving)
    : m_http(http)
    , m_measures(measures)
    , m_defaultDeadline(defaultDeadline)
    , m_announceLeaving(std::move(announceLeaving))
    , m_state(makeRouting(settings))
{
    m_ticker.every(tickInterval, [this] { handle(routing_ticked {}); });
}

booking_proxy::~booking_proxy() = default;

void booking_proxy::setUpstreams(const std::vector<listed_vm> &vms)
{
    upstreams_listed message;
    m_addresses.clear();
    for (const auto &vm : vms) {
        if (vm.role == vm_role::executor) {
            message.upstreams.push_back({vm.id, vm.failureDomain, vm.region, vm.isLeaving});
            m_addresses[vm.id] = "http://" + vm.address + ':' + std::to_string(vm.port);
        } else if (vm.role == vm_role::entry && !vm.isLeaving) {
            message.entries.push_back({vm.address, vm.failureDomain, vm.region});
        }
    }
    handle(message);
}

void booking_proxy::onUpstreamLeaving(const upstream_id &upstream)
{
    handle(upstream_leaving_reported {upstream});
}

std::size_t booking_proxy::inFlight() const
{
    return m_bookings.size();
}

const routing_state &booking_proxy::state() const
{
    return m_state;
}

void booking_proxy::serve(const std::shared_ptr<http_request> &request)
{
    const auto now = std::chrono::steady_clock::now();
    const auto entry = std::make_shared<booking>();
    entry->id = ++m_lastId;
    entry->request = request;
    entry->arrivedAt = now;
    entry->call.method = request->method();
    entry->call.headers = forwardedHeaders(request->headers());
    entry->call.body = request->body();
    const auto query = request->query("");
    entry->pathAndQuery = request->path() + (query.empty() ? "" : '?' + query);
    const auto type = request->header("Content-Type");
    entry->call.contentType = type.empty() ? "application/octet-stream" : type;
    const auto repeatable = isRepeatable(*request);
    // The executor may close a reused connection just as the request is sent. The request then counts as sent, and is
    // retried only if it is repeatable. A fresh connection avoids this.
    entry->call.needsFreshConnection = !repeatable;
    auto wait = m_defaultDeadline;
    if (const auto asked = parseInteger(request->header(deadlineHeader)); asked && *asked > 0) {
        wait = std::min<std::chrono::milliseconds>(std::chrono::milliseconds(*asked), maxDeadline);
    }
    entry->deadline = now + wait;
    m_bookings.emplace(entry->id, entry);
    handle(request_arrived {entry->id, entry->deadline, repeatable});
}

void booking_proxy::handle(const routing_message &message)
{
    const auto actions = step(m_state, message, std::chrono::steady_clock::now());
    std::ranges::for_each(actions, [this](const routing_action &action) { carryOut(action); });
}

void booking_proxy::carryOut(const routing_action &action)
{
    if (const auto *attempt = std::get_if<send_attempt>(&action)) {
        send(*attempt);
    } else if (const auto *refused = std::get_if<refuse_request>(&action)) {
        refuse(*refused);
    } else if (const auto *unknown = std::get_if<report_unknown>(&action)) {
        reportUnknown(*unknown);
    } else if (const auto *delivered = std::get_if<deliver_answer>(&action)) {
        deliver(*delivered);
    } else if (const auto *left = std::get_if<announce_leaving>(&action)) {
        LOG(INFO) << "routing: upstream leaves, upstream=" << logText(left->upstream);
        m_announceLeaving(left->upstream);
    }
}

void booking_proxy::send(const send_attempt &action)
{
    const auto entry = m_bookings.at(action.id);
    const auto now = std::chrono::steady_clock::now();
    entry->latest = {};
    entry->latest.upstream = action.upstream;
    entry->latest.sentAt = now;
    auto call = entry->call;
    call.url = m_addresses[action.upstream] + entry->pathAndQuery;
    call.timeout = std::max<std::chrono::milliseconds>(
        1ms, std::chrono::duration_cast<std::chrono::milliseconds>(entry->deadline - now));
    call.headers.push_back({requestIdHeader, std::to_string(entry->id)});
    entry->latest.bytes = static_cast<std::int64_t>(call.url.size() + call.body.size()) + sizeOf(call.headers);
    http_stream::handlers handlers;
    handlers.headReceived = [this, entry](unsigned status, const http_headers &headers) {
        onResponseStarted(entry, status, headers);
    };
    handlers.pieceReceived = [this, entry](std::string_view piece) { onBodyReceived(entry, piece); };
    handlers.ended = [this, entry] { onResponseEnded(entry); };
    handlers.failed = [this, entry](const http_failure &failure) { onAttemptFailed(entry, failure); };
    entry->latest.stream = m_http.stream(call, std::move(handlers));
}

void booking_proxy::onResponseStarted(const std::shared_ptr<booking> &entry, unsigned status,
                                      const http_headers &headers)
{
    entry->latest.bytes += sizeOf(headers);
    entry->latest.isUpstreamLeaving = !headerValue(headers, leavingHeader).empty();
    entry->latest.wasNotRun = status == statusUnavailable && !headerValue(headers, notRunHeader).empty();
    const auto load = parseInteger(headerValue(headers, loadHeader));
    entry->latest.reportedLoad =
        load ? std::optional(static_cast<std::int32_t>(std::clamp<std::int64_t>(*load, 0, 1'000'000))) : std::nullopt;
    if (status >= firstServerErrorStatus) {
        entry->latest.errorResponse = {status, forwardedHeaders(headers), {}};
    } else {
        entry->latest.isStreaming = true;
        entry->request->beginStream(status, forwardedHeadersWithLength(headers));
    }
    entry->latest.stream->readMore();
}

void booking_proxy::onBodyReceived(const std::shared_ptr<booking> &entry, std::string_view piece)
{
    entry->latest.bytes += static_cast<std::int64_t>(piece.size());
    if (!entry->latest.isStreaming) {
        if (entry->latest.errorResponse.body.size() < maxErrorBodyBytes) {
            entry->latest.errorResponse.body.append(piece);
        }
        entry->latest.stream->readMore();
        return;
    }
    entry->request->writePiece(piece, [weakEntry = std::weak_ptr(entry)] {
        if (const auto strong = weakEntry.lock()) {
            strong->latest.stream->readMore();
        }
    });
}

void booking_proxy::onResponseEnded(const std::shared_ptr<booking> &entry)
{
    if (entry->latest.isStreaming) {
        entry->request->endStream();
        removeBooking(entry->id);
        m_measures.count("primrosecroft_bookings_total", "outcome", "answered");
        m_measures.observe(
            "primrosecroft_booking_seconds", "outcome", "answered",
            std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - entry->arrivedAt));
        finishAttempt(entry, attempt_result::answered);
        return;
    }
    finishAttempt(entry, entry->latest.wasNotRun ? attempt_result::notRun : attempt_result::failed);
}

void booking_proxy::onAttemptFailed(const std::shared_ptr<booking> &entry, const http_failure &failure)
{
    LOG_EVERY_N(WARNING, 50) << "routing: attempt failed, id=" << entry->id
                             << " reason=" << logText(failure.fault.what());
    if (entry->latest.isStreaming) {
        entry->request->abort();
        removeBooking(entry->id);
        m_measures.count("primrosecroft_bookings_total", "outcome", "broken");
    }
    finishAttempt(entry, failure.isSent ? attempt_result::lost : attempt_result::unreachable);
}

void booking_proxy::finishAttempt(const std::shared_ptr<booking> &entry, attempt_result result)
{
    const auto took =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - entry->latest.sentAt);
    const auto stream = std::exchange(entry->latest.stream, nullptr);
    const auto bytes = result == attempt_result::unreachable ? 0 : entry->latest.bytes;
    handle(attempt_finished {entry->id, result, entry->latest.isUpstreamLeaving, entry->latest.isStreaming,
                             entry->latest.reportedLoad, took, bytes});
}

std::shared_ptr<booking_proxy::booking> booking_proxy::removeBooking(std::uint64_t id)
{
    auto node = m_bookings.extract(id);
    return node ? node.mapped() : nullptr;
}

void booking_proxy::refuse(const refuse_request &action)
{
    const auto entry = removeBooking(action.id);
    m_measures.count("primrosecroft_bookings_total", "outcome", "refused");
    entry->request->answer(toResponse({statusUnavailable, request_outcome::refused, "route request",
                                       entry->latest.upstream, action.reason, action.retryAfter, ""}));
}

void booking_proxy::reportUnknown(const report_unknown &action)
{
    const auto entry = removeBooking(action.id);
    m_measures.count("primrosecroft_bookings_total", "outcome", "unknown");
    entry->request->answer(
        toResponse({statusGatewayTimeout, request_outcome::unknown, "await answer", entry->latest.upstream,
                    "the request was sent and no complete answer arrived", std::nullopt, entry->pathAndQuery}));
}

void booking_proxy::deliver(const deliver_answer &action)
{
    const auto entry = removeBooking(action.id);
    m_measures.count("primrosecroft_bookings_total", "outcome", "upstream_fault");
    entry->request->answer(entry->latest.errorResponse);
}

} // namespace primrosecroft
