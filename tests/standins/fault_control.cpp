#include "fault_control.h"

#include <glib-unix.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace primrosecroft::standins
{

fault_control::fault_control(std::function<void(const injected_faults &)> onChange)
    : m_onChange(std::move(onChange))
{
}

const injected_faults &fault_control::faults() const
{
    return m_faults;
}

void fault_control::serve(const std::shared_ptr<http_request> &request, const handler &handle)
{
    if (request->path() == "/control") {
        setFaults(request);
        return;
    }
    if (m_faults.isFrozen) {
        m_frozen.push_back(request);
        return;
    }
    if (m_faults.isUnavailable) {
        request->answer({503, {}, "{}"});
        return;
    }
    if (m_faults.losesAnswers) {
        handle(*request);
        request->abort();
        return;
    }
    if (m_faults.delay.count() > 0) {
        const auto delayTimer = std::make_shared<timer>();
        delayTimer->once(m_faults.delay, [request, handle, delayTimer] { request->answer(handle(*request)); });
        return;
    }
    request->answer(handle(*request));
}

void fault_control::setFaults(const std::shared_ptr<http_request> &request)
{
    const auto body = nlohmann::json::parse(request->body(), nullptr, false);
    if (!body.is_object()) {
        request->answer({400, {}, "{}"});
        return;
    }
    m_faults.delay = std::chrono::milliseconds(body.value("delayMs", std::int64_t {0}));
    m_faults.isUnavailable = body.value("out", false);
    m_faults.isFrozen = body.value("freeze", false);
    m_faults.losesAnswers = body.value("loseAnswers", false);
    m_faults.isLeaving = body.value("leave", false);
    m_faults.failsTasks = body.value("failTasks", false);
    if (!m_faults.isFrozen) {
        m_frozen.clear();
    }
    if (m_onChange) {
        m_onChange(m_faults);
    }
    request->answer({200, {}, "{}"});
}

void runLoop()
{
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    const auto quit = [](gpointer data) -> int {
        g_main_loop_quit(static_cast<GMainLoop *>(data));
        return G_SOURCE_CONTINUE;
    };
    const auto source = g_unix_signal_add(SIGTERM, quit, loop);
    g_main_loop_run(loop);
    g_source_remove(source);
    g_main_loop_unref(loop);
}

} // namespace primrosecroft::standins
