#include "owner_session/read_paging.h"

#include <catch2/catch.hpp>

/// The sizes of the pages in which an owner reads its jobs.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr auto readTimeout = 1'500ms;
constexpr auto bytesPerRow = 2'000;

/// Reads @p rows rows over a link that carries @p bytesPerSecond. Returns how long that takes, 60 s at most.
duration readAll(std::int32_t rows, std::int64_t bytesPerSecond)
{
    read_paging paging;
    constexpr instant begin {1h};
    auto now = begin;
    while (rows > 0 && now < begin + 60s) {
        const auto page = std::min(rows, paging.rows);
        const auto needed = std::chrono::milliseconds(1'000LL * page * bytesPerRow / bytesPerSecond + 5);
        const bool isRead = needed < readTimeout;
        const auto sentAt = now;
        now += std::min<duration>(needed, readTimeout);
        recordPage(paging, sentAt, isRead, now);
        rows -= isRead ? page : 0;
    }
    return now - begin;
}

} // namespace

TEST_CASE("a new owner on a narrow link reads a backlog of jobs that fits no single read")
{
    CHECK(readAll(600, 250'000) < 6s);
}

TEST_CASE("a link that is mostly taken by other traffic still carries the pages")
{
    CHECK(readAll(200, 25'000) < 25s);
}

TEST_CASE("on a wide link the pages grow to the largest that the store returns")
{
    read_paging paging;
    for (int page = 0; page < 4; ++page) {
        recordPage(paging, instant {1h}, true, instant {1h} + 10ms);
    }
    CHECK(paging.rows == 500);
}

TEST_CASE("scans that take long leave the link to other traffic for three quarters of the time")
{
    CHECK(pauseAfterScan(20ms, 2s) == 1'980ms);
    CHECK(pauseAfterScan(1'500ms, 2s) == 4'500ms);
}
