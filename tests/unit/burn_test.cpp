#include "burn_output.h"
#include "burn_picture.h"
#include "core/error.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace
{

constexpr auto settingsText = "daemons:\n"
                              "  e1: {failureDomain: north, url: 'http://127.24.1.1:7400'}\n"
                              "  e2: {failureDomain: south, url: 'http://127.24.1.2:7400'}\n"
                              "objectives:\n"
                              "  booking: {kind: ratio, target: 0.99, good: {metric: ok}, total: {metric: all}}\n"
                              "  sheet: {kind: configuration, target: 0.99, within: 4s}\n";

std::optional<std::string> metricsText(int good, int total, int version)
{
    return "# HELP ok\nok{outcome=\"answered\"} " + std::to_string(good) + "\nall " + std::to_string(total)
        + "\nprimrosecroft_configuration_version " + std::to_string(version) + "\n";
}

/// A saved series: one line per scrape of e1 and e2.
class saved_series
{
public:
    void add(std::chrono::milliseconds at, const std::optional<std::string> &e1, const std::optional<std::string> &e2)
    {
        const std::vector<daemon_scrape> daemons {{"e1", "north", std::nullopt}, {"e2", "south", std::nullopt}};
        m_text += toLine(at, daemons, {e1, e2}) + '\n';
    }

    burn_report report() const
    {
        return makeBurnReport(readBurnSettings(settingsText, "burn.yaml"), readSeries(m_text, "series"));
    }

private:
    std::string m_text;
};

/// Indices of the rows. They are sorted by objective, then all failure domains, north, south.
constexpr std::size_t bookingAll = 0;
constexpr std::size_t bookingNorth = 1;
constexpr std::size_t bookingSouth = 2;
constexpr std::size_t sheetAll = 3;
constexpr std::size_t sheetSouth = 5;

} // namespace

TEST_CASE("in each window the burn rate is the share of bad events divided by the error budget")
{
    saved_series series;
    series.add(0min, metricsText(0, 0, 1), metricsText(0, 0, 1));
    series.add(300min, metricsText(9'000, 9'000, 1), metricsText(1'000, 1'000, 1));
    series.add(355min, metricsText(9'900, 10'000, 1), metricsText(2'000, 2'000, 1));
    series.add(360min, metricsText(9'980, 10'100, 1), metricsText(2'100, 2'100, 1));
    const auto rows = series.report().rows;
    const auto &north = rows.at(bookingNorth);
    // The error budget is 1 bad event in 100. In the last 5 min, 20 of 100 events were bad; in the last 1 h, 120 of
    // 1,100; in the last 6 h, 120 of 10,100. The 30 min window contains only the last two scrapes, as the 5 min one.
    CHECK(*north.windows[0].burn == Approx(20));
    CHECK(*north.windows[1].burn == Approx(120.0 / 1'100 * 100));
    CHECK(*north.windows[2].burn == Approx(20));
    CHECK(*north.windows[3].burn == Approx(120.0 / 10'100 * 100));
    // Of the windows for a fast burn, 20 is over 14.4 but 10.9 is not. Of those for a slow one, 20 is over 6 but 1.19
    // is not. So there is no alert yet.
    CHECK(north.state == burn_state::good);
    CHECK(*rows.at(bookingAll).windows[0].burn == Approx(10));
    CHECK(*rows.at(bookingSouth).windows[3].burn == Approx(0));
    CHECK(north.windows[3].covered == 6h);
}

TEST_CASE("two windows over their common threshold raise an alert")
{
    saved_series fast;
    fast.add(0min, metricsText(0, 0, 1), metricsText(0, 0, 1));
    fast.add(56min, metricsText(800, 1'000, 1), metricsText(1'000, 1'000, 1));
    fast.add(60min, metricsText(880, 1'100, 1), metricsText(1'100, 1'100, 1));
    CHECK(fast.report().rows.at(bookingNorth).state == burn_state::fastBurn);
    CHECK(fast.report().rows.at(bookingSouth).state == burn_state::good);
    saved_series slow;
    slow.add(0min, metricsText(0, 0, 1), metricsText(0, 0, 1));
    slow.add(340min, metricsText(920, 1'000, 1), metricsText(1'000, 1'000, 1));
    slow.add(360min, metricsText(1'840, 2'000, 1), metricsText(2'000, 2'000, 1));
    CHECK(slow.report().rows.at(bookingNorth).state == burn_state::slowBurn);
}

TEST_CASE("a counter reset loses no events that were scraped, and is reported")
{
    saved_series series;
    series.add(0min, metricsText(1'000, 1'000, 1), metricsText(0, 0, 1));
    series.add(2min, metricsText(40, 50, 1), metricsText(0, 0, 1));
    series.add(4min, metricsText(90, 100, 1), metricsText(0, 0, 1));
    const auto row = series.report().rows.at(bookingNorth);
    CHECK(row.windows[0].total == Approx(100));
    CHECK(row.windows[0].good == Approx(90));
    CHECK(*row.windows[0].burn == Approx(10));
    CHECK(row.resets == std::set<std::string> {"e1"});
    CHECK_THAT(toText(series.report()), Contains("counters were reset: e1"));
}

TEST_CASE("a missing daemon and a failure domain without events never count as good")
{
    saved_series series;
    series.add(0min, metricsText(0, 0, 1), metricsText(0, 0, 1));
    series.add(4min, metricsText(100, 100, 1), std::nullopt);
    const auto rows = series.report().rows;
    CHECK(rows.at(bookingNorth).state == burn_state::good);
    CHECK(rows.at(bookingSouth).state == burn_state::unseen);
    CHECK_FALSE(rows.at(bookingSouth).windows[0].burn.has_value());
    CHECK(rows.at(bookingAll).state == burn_state::unseen);
    CHECK(rows.at(bookingAll).missing == std::set<std::string> {"e2"});
    CHECK_THAT(toText(series.report()), Contains("missing now: e2") && Contains("UNSEEN") && Contains("0.00*"));
    CHECK_THAT(toJson(series.report()), Contains(R"("burn":null)"));
    saved_series quiet;
    quiet.add(0min, metricsText(5, 5, 1), metricsText(0, 0, 1));
    quiet.add(4min, metricsText(5, 5, 1), metricsText(0, 0, 1));
    CHECK(quiet.report().rows.at(bookingNorth).state == burn_state::noEvents);
}

TEST_CASE("a daemon's configuration is late once another daemon has had a newer one for the objective's time")
{
    saved_series series;
    series.add(0s, metricsText(0, 0, 1), metricsText(0, 0, 1));
    series.add(10s, metricsText(0, 0, 2), metricsText(0, 0, 1)); // the version appears: not late yet
    series.add(13s, metricsText(0, 0, 2), metricsText(0, 0, 1)); // 3 s: not late yet
    series.add(14s, metricsText(0, 0, 2), metricsText(0, 0, 1)); // 4 s: late
    series.add(20s, metricsText(0, 0, 2), metricsText(0, 0, 2));
    const auto rows = series.report().rows;
    CHECK(rows.at(sheetSouth).windows[0].total == Approx(5));
    CHECK(rows.at(sheetSouth).windows[0].good == Approx(4));
    CHECK(*rows.at(sheetAll).windows[0].burn == Approx(10));
}

TEST_CASE("errors in objectives, series and picture names are reported")
{
    CHECK_THROWS_WITH(readBurnSettings("daemons: {}\nobjectives:\n  a: {kind: ratio, target: 1}\n", "burn.yaml"),
                      Contains("objectives.a.target") && Contains("the key 'good'"));
    CHECK_THROWS_WITH(readSeries("{}\n", "series"), Contains("line 1"));
    CHECK_THROWS_AS(drawPicture({}, "burn.gif"), error);
}
