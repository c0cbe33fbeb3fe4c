#include "leadership/leadership.h"

#include "core/error.h"
#include "core/overloaded.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr int distanceFactor = 3; ///< the farther from the store, the later a process offers itself
constexpr std::size_t spreadSteps = 40; ///< milliseconds over which equals spread their take-overs
constexpr auto longestDelay = 250ms;

bool isOwn(const leadership_state &state, const owner_row &row)
{
    return row.process == state.settings.process && row.incarnation == state.settings.incarnation;
}

std::chrono::milliseconds takeDelay(const leadership_state &state)
{
    const auto spread = std::hash<std::string> {}(state.settings.process) % spreadSteps;
    return std::min<std::chrono::milliseconds>(longestDelay, distanceFactor * state.storeDistance)
        + std::chrono::milliseconds(spread);
}

void look(leadership_state &state, std::vector<leadership_action> &actions)
{
    if (!state.looking) {
        state.looking = true;
        actions.emplace_back(look_at_owner {});
    }
}

void take(leadership_state &state, std::vector<leadership_action> &actions)
{
    if (state.taking || state.owns || state.leaving) {
        return;
    }
    state.taking = true;
    state.takeAt.reset();
    owner_row row;
    row.process = state.settings.process;
    row.incarnation = state.settings.incarnation;
    row.address = state.settings.address;
    row.term = state.owner ? state.owner->term + 1 : 0;
    actions.emplace_back(take_ownership {state.version, row});
}

void begin(leadership_state &state, const owner_row &row, row_version version, std::vector<leadership_action> &actions)
{
    state.owns = true;
    state.takeAt.reset();
    state.owner = row;
    state.version = version;
    actions.emplace_back(begin_ownership {version, row.term});
}

void lose(leadership_state &state, const std::string &reason, std::vector<leadership_action> &actions)
{
    if (state.owns) {
        state.owns = false;
        actions.emplace_back(end_ownership {reason});
    }
}

/// A later row than the known one: its owner is given time to be heard.
void adopt(leadership_state &state, const owner_row &row, row_version version, instant now,
           std::vector<leadership_action> &actions)
{
    if (version <= state.version) {
        return;
    }
    lose(state, "another process has taken over", actions);
    state.owner = row;
    state.version = version;
    state.refused = false;
    state.handedOver = false;
    state.isWatching = false;
    state.takeAt.reset();
    state.heardAt = now;
    if (isOwn(state, row) && !row.resigned && !state.leaving) {
        begin(state, row, version, actions);
        return;
    }
    actions.emplace_back(report_owner {row, version});
}

void takeLook(leadership_state &state, const owner_seen &seen, instant now, std::vector<leadership_action> &actions)
{
    state.looking = false;
    if (seen.outcome != store_outcome::done) {
        state.nextLook = now + state.settings.retryInterval;
        state.renewalSince = now; // nothing was seen meanwhile
        return;
    }
    state.storeDistance = state.storeDistance.count() == 0 ? seen.took : std::min(state.storeDistance * 2, seen.took);
    state.hasLooked = true;
    state.nextLook = now + (state.isWatching ? state.settings.watchInterval : state.settings.lookInterval);
    if (!seen.row) {
        if (!state.owner && !state.takeAt) {
            state.takeAt = now + takeDelay(state);
        }
        return;
    }
    adopt(state, *seen.row, seen.version, now, actions);
    if (seen.renewal != state.renewal) {
        state.renewal = seen.renewal;
        state.renewalSince = now;
    }
}

bool isGone(const leadership_state &state, instant now)
{
    return state.isWatching && now >= state.renewalSince + state.settings.stillness;
}

void tick(leadership_state &state, instant now, std::vector<leadership_action> &actions)
{
    if (state.owns) {
        return; // one that leaves goes on: it passes requests to the next owner
    }
    if (state.hasLooked && state.owner) {
        const bool isSilent = now >= state.heardAt + state.settings.silence;
        if (isSilent && !state.isWatching) {
            state.isWatching = true;
            state.renewalSince = now;
            state.nextLook = now;
        } else if (!isSilent) {
            state.isWatching = false;
        }
        // A process that finds its own name has ended and come back: nobody knows better that the owner is gone.
        const bool isFormerSelf = state.owner->process == state.settings.process && !isOwn(state, *state.owner);
        if (isFormerSelf || state.handedOver) {
            take(state, actions);
        } else if ((state.refused || state.owner->resigned || isGone(state, now)) && !state.takeAt) {
            state.takeAt = now + takeDelay(state);
        } else if (state.takeAt && !state.refused && !state.owner->resigned && !isGone(state, now)) {
            state.takeAt.reset(); // it has been heard again
        }
    }
    if (state.takeAt && now >= *state.takeAt) {
        take(state, actions);
    }
    if (now >= state.nextLook && !state.taking) {
        look(state, actions);
    }
}

} // namespace

row_place ownerPlace()
{
    return {cellTable, shardPart, "owner"};
}

row_place renewalPlace()
{
    return {cellTable, shardPart, "renewal"};
}

std::string encodeOwner(const owner_row &row)
{
    std::string result;
    json::to_cbor(
        json::array({row.process, row.incarnation, row.address.address, row.address.port, row.term, row.resigned}),
        result);
    return result;
}

owner_row decodeOwner(const std::string &row)
{
    try {
        const auto parsed = json::from_cbor(row);
        owner_row result;
        result.process = parsed.at(0).get<std::string>();
        result.incarnation = parsed.at(1).get<std::int64_t>();
        result.address = {parsed.at(2).get<std::string>(), parsed.at(3).get<std::uint16_t>()};
        result.term = parsed.at(4).get<std::int64_t>();
        result.resigned = parsed.at(5).get<bool>();
        return result;
    } catch (const json::exception &fault) {
        throw error("decode owner row", "", fault.what());
    }
}

leadership_state makeLeadership(const leadership_settings &settings, instant now)
{
    leadership_state state;
    state.settings = settings;
    state.heardAt = now;
    state.nextLook = now;
    return state;
}

std::vector<leadership_action> step(leadership_state &state, const leadership_message &message, instant now)
{
    std::vector<leadership_action> actions;
    std::visit(overloaded {
                   [&](const owner_seen &seen) { takeLook(state, seen, now, actions); },
                   [&](const owner_heard &heard) {
                       if (state.owner && heard.process == state.owner->process && heard.token == state.version) {
                           state.heardAt = now;
                           state.refused = false;
                       }
                   },
                   [&](const owner_refuses &) { state.refused = !state.owns; },
                   [&](const owner_told &told) { adopt(state, told.row, told.version, now, actions); },
                   [&](const handover_asked &asked) { state.handedOver = asked.token == state.version; },
                   [&](const take_answered &answer) {
                       state.taking = false;
                       state.handedOver = false;
                       if (answer.outcome == store_outcome::done) {
                           owner_row row;
                           row.process = state.settings.process;
                           row.incarnation = state.settings.incarnation;
                           row.address = state.settings.address;
                           row.term = state.owner ? state.owner->term + 1 : 0;
                           if (answer.version > state.version) {
                               begin(state, row, answer.version, actions);
                           }
                           return;
                       }
                       state.takeAt.reset();
                       state.nextLook = now;
                   },
                   [&](const ownership_lost &) {
                       lose(state, "a condition on the ownership row failed", actions);
                       state.nextLook = now;
                       state.heardAt = now;
                   },
                   [&](const leave_asked &) { state.leaving = true; },
                   [&](const resign_asked &) {
                       if (state.owns) {
                           auto row = *state.owner;
                           row.resigned = true;
                           lose(state, "it resigns", actions);
                           actions.emplace_back(write_resignation {state.version, row});
                       }
                       state.leaving = true;
                   },
                   [&](const leadership_tick &) {},
               },
               message);
    tick(state, now, actions);
    return actions;
}

} // namespace primrosecroft
