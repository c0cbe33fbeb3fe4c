#include "core/error.h"
#include "fault_control.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace
{

using namespace primrosecroft;

/// An executor of a booking service with a few slots. While none is free, it refuses requests as not run.
class executor
{
public:
    executor(int slots, std::chrono::milliseconds serviceTime)
        : m_slots(slots)
        , m_serviceTime(serviceTime)
        , m_control(nullptr)
    {
    }

    void serve(const std::shared_ptr<http_request> &request)
    {
        if (request->path() == "/executed") {
            request->answer({200, {}, nlohmann::json(m_executionCounts).dump()});
            return;
        }
        if (request->path() == "/control") {
            m_control.serve(request, {});
            return;
        }
        const auto &faults = m_control.faults();
        if (faults.isLeaving || m_busy >= m_slots) {
            auto answer = withHeaders({503, {{"Primrosecroft-Not-Run", "1"}}, R"({"outcome":"refused"})"});
            request->answer(answer);
            return;
        }
        if (faults.failsTasks) {
            request->answer(withHeaders({500, {}, R"({"error":"failing"})"}));
            return;
        }
        if (faults.isFrozen) {
            m_frozen.push_back(request);
            return;
        }
        run(request);
    }

private:
    void run(const std::shared_ptr<http_request> &request)
    {
        ++m_busy;
        ++m_executionCounts[request->header("Booking-Id")];
        const auto delayTimer = std::make_shared<timer>();
        delayTimer->once(m_serviceTime + m_control.faults().delay, [this, request, delayTimer] {
            --m_busy;
            if (m_control.faults().losesAnswers) {
                request->abort();
                return;
            }
            const nlohmann::json body {{"booked", request->header("Booking-Id")}, {"echo", request->body()}};
            request->answer(withHeaders({200, {}, body.dump()}));
        });
    }

    http_response withHeaders(http_response answer) const
    {
        answer.headers.push_back({"Primrosecroft-Load", std::to_string(m_busy)});
        if (m_control.faults().isLeaving) {
            answer.headers.push_back({"Primrosecroft-Leaving", "1"});
        }
        return answer;
    }

    int m_slots;
    std::chrono::milliseconds m_serviceTime;
    standins::fault_control m_control;
    int m_busy = 0;
    std::map<std::string, int> m_executionCounts; ///< by booking id
    std::vector<std::shared_ptr<http_request>> m_frozen; ///< kept open without an answer
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for one executor of a booking service.");
    std::string address;
    std::uint16_t port = 0;
    int slots = 8;
    std::int64_t serviceMs = 20;
    app.add_option("--address", address, "IP number")->required();
    app.add_option("--port", port)->required();
    app.add_option("--slots", slots);
    app.add_option("--service-ms", serviceMs, "time that a booking takes");
    CLI11_PARSE(app, argc, argv);
    try {
        executor service(slots, std::chrono::milliseconds(serviceMs));
        http_server server({}, [&service](const std::shared_ptr<http_request> &request) { service.serve(request); });
        server.listen(address, port);
        standins::runLoop();
        return 0;
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}
