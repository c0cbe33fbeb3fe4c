#include "advice_report.h"

#include <string>

namespace primrosecroft
{

namespace
{

std::string toText(advice_call_kind kind)
{
    switch (kind) {
    case advice_call_kind::first:
        return "first";
    case advice_call_kind::hedge:
        return "hedge";
    case advice_call_kind::trial:
        return "trial";
    }
    return "unknown";
}

} // namespace

void reportAdviceCall(const advice_call_report &report, decision_log &log, metrics &measures)
{
    const std::string outcome = report.isAnswered ? "answered" : "unanswered";
    measures.count("primrosecroft_advice_calls", "outcome", toText(report.kind) + '-' + outcome);
    if (report.isAnswered && !report.isHedged) {
        return;
    }
    log.write(
        "advice", "route-late",
        {{"route", report.route},
         {"call", toText(report.kind)},
         {"outcome", outcome},
         {"hedged", report.isHedged ? "1" : "0"},
         {"ms", std::to_string(report.took.count())},
         {"step",
          report.step.job + '.' + std::to_string(report.step.occurrence) + '.' + std::to_string(report.step.step)}});
}

} // namespace primrosecroft
