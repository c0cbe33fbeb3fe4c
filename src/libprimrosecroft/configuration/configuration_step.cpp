#include "configuration/configuration_step.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

/// The version in force here; 0 if none is.
std::int64_t versionOf(const configuration_state &state)
{
    return state.current ? state.current->version : 0;
}

configuration_action fetchIfDue(configuration_state &state, instant now)
{
    if (!state.wanted || state.isFetching || now < state.fetchAt) {
        return no_action {};
    }
    state.isFetching = true;
    return fetch_body {*state.wanted};
}

struct visitor
{
    configuration_state &state;
    instant now;

    configuration_action operator()(const table_read &read) const
    {
        if (!read.row) {
            return no_action {};
        }
        state.hasReadTable = true;
        const auto known = std::max(versionOf(state), state.refusedVersion);
        if (!*read.row || (*read.row)->version <= known) {
            return no_action {};
        }
        if (!state.wanted || state.wanted->version < (*read.row)->version) {
            state.wanted = *read.row;
            state.fetchAt = state.fetchesFirst || !state.current ? now : now + fetchDelay;
        }
        return fetchIfDue(state, now);
    }

    configuration_action operator()(const body_received &received) const
    {
        if (!supersedes(received.body, state.current)) {
            return no_action {};
        }
        state.current = received.body;
        if (state.wanted && state.wanted->version <= received.body.version) {
            state.wanted.reset();
        }
        return apply_version {};
    }

    configuration_action operator()(const fetch_ended & /*each*/) const
    {
        state.isFetching = false;
        state.fetchAt = now + fetchDelay;
        return no_action {};
    }

    configuration_action operator()(const peer_version_reported &reported) const
    {
        state.highestPeerVersion = std::max(state.highestPeerVersion, reported.version);
        if (!state.firstPeerReportAt) {
            state.firstPeerReportAt = now;
        }
        return no_action {};
    }

    configuration_action operator()(const version_refused &each) const
    {
        state.refusedVersion = std::max(state.refusedVersion, each.version);
        if (state.wanted && state.wanted->version <= state.refusedVersion) {
            state.wanted.reset();
        }
        return no_action {};
    }

    configuration_action operator()(const configuration_ticked & /*each*/) const
    {
        return fetchIfDue(state, now);
    }
};

} // namespace

configuration_action step(configuration_state &state, const configuration_message &message, instant now)
{
    return std::visit(visitor {state, now}, message);
}

bool knowsConfiguration(const configuration_state &state, instant now)
{
    if (state.hasReadTable) {
        return !state.wanted || state.current.has_value();
    }
    return state.current && state.firstPeerReportAt && now >= *state.firstPeerReportAt + peerDiscoveryPeriod
        && state.current->version >= state.highestPeerVersion;
}

} // namespace primrosecroft
