#include "protocol/frame.h"

#include "core/error.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace primrosecroft
{

namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr unsigned byteBits = 8;
constexpr std::int32_t maxElements = 100'000; ///< of one container in a message

} // namespace

std::string encodeFrame(const wire::Message &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    const auto body = buffer->getBufferAsString();
    if (body.size() > maxFrameBytes) {
        throw error("encode frame", "", "the message is longer than " + std::to_string(maxFrameBytes) + " bytes");
    }
    std::string frame;
    frame.reserve(frameHeaderSize + body.size());
    for (unsigned shift = byteBits * frameHeaderSize; shift > 0;) {
        shift -= byteBits;
        frame.push_back(static_cast<char>((body.size() >> shift) & 0xffU));
    }
    return frame + body;
}

const char *kindOf(const wire::Message &message)
{
    const auto &set = message.__isset;
    const std::initializer_list<std::pair<bool, const char *>> kinds {
        {set.heartbeat, "heartbeat"},
        {set.configurationRequest, "configuration_request"},
        {set.configurationBody, "configuration_body"},
        {set.leavingNotice, "leaving_notice"},
        {set.jobNotice, "job_notice"},
        {set.jobSubmission, "job_submission"},
        {set.jobQuery, "job_query"},
        {set.jobReport, "job_report"},
        {set.adviceQuery, "advice_query"},
        {set.adviceReport, "advice_report"},
        {set.presence, "presence"},
        {set.ownerReport, "owner_report"},
        {set.ownerNotice, "owner_notice"},
        {set.handover, "handover"},
        {set.orderBatch, "order_batch"},
        {set.orderResults, "order_results"},
        {set.configurationPoll, "configuration_poll"},
        {set.configurationNews, "configuration_news"},
    };
    const auto *found = std::ranges::find_if(kinds, &std::pair<bool, const char *>::first);
    return found == kinds.end() ? "other" : found->second;
}

std::size_t frameBodySize(std::string_view header)
{
    std::size_t size = 0;
    for (const auto byte : header.substr(0, frameHeaderSize)) {
        size = (size << byteBits) | static_cast<unsigned char>(byte);
    }
    if (size == 0 || size > maxFrameBytes) {
        throw error("decode frame", "", "the body length " + std::to_string(size) + " is out of range");
    }
    return size;
}

wire::Message decodeFrameBody(std::string_view body)
{
    std::string copy(body);
    const auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(copy.data()),
                                                        static_cast<std::uint32_t>(copy.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<std::int32_t>(maxFrameBytes), maxElements);
    wire::Message message;
    try {
        message.read(&protocol);
    } catch (const apache::thrift::TException &fault) {
        throw error("decode frame", "", fault.what());
    }
    if (buffer->available_read() != 0) {
        throw error("decode frame", "", "there are bytes after the message");
    }
    return message;
}

} // namespace primrosecroft
