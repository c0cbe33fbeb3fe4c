#include "core/error.h"
#include "primrosecroft_types.h"
#include "protocol/frame.h"

#include <catch2/catch.hpp>
#include <random>

using namespace primrosecroft;

namespace
{

wire::Message makeMessage()
{
    wire::Message message;
    message.id = 7;
    message.sender.process = "grangemouth-e1-entryd";
    message.jobQuery.id = "sheet.wash";
    message.__isset.jobQuery = true;
    return message;
}

} // namespace

TEST_CASE("a message is decoded from its frame unchanged")
{
    const auto frame = encodeFrame(makeMessage());
    REQUIRE(frameBodySize(frame) == frame.size() - frameHeaderSize);
    CHECK(decodeFrameBody(frame.substr(frameHeaderSize)) == makeMessage());
}

TEST_CASE("frame lengths out of range are rejected")
{
    CHECK_THROWS_AS(frameBodySize(std::string(4, '\0')), error);
    CHECK_THROWS_AS(frameBodySize("\xff\xff\xff\xff"), error);
}

TEST_CASE("truncated and damaged frames are rejected or decoded, but never crash")
{
    const auto body = encodeFrame(makeMessage()).substr(frameHeaderSize);
    CHECK_THROWS_AS(decodeFrameBody(body.substr(0, body.size() / 2)), error);
    CHECK_THROWS_AS(decodeFrameBody(body + "x"), error);
    std::mt19937 random(1);
    for (int round = 0; round < 20'000; ++round) {
        auto damaged = body;
        damaged.at(random() % damaged.size()) = static_cast<char>(random());
        try {
            decodeFrameBody(damaged);
        } catch (const error &) {
            continue;
        }
    }
}
