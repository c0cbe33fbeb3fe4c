#include "core/error.h"
#include "durations/duration_row.h"
#include "durations/step_times.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

/// What is learned of durations, and how it is stored.
using namespace primrosecroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

ended_run doneIn(milliseconds worked, const char *image = "image", milliseconds estimate = 1'000ms)
{
    return {{"queue", image, estimate}, worked, true, 1};
}

void learnTimes(duration_model &model, int count, const ended_run &run)
{
    for (int number = 0; number < count; ++number) {
        learn(model, run);
    }
}

/// Returns whether @p value differs from @p expected by no more than the share @p tolerance of it.
bool isNear(milliseconds value, milliseconds expected, double tolerance)
{
    return std::abs(static_cast<double>((value - expected).count()))
        <= tolerance * static_cast<double>(expected.count());
}

/// Draws tasks whose times vary around @p typical by @p spread, and estimates that are off by up to 0.9 of them.
class drawn_load
{
public:
    drawn_load(milliseconds typical, double spread)
        : m_log(std::log(static_cast<double>(typical.count())), spread)
    {
    }

    ended_run next(const char *image)
    {
        const auto time = std::max(1.0, m_log(m_random));
        const auto estimate = std::max(1.0, time * m_estimate(m_random));
        return doneIn(milliseconds(std::llround(time)), image, milliseconds(std::llround(estimate)));
    }

private:
    std::mt19937_64 m_random {7};
    std::lognormal_distribution<double> m_log;
    std::uniform_real_distribution<double> m_estimate {0.1, 1.9};
};

double median(std::vector<double> values)
{
    const auto middle = values.begin() + std::ssize(values) / 2;
    std::ranges::nth_element(values, middle);
    return *middle;
}

double errorOf(milliseconds expected, milliseconds took)
{
    return std::abs(static_cast<double>((expected - took).count())) / static_cast<double>(took.count());
}

} // namespace

TEST_CASE("a queue of which nothing is known is expected to take the caller's estimate")
{
    const duration_model model;
    const auto expected = forecast(model, {"queue", "image", 800ms});
    CHECK(expected.median == 800ms);
    CHECK(expected.early == 400ms);
    CHECK(expected.late == 1'600ms);
    CHECK(expected.certainty == 0);
}

TEST_CASE("a new image is expected to behave like its queue, and then like itself")
{
    duration_model model;
    learnTimes(model, 30, doneIn(3'000ms, "known"));
    CHECK(isNear(forecast(model, {"queue", "new", 1'000ms}).median, 3'000ms, 0.2));
    learnTimes(model, 30, doneIn(500ms, "new"));
    CHECK(isNear(forecast(model, {"queue", "new", 1'000ms}).median, 500ms, 0.2));
    CHECK(isNear(forecast(model, {"queue", "known", 1'000ms}).median, 3'000ms, 0.2));
    CHECK(forecast(model, {"other", "known", 1'000ms}).median == 1'000ms);
}

TEST_CASE("certainty grows with the evidence")
{
    duration_model model;
    double before = 0;
    for (int run = 0; run < 20; ++run) {
        learn(model, doneIn(1'000ms));
        const auto certainty = forecast(model, {"queue", "image", 1'000ms}).certainty;
        CHECK(certainty > before);
        CHECK(certainty <= 1);
        before = certainty;
    }
}

TEST_CASE("estimates that are off by the same factor are corrected by it, whatever the tasks' times are")
{
    duration_model model;
    for (int run = 0; run < 50; ++run) {
        const milliseconds time(200 + (run * 7'919) % 9'000);
        learn(model, doneIn(time, "image", time / 4));
    }
    CHECK(isNear(forecast(model, {"queue", "image", 2'000ms}).median, 8'000ms, 0.2));
    CHECK(isNear(forecast(model, {"queue", "image", 100ms}).median, 400ms, 0.2));
}

TEST_CASE("estimates that tell nothing lose their weight")
{
    duration_model model;
    for (int run = 0; run < 50; ++run) {
        learn(model, doneIn(2'000ms, "image", milliseconds(20 << (run % 10))));
    }
    CHECK(isNear(forecast(model, {"queue", "image", 20ms}).median, 2'000ms, 0.2));
    CHECK(isNear(forecast(model, {"queue", "image", 20'000ms}).median, 2'000ms, 0.2));
}

TEST_CASE("a task without an estimate is expected to behave like those before it")
{
    duration_model model;
    CHECK(forecast(model, {"queue", "image", 0ms}).certainty == 0);
    learnTimes(model, 5, doneIn(2'000ms, "image", 0ms));
    CHECK(isNear(forecast(model, {"queue", "image", 0ms}).median, 2'000ms, 0.2));
}

TEST_CASE("after 50 runs of an image the median error of forecasts is a third of the estimates' at most")
{
    drawn_load load(3'000ms, 0.1);
    duration_model model;
    learnTimes(model, 1, load.next("image"));
    for (int run = 1; run < 50; ++run) {
        learn(model, load.next("image"));
    }
    std::vector<double> errors;
    std::vector<double> estimateErrors;
    for (int run = 0; run < 200; ++run) {
        const auto next = load.next("image");
        errors.push_back(errorOf(forecast(model, next.kind).median, next.worked));
        estimateErrors.push_back(errorOf(next.kind.estimate, next.worked));
        learn(model, next);
    }
    CHECK(median(errors) * 3 <= median(estimateErrors));
}

TEST_CASE("a shift of the load is followed within 50 runs")
{
    for (const auto after : {300ms, 30'000ms}) {
        duration_model model;
        learnTimes(model, 500, doneIn(3'000ms));
        learnTimes(model, 50, doneIn(after));
        CHECK(isNear(forecast(model, {"queue", "image", 1'000ms}).median, after, 0.25));
    }
}

TEST_CASE("a run that was cut off shows that its task takes longer")
{
    duration_model model;
    learnTimes(model, 20, doneIn(1'000ms));
    auto cut = doneIn(4'000ms);
    cut.isWhole = false;
    learnTimes(model, 40, cut);
    CHECK(forecast(model, {"queue", "image", 1'000ms}).median > 3'900ms);

    duration_model other;
    learnTimes(other, 20, doneIn(1'000ms));
    cut.worked = 100ms; // cut off long before it could end, which says nothing
    learnTimes(other, 20, cut);
    CHECK(isNear(forecast(other, {"queue", "image", 1'000ms}).median, 1'000ms, 0.2));
}

TEST_CASE("the tasks of a step that have ended tell how long the others take")
{
    step_times times;
    const auto before = forecastOfEstimate(1'000ms);
    CHECK(refineBy(times, before).median == 1'000ms);
    for (int task = 0; task < 5; ++task) {
        add(times, 5'000ms);
    }
    const auto after = refineBy(times, before);
    CHECK(isNear(after.median, 5'000ms, 0.25));
    CHECK(after.certainty > before.certainty);
}

TEST_CASE("no more is kept than the bounds allow, and a queue with ever new images keeps no other from learning")
{
    duration_model model;
    for (int run = 0; run < 5'000; ++run) {
        learn(model, {{"noisy", "image" + std::to_string(run), 100ms}, 1'000ms, true, 1});
        if (run % 50 == 0) {
            learn(model, {{"quiet", "image" + std::to_string(run % 500), 100ms}, 1'000ms, true, 1});
        }
        learn(model, {{"queue" + std::to_string(run % 150), "image", 100ms}, 1'000ms, true, 1});
    }
    std::size_t images = 0;
    for (const auto &[name, queue] : model.queues) {
        images += queue.images.size();
    }
    CHECK(model.queues.size() <= maxDurationQueues);
    CHECK(model.imageCount == images);
    CHECK(images <= maxDurationImages);
    CHECK(findRecord(model, "quiet", "image0") != nullptr);
}

TEST_CASE("the next owner goes on with what was stored")
{
    duration_model model;
    drawn_load load(2'000ms, 0.3);
    for (int run = 0; run < 200; ++run) {
        learn(model, load.next(run % 2 == 0 ? "a" : "b"));
    }
    const auto row = encodeDurations(model);
    const auto restored = decodeDurations(row);
    for (const auto *image : {"a", "b", "new"}) {
        const task_kind kind {"queue", image, 1'500ms};
        const auto before = forecast(model, kind);
        const auto after = forecast(restored, kind);
        CHECK(isNear(after.early, before.early, 0.02));
        CHECK(isNear(after.median, before.median, 0.02));
        CHECK(isNear(after.late, before.late, 0.02));
        CHECK(std::abs(after.certainty - before.certainty) < 0.01);
    }
    CHECK(restored.runs == model.runs);
    CHECK(encodeDurations(restored) == row);
}

TEST_CASE("the stored row is bounded and keeps what was learned last")
{
    duration_model model;
    for (int run = 0; run < 2'000; ++run) {
        learn(model, {{"queue", std::string(100, 'x') + std::to_string(run), 100ms}, milliseconds(run + 1), true, 1});
    }
    const auto row = encodeDurations(model);
    CHECK(row.size() <= maxDurationRowBytes);
    const auto restored = decodeDurations(row);
    CHECK(findRecord(restored, "queue", {}) != nullptr);
    CHECK(findRecord(restored, "queue", std::string(100, 'x') + "1999") != nullptr);
}

TEST_CASE("a row of another version, or one that can't be read, is refused")
{
    duration_model model;
    learn(model, doneIn(1'000ms));
    auto row = encodeDurations(model);
    CHECK_THROWS_AS(decodeDurations(row.substr(0, row.size() / 2)), error);
    CHECK_THROWS_AS(decodeDurations(""), error);
    CHECK_THROWS_AS(decodeDurations("text"), error);
    const auto version = row.find(std::string("av") + '\x01'); // a text of one letter, and the number
    REQUIRE(version != std::string::npos);
    row[version + 2] = '\x02';
    CHECK_THROWS_AS(decodeDurations(row), error);
}
