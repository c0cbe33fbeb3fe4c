#include "fuzz_inputs.h"

#include "configuration/sheet.h"
#include "core/error.h"
#include "primrosecroft_types.h"
#include "protocol/frame.h"
#include "settings/checked_node.h"
#include "settings/entry_daemon_settings.h"

namespace primrosecroft
{

namespace
{

std::string validFrame()
{
    wire::Message message;
    message.id = 7;
    message.sender.process = "grangemouth-e1-entryd";
    message.sender.role = "entryd";
    message.sender.failureDomain = "grangemouth";
    message.sender.incarnation = 1;
    wire::TaskReport report;
    report.index = 1;
    report.state = "running";
    message.jobReport.known = true;
    message.jobReport.__set_tasks({report, report});
    message.__isset.jobReport = true;
    return encodeFrame(message);
}

void readInput(std::size_t target, const std::string &input)
{
    switch (target) {
    case 0:
        readSheet(input, "sheet");
        break;
    case 1:
        readEntryDaemonSettings(input, "settings");
        break;
    case 2:
        readDemand(checked_node::parseJson(input, "request"));
        break;
    default:
        if (input.size() < frameHeaderSize) {
            throw error("read frame", "", "no header");
        }
        frameBodySize(std::string_view(input).substr(0, frameHeaderSize));
        decodeFrameBody(std::string_view(input).substr(frameHeaderSize));
        break;
    }
}

} // namespace

std::string validInput(std::size_t target)
{
    switch (target) {
    case 0:
        return "sheet: s\npolicy: {packingWeight: 1.0}\nfailureDomains:\n  a: {region: r}\nworkers:\n"
               "  w1: {failureDomain: a, rack: r1, address: 127.0.0.1, port: 1, cores: 32, memory: 64GiB}\n"
               "demands:\n  d: {kind: batch, team: t, tasks: 2, cores: 0.5, memory: 1GiB, runTime: 3s}\n";
    case 1:
        return "process: p\nfailureDomain: a\nregion: r\nlisten: {address: 127.0.0.1, http: 1, peers: 2}\n"
               "platform: {address: 127.0.0.1, port: 3, timeout: 2s}\nintervals: {heartbeat: 1s, vmList: 2s}\n"
               "administration: {open: true}\n";
    case 2:
        return R"({"kind":"gang","team":"t","tasks":3,"cores":1.5,"memory":"2GiB","runTime":"4s","repeatable":false})";
    default:
        return validFrame();
    }
}

bool acceptsInput(std::size_t target, const std::string &input)
{
    try {
        readInput(target, input);
        return true;
    } catch (const error &) {
        return false;
    }
}

} // namespace primrosecroft
