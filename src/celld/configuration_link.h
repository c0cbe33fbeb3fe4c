#pragma once

#include "io/peer_hub.h"
#include "queues/configuration_source.h"
#include "queues/queue_follower.h"

#include <functional>
#include <optional>

namespace primrosecroft
{

namespace wire
{
class ConfigurationPoll;
class OwnerReport;
class Presence;
} // namespace wire

/**
 * Carries the messages by which the daemons follow the configuration together. Those of a region far from the store
 * share one transfer of it: the owner chooses the daemon that reads it, and the others ask that one. And the owner
 * tells each daemon which row of a configuration with workspaces it has, so that the daemon is confirmed, or asks for
 * it, also while the store turns it away.
 */
class configuration_link
{
public:
    configuration_link(peer_hub &peers, queue_follower &queues, peer_address self);

    // --- the owner

    /// Takes note of a presence message.
    void notePresence(const wire::Message &message);

    /// Adds to the answer to a presence message where @p process is to ask for the configuration. @p ownsSince is when
    /// this process became the owner.
    void addSource(wire::OwnerReport &report, const process_id &process, instant ownsSince);

    /// Adds to the answer to a presence message that arrived at @p askedAt which row this process has.
    void addWord(wire::OwnerReport &report, instant askedAt) const;

    // --- other daemons

    /// Adds the age of this process's configuration to its presence message.
    void addAge(wire::Presence &presence) const;

    /// Takes note of the answer of the owner at @p owner to a presence message that was sent at @p sentAt.
    void handleReport(const wire::OwnerReport &report, const peer_address &owner, instant sentAt);

    void ask(const ask_source &question, std::function<void(std::optional<configuration_news>)> done);
    void handlePoll(const wire::ConfigurationPoll &poll, const std::function<void(wire::Message)> &reply);

private:
    peer_hub &m_peers;
    queue_follower &m_queues;
    peer_address m_self;
    configuration_candidates m_candidates;
    configuration_sources m_sources;
};

} // namespace primrosecroft
