#pragma once
// A small event loop with HTTP/1.1 servers and clients on loopback addresses, for the stand-ins of the review.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace net
{

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

struct message
{
    std::string method; // of a request
    std::string target; // of a request
    int status = 0; // of a response; 0 if there was none
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

inline std::string lower(std::string text)
{
    for (auto &each : text) {
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    }
    return text;
}

// Takes one complete message from the front of the input. Returns false if it isn't complete yet.
inline bool takeMessage(std::string &input, bool isResponse, message &result)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    message parsed;
    const auto firstEnd = input.find("\r\n");
    const auto first = input.substr(0, firstEnd);
    const auto space = first.find(' ');
    const auto second = first.find(' ', space + 1);
    if (isResponse) {
        parsed.status = std::atoi(first.c_str() + space);
    } else {
        parsed.method = first.substr(0, space);
        parsed.target = first.substr(space + 1, second - space - 1);
    }
    for (auto at = firstEnd + 2; at < end;) {
        const auto next = std::min(input.find("\r\n", at), end);
        const auto colon = input.find(':', at);
        if (colon != std::string::npos && colon < next) {
            auto value = input.substr(colon + 1, next - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            parsed.headers[lower(input.substr(at, colon - at))] = value;
        }
        at = next + 2;
    }
    std::size_t length = 0;
    if (const auto found = parsed.headers.find("content-length"); found != parsed.headers.end()) {
        length = std::stoul(found->second);
    }
    if (input.size() < end + 4 + length) {
        return false;
    }
    parsed.body = input.substr(end + 4, length);
    input.erase(0, end + 4 + length);
    result = std::move(parsed);
    return true;
}

inline sockaddr_in socketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

struct connection
{
    int descriptor = -1;
    int listener = -1; // key of the server that accepted it; -1 for a client's connection
    bool isClient = false;
    std::string input;
    std::string output;
    bool closesWhenWritten = false;
    bool isBusy = false; // a request is being answered
    std::function<void(const message &)> answered; // of a client's connection
};

using connection_pointer = std::shared_ptr<connection>;

struct request
{
    message content;
    std::weak_ptr<connection> from;
};

class loop
{
public:
    using handler = std::function<void(const request &)>;

    void after(std::int64_t delayMs, std::function<void()> task)
    {
        m_timers.emplace(nowMs() + delayMs, std::move(task));
    }

    // Returns the key of the server, or -1 if the address is in use.
    int listen(const std::string &address, handler serve)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto target = socketAddress(address);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
            || ::listen(descriptor, 512) != 0) {
            ::close(descriptor);
            return -1;
        }
        m_servers[descriptor] = std::move(serve);
        return descriptor;
    }

    // Ends a server as the end of its process would: its port is closed and its connections are reset.
    void endServer(int server)
    {
        ::close(server);
        m_servers.erase(server);
        for (const auto &each : m_connections) {
            if (each->listener == server && each->descriptor >= 0) {
                const linger none {1, 0};
                setsockopt(each->descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
                drop(*each);
            }
        }
    }

    void answer(const request &to, int status, const std::string &body)
    {
        const auto target = to.from.lock();
        if (!target || target->descriptor < 0) {
            return;
        }
        target->output += "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
        target->isBusy = false;
        flush(target);
        parse(target);
    }

    // Closes the connection of a request without an answer.
    void abandon(const request &to)
    {
        if (const auto target = to.from.lock()) {
            drop(*target);
        }
    }

    // Calls done once, with status 0 if there is no complete response within the time.
    void call(const std::string &address, const std::string &text, std::int64_t timeoutMs,
              std::function<void(const message &)> done)
    {
        auto created = std::make_shared<connection>();
        created->isClient = true;
        created->output = text;
        created->answered = std::move(done);
        created->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(created->descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const auto target = socketAddress(address);
        if (connect(created->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
            && errno != EINPROGRESS) {
            drop(*created);
        }
        m_connections.push_back(created);
        after(timeoutMs, [this, weak = std::weak_ptr(created)] {
            if (const auto late = weak.lock()) {
                drop(*late);
            }
        });
        if (created->descriptor < 0) {
            after(0, [created] { finish(*created, {}); });
        }
    }

    void run()
    {
        m_isEnding = false;
        while (!m_isEnding) {
            const auto now = nowMs();
            while (!m_timers.empty() && m_timers.begin()->first <= now && !m_isEnding) {
                auto task = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                task();
            }
            if (m_isEnding) {
                return;
            }
            wait();
        }
    }

    void end()
    {
        m_isEnding = true;
    }

private:
    static void finish(connection &each, const message &response)
    {
        if (const auto done = std::exchange(each.answered, nullptr)) {
            done(response);
        }
    }

    void drop(connection &each)
    {
        if (each.descriptor >= 0) {
            ::close(std::exchange(each.descriptor, -1));
        }
        if (each.isClient && each.answered) {
            m_timers.emplace(0, [done = std::exchange(each.answered, nullptr)] { done({}); });
        }
    }

    void flush(const connection_pointer &each)
    {
        while (!each->output.empty() && each->descriptor >= 0) {
            const auto count = send(each->descriptor, each->output.data(), each->output.size(), MSG_NOSIGNAL);
            if (count < 0) {
                if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
                    drop(*each);
                }
                return;
            }
            each->output.erase(0, static_cast<std::size_t>(count));
        }
    }

    void parse(const connection_pointer &each)
    {
        message content;
        if (each->isClient) {
            if (takeMessage(each->input, true, content)) {
                finish(*each, content);
                drop(*each);
            }
            return;
        }
        const auto server = m_servers.find(each->listener);
        if (each->isBusy || server == m_servers.end() || !takeMessage(each->input, false, content)) {
            return;
        }
        each->isBusy = true;
        const auto serve = server->second;
        serve({std::move(content), each});
    }

    void wait()
    {
        std::erase_if(m_connections, [](const auto &each) { return each->descriptor < 0; });
        std::vector<pollfd> entries;
        for (const auto &[descriptor, serve] : m_servers) {
            entries.push_back({descriptor, POLLIN, 0});
        }
        const auto connections = m_connections;
        for (const auto &each : connections) {
            const short wanted = static_cast<short>(POLLIN | (each->output.empty() ? 0 : POLLOUT));
            entries.push_back({each->descriptor, wanted, 0});
        }
        std::int64_t timeout = 20;
        if (!m_timers.empty()) {
            timeout = std::clamp<std::int64_t>(m_timers.begin()->first - nowMs(), 0, 20);
        }
        if (poll(entries.data(), entries.size(), static_cast<int>(timeout)) <= 0) {
            return;
        }
        const auto servers = entries.size() - connections.size();
        for (std::size_t i = 0; i < servers; ++i) {
            if (entries[i].revents != 0 && m_servers.contains(entries[i].fd)) {
                acceptAll(entries[i].fd);
            }
        }
        for (std::size_t i = 0; i < connections.size(); ++i) {
            const auto &each = connections[i];
            if (entries[servers + i].revents == 0 || each->descriptor != entries[servers + i].fd) {
                continue;
            }
            if ((entries[servers + i].revents & POLLOUT) != 0) {
                flush(each);
            }
            if (each->descriptor >= 0 && (entries[servers + i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
                receive(each);
            }
        }
    }

    void acceptAll(int server)
    {
        for (;;) {
            const int descriptor = accept4(server, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            auto created = std::make_shared<connection>();
            created->descriptor = descriptor;
            created->listener = server;
            m_connections.push_back(created);
        }
    }

    void receive(const connection_pointer &each)
    {
        char buffer[65536];
        const auto count = recv(each->descriptor, buffer, sizeof buffer, 0);
        if (count > 0) {
            each->input.append(buffer, static_cast<std::size_t>(count));
            parse(each);
        } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
            drop(*each);
        }
    }

    std::multimap<std::int64_t, std::function<void()>> m_timers;
    std::map<int, handler> m_servers;
    std::vector<connection_pointer> m_connections;
    bool m_isEnding = false;
};

} // namespace net
