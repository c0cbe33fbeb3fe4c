#include "cell_emulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

/// Complete sessions of a cell as workers see them, compared with golden files. `UPDATE_GOLDEN=1` rewrites the files.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

emulation_settings withoutFaults()
{
    emulation_settings settings;
    settings.faultScale = 0;
    settings.workers = 2;
    return settings;
}

accepted_job makeJob(const std::string &id, std::int32_t count, std::chrono::milliseconds estimate)
{
    accepted_job job;
    job.id = id;
    job.queue = {"queue", "pool", 0, 2, 2, 500ms, std::nullopt};
    step_spec step;
    step.count = count;
    step.size = {2'000, 1'000, 0};
    step.estimate = estimate;
    auto second = step;
    second.count = 1;
    second.after = {0};
    job.spec.steps = {step, second};
    return job;
}

/// Runs an emulated cell and records its trace as text.
class session
{
public:
    session()
    {
        cell.onTrace = [this](const std::string &line) {
            m_text << '+' << cell.elapsed().count() << " ms  " << line << '\n';
        };
        cell.runFor(2s);
    }

    /// Adds a line to the record that describes what the test does.
    void annotate(const std::string &what)
    {
        m_text << '+' << cell.elapsed().count() << " ms  ** " << what << '\n';
    }

    /// Checks the record against a golden file, which it rewrites first if UPDATE_GOLDEN is set.
    void checkAgainst(const std::string &file)
    {
        annotate("the end");
        CHECK(cell.violation().empty());
        const auto path = "../golden/" + file;
        if (std::getenv("UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << m_text.str();
        }
        std::ifstream stream(path);
        std::stringstream expected;
        expected << stream.rdbuf();
        CHECK(m_text.str() == expected.str());
    }

    cell_emulation cell {withoutFaults()};

private:
    std::ostringstream m_text;
};

} // namespace

TEST_CASE("a job of two steps runs from its acceptance to its end")
{
    session session;
    session.annotate("job a is submitted");
    session.cell.submit(makeJob("a", 3, 400ms));
    session.cell.runFor(2s);
    session.checkAgainst("cell-two-steps.txt");
}

TEST_CASE("tasks go on running after their owner is killed, and the next step starts under a new token")
{
    session session;
    session.annotate("job a is submitted");
    session.cell.submit(makeJob("a", 2, 3s));
    session.cell.runFor(500ms);
    session.annotate("the owner is killed");
    session.cell.killOwner(20s);
    session.cell.runFor(6s);
    session.checkAgainst("cell-owner-killed.txt");
}

TEST_CASE("tasks of an unresponsive worker start elsewhere after its leases have expired")
{
    session session;
    session.annotate("job a is submitted");
    session.cell.submit(makeJob("a", 2, 2s));
    session.cell.runFor(300ms);
    session.annotate("worker 0 is cut off");
    session.cell.disconnectWorker(0, 60s);
    session.annotate("worker 1 is cut off for a moment");
    session.cell.disconnectWorker(1, 100ms);
    session.cell.runFor(14s);
    session.checkAgainst("cell-worker-cut.txt");
}
