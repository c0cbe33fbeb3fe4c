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
 * Carries the messages by which the daemons of a region far from the store share one transfer of the configuration: the
 * owner's choice of the daemon that reads it, and the questions of the others to that daemon.
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

    // --- other daemons

    /// Adds the age of this process's configuration to its presence message.
    void addAge(wire::Presence &presence) const;

    /// Takes note of the owner's answer to a presence message that was sent at @p sentAt.
    void handleReport(const wire::OwnerReport &report, instant sentAt);

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
