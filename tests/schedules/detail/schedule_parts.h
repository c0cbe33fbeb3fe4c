#pragma once

#include "cell_schedule.h"

/// What the network fake and the faults and checks share.
namespace primrosecroft::schedules::detail
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline const failure_domain_id home = "a";

bool chance(cell_schedule &cell, double probability);
milliseconds between(cell_schedule &cell, milliseconds low, milliseconds high);
int upTo(cell_schedule &cell, int count);
void after(cell_schedule &cell, milliseconds delay, std::function<void()> event);
void note(cell_schedule &cell, const std::string &text);
void violate(cell_schedule &cell, const std::string &text);
instant clockOf(const cell_schedule &cell, const worker_node &worker);
row_read readNow(const cell_schedule &cell, const demand_key &key, std::uint64_t takeover);
void deliver(cell_schedule &cell, int index, int incarnation, const scheduler_message &message);

/// Tells every placing scheduler that a demand's row changed.
void notify(cell_schedule &cell, const demand_key &key);
void tick(cell_schedule &cell, int index);
void configure(cell_schedule &cell, int index, const worker_id &without);
worker_id anyWorker(cell_schedule &cell);

// schedule_faults.cpp

void injectFaults(cell_schedule &cell);
void callNow(cell_schedule &cell);
void check(cell_schedule &cell);

} // namespace primrosecroft::schedules::detail
