#include "observability/log_text.h"
#include "observability/metrics.h"

#include <catch2/catch.hpp>

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
