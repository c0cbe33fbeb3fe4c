#include "configuration_link.h"

#include "core/clock.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

/// A new owner has heard of the other daemons after this time. Those keep the source that the owner before it named.
constexpr auto discoveryTime = 1s;

constexpr std::chrono::milliseconds maxTime = 1h; ///< of another process's statement; longer ones are taken for it

std::optional<std::chrono::milliseconds> decodeTime(bool isSet, std::int64_t amountMs)
{
    return isSet ? std::optional(std::chrono::milliseconds(std::clamp(amountMs, -maxTime.count(), maxTime.count())))
                 : std::nullopt;
}

configuration_candidate decodeCandidate(const wire::Presence &presence, instant now)
{
    configuration_candidate result;
    result.address = {presence.address, static_cast<std::uint16_t>(presence.port)};
    result.region = presence.region;
    result.lastContactAt = now;
    result.storeRoundTrip = decodeTime(presence.__isset.storeDistanceMs, presence.storeDistanceMs);
    result.configurationAge = decodeTime(presence.__isset.configurationAgeMs, presence.configurationAgeMs);
    result.lateness = decodeTime(presence.__isset.lateMs, presence.lateMs);
    result.isLeaving = presence.leaving;
    if (presence.__isset.linkMbps) {
        result.linkMbps = presence.linkMbps;
    }
    return result;
}

wire::Message encodeNews(configuration_news news)
{
    wire::Message message;
    auto &result = message.configurationNews;
    result.rowVersion = news.rowVersion;
    result.checkedVersion = news.checkedVersion;
    if (news.confirmedAge) {
        result.__set_confirmedAgeMs(news.confirmedAge->count());
    }
    if (news.value) {
        result.__isset.value = true;
        result.value = *std::move(news.value);
    }
    if (news.isTooLarge) {
        result.__set_tooLarge(true);
    }
    message.__isset.configurationNews = true;
    return message;
}

std::optional<configuration_news> decodeNews(const std::optional<wire::Message> &reply)
{
    if (!reply || !reply->__isset.configurationNews) {
        return std::nullopt;
    }
    const auto &news = reply->configurationNews;
    configuration_news result;
    result.rowVersion = news.rowVersion;
    result.checkedVersion = news.checkedVersion;
    result.confirmedAge = decodeTime(news.__isset.confirmedAgeMs, news.confirmedAgeMs);
    if (news.__isset.value) {
        result.value = news.value;
    }
    result.isTooLarge = news.__isset.tooLarge && news.tooLarge;
    return result;
}

} // namespace

configuration_link::configuration_link(peer_hub &peers, queue_follower &queues, peer_address self)
    : m_peers(peers)
    , m_queues(queues)
    , m_self(std::move(self))
{
}

void configuration_link::notePresence(const wire::Message &message)
{
    m_candidates[message.sender.process] = decodeCandidate(message.presence, bootNow());
}

void configuration_link::addSource(wire::OwnerReport &report, const process_id &process, instant ownsSince)
{
    const auto now = bootNow();
    if (ownsSince + discoveryTime > now) {
        return;
    }
    m_sources = chooseConfigurationSources(m_candidates, m_sources, now);
    const auto &candidate = m_candidates.at(process);
    const auto source = m_sources.find(candidate.region);
    if (!isFarFromStore(candidate) || source == m_sources.end()) {
        return;
    }
    const auto &address = m_candidates.at(source->second).address;
    report.__set_configurationAddress(address.address);
    report.__set_configurationPort(address.port);
}

void configuration_link::addWord(wire::OwnerReport &report, instant askedAt) const
{
    if (const auto word = m_queues.ownWord(askedAt)) {
        report.__set_configurationRow(word->rowVersion);
        report.__set_configurationAgeMs(word->confirmedAge.count());
    }
}

void configuration_link::addAge(wire::Presence &presence) const
{
    if (m_queues.confirmedAt() != instant {}) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(bootNow() - m_queues.confirmedAt());
        presence.__set_configurationAgeMs(age.count());
    }
}

void configuration_link::handleReport(const wire::OwnerReport &report, const peer_address &owner, instant sentAt)
{
    if (report.__isset.configurationRow && report.__isset.configurationAgeMs) {
        const auto age = *decodeTime(true, report.configurationAgeMs);
        m_queues.tellWord({owner, sentAt, report.configurationRow, age});
    }
    if (!report.__isset.configurationAddress || !report.__isset.configurationPort) {
        return;
    }
    const peer_address source {report.configurationAddress, static_cast<std::uint16_t>(report.configurationPort)};
    m_queues.tellSource(source == m_self ? std::nullopt : std::optional(source), sentAt);
}

void configuration_link::ask(const ask_source &question, std::function<void(std::optional<configuration_news>)> done)
{
    wire::Message message;
    message.configurationPoll.rowVersion = question.rowVersion;
    message.configurationPoll.waitMs = question.wait.count();
    message.__isset.configurationPoll = true;
    m_peers.ask(question.source, message, question.timeout,
                [done = std::move(done)](const std::optional<wire::Message> &reply) { done(decodeNews(reply)); });
}

void configuration_link::handlePoll(const wire::ConfigurationPoll &poll,
                                    const std::function<void(wire::Message)> &reply)
{
    m_queues.answer(poll.rowVersion, std::chrono::milliseconds(poll.waitMs),
                    [reply](configuration_news news) { reply(encodeNews(std::move(news))); });
}

} // namespace primrosecroft
