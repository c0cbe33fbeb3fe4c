#pragma once

#include "io/http_server.h"
#include "waiting_calls.h"

#include <memory>
#include <set>
#include <string>

namespace primrosecroft::standins
{

/// Serves the platform's advice over HTTP: allows about two thirds of the workers and gives each a ticket.
class advice_server
{
public:
    static constexpr std::chrono::milliseconds ticketValidity {2'500};

    explicit advice_server(waiting_calls &calls);

    void serve(const std::shared_ptr<http_request> &request);
    bool hasIssued(const std::string &ticket) const;
    int calls() const;

private:
    waiting_calls &m_waiting;
    std::set<std::string> m_tickets;
    int m_calls = 0;
};

} // namespace primrosecroft::standins
