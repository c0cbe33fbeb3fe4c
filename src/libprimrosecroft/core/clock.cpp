#include "core/clock.h"

#include <ctime>

namespace primrosecroft
{

namespace
{

std::chrono::nanoseconds read(clockid_t clock)
{
    timespec value {};
    clock_gettime(clock, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

} // namespace

instant bootNow()
{
    return instant(read(CLOCK_BOOTTIME));
}

std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(read(CLOCK_REALTIME));
}

} // namespace primrosecroft
