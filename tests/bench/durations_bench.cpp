#include "durations/duration_row.h"
#include "figure.h"

#include <chrono>
#include <malloc.h>
#include <string>

/// Measures the time and memory of what is learned of durations, with as many images as are kept.
namespace
{

using namespace primrosecroft;
using fractional_microseconds = std::chrono::duration<double, std::micro>;

constexpr int rounds = 200'000;
constexpr int queues = 10;
constexpr int imagesPerQueue = 90;

ended_run runOf(int number)
{
    const auto queue = number % queues;
    const auto image = number / queues % imagesPerQueue;
    const std::chrono::milliseconds worked(100 + number * 7'919LL % 20'000);
    return {{"queue-" + std::to_string(queue), "registry.example/image-" + std::to_string(image), worked * 2},
            worked,
            true,
            1};
}

std::vector<ended_run> drawRuns()
{
    std::vector<ended_run> result;
    result.reserve(static_cast<std::size_t>(queues) * imagesPerQueue);
    for (int number = 0; number < queues * imagesPerQueue; ++number) {
        result.push_back(runOf(number));
    }
    return result;
}

template<typename operation>
void measure(const char *name, const std::vector<ended_run> &runs, operation each)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < rounds; ++round) {
        each(runs[round % runs.size()]);
    }
    const auto took = fractional_microseconds(std::chrono::steady_clock::now() - startedAt).count() / rounds;
    bench::printFigure(name, took, "us", bench::bound_side::atMost, 1);
}

} // namespace

int main()
{
    const auto runs = drawRuns();
    const auto before = mallinfo2().uordblks;
    duration_model model;
    for (const auto &run : runs) {
        learn(model, run);
    }
    bench::printFigure("durations_records", static_cast<double>(model.imageCount + model.queues.size()), "");
    bench::printFigure("durations_memory", static_cast<double>(mallinfo2().uordblks - before) / 1e6, "MB",
                       bench::bound_side::atMost, 2);
    measure("durations_learn", runs, [&model](const ended_run &run) { learn(model, run); });
    double sum = 0;
    measure("durations_forecast", runs,
            [&](const ended_run &run) { sum += static_cast<double>(forecast(model, run.kind).median.count()); });
    bench::printFigure("durations_mean_forecast", sum / rounds, "ms");
    const auto startedAt = std::chrono::steady_clock::now();
    const auto row = encodeDurations(model);
    bench::printFigure("durations_row_encoded_in",
                       fractional_microseconds(std::chrono::steady_clock::now() - startedAt).count(), "us");
    bench::printFigure("durations_row", static_cast<double>(row.size()), "B", bench::bound_side::atMost,
                       static_cast<double>(maxDurationRowBytes));
    return bench::figuresOutOfBounds() == 0 ? 0 : 2;
}
