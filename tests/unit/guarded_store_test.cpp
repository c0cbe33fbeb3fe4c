#include "fake_store.h"
#include "loopback.h"
#include "store/guarded_store.h"

#include <catch2/catch.hpp>

/// Tests the results that callers of guarded_store get while the store is unreachable.
using namespace primrosecroft;
using namespace std::chrono_literals;
using loopback::runUntil;

namespace
{

class failing_object_store : public object_store
{
public:
    void put(const std::string & /*name*/, const std::string & /*bytes*/, std::chrono::milliseconds /*timeout*/,
             std::function<void(store_outcome)> done) override
    {
        done(store_outcome::refused);
    }

    void get(const std::string & /*name*/, std::chrono::milliseconds /*timeout*/,
             std::function<void(store_outcome, std::optional<std::string>)> done) override
    {
        done(store_outcome::refused, std::nullopt);
    }
};

struct guarded
{
    fake_store target;
    failing_object_store objects;
    guarded_store rows {target, objects, 500ms};

    std::optional<store_outcome> write(const std::string &key)
    {
        std::optional<store_outcome> outcome;
        rows.commit({{}, {{{"t", "", key}, "1"}}, {}},
                    [&outcome](const commit_result &result) { outcome = result.outcome; });
        return outcome;
    }

    bool isRead(const std::string &key)
    {
        bool isGood = false;
        rows.readRow({"t", "", key}, [&isGood](const row_result &row) { isGood = row.has_value(); });
        return isGood;
    }
};

} // namespace

TEST_CASE("after a failed call writes are refused at once until a read succeeds")
{
    guarded store;
    CHECK(store.write("a") == store_outcome::done);
    store.target.isUnreachable = true;
    CHECK(store.write("b") == store_outcome::refused);
    CHECK_FALSE(store.rows.isReachable());
    const auto sent = store.target.commits;
    store.target.isUnreachable = false;
    CHECK(store.write("c") == store_outcome::refused);
    CHECK(store.target.commits == sent);
    CHECK(runUntil([&] { return store.isRead("a"); }));
    CHECK(store.rows.isReachable());
    CHECK(store.write("d") == store_outcome::done);
}

TEST_CASE("while the store is unreachable few reads are sent and the others fail at once")
{
    guarded store;
    store.target.isUnreachable = true;
    for (int attempt = 0; attempt < 50; ++attempt) {
        CHECK_FALSE(store.isRead("a"));
    }
    CHECK(store.target.reads <= 2);
}

TEST_CASE("readRow returns only the row with exactly this key, and readAll reads page by page")
{
    guarded store;
    for (int number = 0; number < 1'200; ++number) {
        store.target.rows.put({"t", "", "k" + std::to_string(number)}, "v");
    }
    std::optional<std::size_t> count;
    store.rows.readAll({"t", "", "", ""}, [&count](const rows_result &rows) { count = rows ? rows->size() : 0; });
    CHECK(count == 1'200);
    std::optional<store_row> found;
    bool isAbsent = false;
    store.rows.readRow({"t", "", "k7"}, [&found](const row_result &row) { found = row.value(); });
    store.rows.readRow({"t", "", "k"}, [&isAbsent](const row_result &row) { isAbsent = !row.value().has_value(); });
    REQUIRE(found);
    CHECK(found->place.key == "k7");
    CHECK(isAbsent);
}
