#pragma once

#include "advice_dispatcher.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"

namespace primrosecroft
{

/// Counts a call for advice by kind and outcome, and logs it if it got no answer or its ask was hedged.
void reportAdviceCall(const advice_call_report &report, decision_log &log, metrics &measures);

} // namespace primrosecroft
