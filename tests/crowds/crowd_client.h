#pragma once

#include "misbehaviour.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace primrosecroft::crowds
{

/// What all connections of a crowd have done together.
struct crowd_tally
{
    std::size_t opened = 0;
    std::size_t closed = 0; ///< by the other side
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;
};

/// One connection of a crowd. It is opened again some time after the other side has closed it.
class crowd_client
{
public:
    crowd_client(const misbehaviour &manner, std::string address, std::uint16_t port, crowd_tally &tally);
    ~crowd_client();
    crowd_client(const crowd_client &) = delete;
    crowd_client &operator=(const crowd_client &) = delete;

    /// Opens the connection if it is closed and the time for that has come.
    void openIfDue();

    /// Returns the descriptor, -1 while the connection is closed.
    int descriptor() const;

    /// Returns the conditions of poll(2) that it waits for.
    short wantedEvents() const;

    /// Sends and receives what the conditions @p events allow.
    void advance(short events);

private:
    void send();
    void receive();
    void close();
    const std::string &current() const;

    const misbehaviour &m_manner;
    std::string m_address;
    std::uint16_t m_port;
    crowd_tally &m_tally;
    int m_descriptor = -1;
    std::chrono::steady_clock::time_point m_openAt; ///< not opened before
    bool m_isOpeningSent = false;
    std::size_t m_sent = 0; ///< bytes of the current text
};

} // namespace primrosecroft::crowds
