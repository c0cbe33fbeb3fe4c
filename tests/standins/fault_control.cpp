#include "fault_control.h"

#include <glib-unix.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace primrosecroft::standins
{

fault_control::fault_control(std::function<void(const fault_orders &)> changed)
    : m_changed(std::move(changed))
{
}

const fault_orders &fault_control::orders() const
{
    return m_orders;
}

void fault_control::serve(const std::shared_ptr<http_request> &request, const effect &run)
{
    if (request->path() == "/control") {
        change(request);
        return;
    }
    if (m_orders.freeze) {
        m_frozen.push_back(request);
        return;
    }
    if (m_orders.out) {
        request->answer({503, {}, "{}"});
        return;
    }
    if (m_orders.loseAnswers) {
        run(*request);
        request->abort();
        return;
    }
    if (m_orders.delay.count() > 0) {
        const auto pause = std::make_shared<timer>();
        pause->once(m_orders.delay, [request, run, pause] { request->answer(run(*request)); });
        return;
    }
    request->answer(run(*request));
}

void fault_control::change(const std::shared_ptr<http_request> &request)
{
    const auto body = nlohmann::json::parse(request->body(), nullptr, false);
    if (!body.is_object()) {
        request->answer({400, {}, "{}"});
        return;
    }
    m_orders.delay = std::chrono::milliseconds(body.value("delayMs", std::int64_t {0}));
    m_orders.out = body.value("out", false);
    m_orders.freeze = body.value("freeze", false);
    m_orders.loseAnswers = body.value("loseAnswers", false);
    m_orders.leave = body.value("leave", false);
    m_orders.failTasks = body.value("failTasks", false);
    if (!m_orders.freeze) {
        m_frozen.clear();
    }
    if (m_changed) {
        m_changed(m_orders);
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
