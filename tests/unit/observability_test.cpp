#include "observability/decision_log.h"
#include "observability/log_text.h"
#include "observability/metrics.h"

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace primrosecroft;

TEST_CASE("external text can neither end a log line nor control a terminal")
{
    CHECK(logText("plain text") == "plain text");
    CHECK(logText("a\nE1204 forged") == "a\\x0aE1204 forged");
    CHECK(logText("\x1b[31m\x7f\xc3\\") == "\\x1b[31m\\x7f\\xc3\\\\");
    CHECK(logText(std::string(5000, 'a')) == std::string(400, 'a') + "...");
}

TEST_CASE("a metric keeps a bounded number of label values and counts the rest as other")
{
    metrics measures;
    for (int index = 0; index < 1000; ++index) {
        measures.count("events_total", "reason", "reason " + std::to_string(index));
    }
    const auto text = measures.text();
    CHECK(text.find("{reason=\"reason 63\"} 1\n") != std::string::npos);
    CHECK(text.find("reason 64\"") == std::string::npos);
    CHECK(text.find("events_total{reason=\"other\"} 936\n") != std::string::npos);
}

TEST_CASE("the count of dropped log lines never goes back")
{
    std::array<int, 2> ends {};
    REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0);
    decision_log log(40, ends[1]);
    const std::string filler(300, 'a');
    while (log.droppedLines() < 3) {
        log.writeAlways("test", "filler", {{"text", filler}});
    }
    const auto dropped = log.droppedLines();
    std::string read(1'000'000, '\0');
    read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
    log.writeAlways("test", "written", {});
    CHECK(log.droppedLines() == dropped);
    read.resize(1'000);
    read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
    CHECK_THAT(read, Catch::Matchers::Contains("test written dropped=" + std::to_string(dropped)));
    log.writeAlways("test", "next", {});
    read.resize(1'000);
    read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
    CHECK_THAT(read, !Catch::Matchers::Contains("dropped="));
    ::close(ends[0]);
    ::close(ends[1]);
}
