#pragma once

#include "cell/cell_messages.h"

namespace primrosecroft
{

namespace wire
{
class ListOrder;
class ListResult;
class OrderTarget;
class StartOrder;
class StopOrder;
} // namespace wire

/// Conversion of orders and their results from and to the messages that the owner and its relays exchange. The decoding
/// functions throw error if a value is out of range.
namespace order_frames
{

/// Doesn't set the payload.
wire::StartOrder encode(std::int64_t number, const send_start &order);
wire::StopOrder encode(std::int64_t number, const send_stop &order);
wire::ListOrder encode(std::int64_t number, const send_list &order);

/// Doesn't set the payload.
send_start decode(const wire::StartOrder &order);
send_stop decode(const wire::StopOrder &order);
send_list decode(const wire::ListOrder &order);

wire::ListResult encode(std::int64_t number, const list_answered &answer);

/// Doesn't set the worker and the time of the request.
list_answered decode(const wire::ListResult &result);

order_result decodeResult(std::int32_t result);

} // namespace order_frames

} // namespace primrosecroft
