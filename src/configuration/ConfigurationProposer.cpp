#include "ConfigurationProposer.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maximumQueuedProposals = 16;
    constexpr std::size_t maximumRecentChanges = 64;
    constexpr std::size_t longestChangeId = 128;
    // An operator waits for the result. After this time, the outcome is reported as unavailable or unknown.
    constexpr Duration proposalDeadline = 10s;
    constexpr Duration callTimeout = 2s;
    constexpr Duration lostReplyMargin = 1s;
    // A read that returns an older version than expected may be stale, so it is repeated up to this number of reads.
    constexpr unsigned olderReadsAccepted = 3;

} // namespace

ConfigurationProposer::ConfigurationProposer(RandomGenerator& random, StoreCallIds& ids)
    : m_random(random)
    , m_ids(ids)
    , m_backoff(100ms, 2s)
{
}

void ConfigurationProposer::add(std::uint64_t ticket, ConfigurationVersion expectedVersion,
    const FleetConfiguration& document, const std::string& changeId, bool isInternal, MonotonicTime now)
{
    Proposal proposal { ticket, expectedVersion, document, changeId, isInternal, now + proposalDeadline, {} };
    if (m_queue.size() >= maximumQueuedProposals)
        return finish(
            proposal, { ErrorKind::LimitReached, "too many changes are pending on this host; retry in a minute" });
    if (changeId.empty() || changeId.size() > longestChangeId)
        return finish(proposal,
            { ErrorKind::InvalidRequest,
                "the change identifier must have 1 to " + std::to_string(longestChangeId) + " characters; found "
                    + std::to_string(changeId.size()) });
    const auto checked = parseFleetConfiguration(fleetConfigurationToJson(document));
    if (isError(checked))
        return finish(proposal, errorOf(checked));
    auto parts = splitConfiguration(document);
    if (isError(parts))
        return finish(proposal, errorOf(parts));
    proposal.parts = takeValue(std::move(parts));
    m_queue.push_back(std::move(proposal));
    if (m_queue.size() == 1)
        begin();
}

void ConfigurationProposer::begin()
{
    m_stage = Stage::ReadHead;
    m_call.reset();
    m_retryAt = {};
    m_backoff.reset();
    m_outdatedUpTo = 0;
    m_comparisonFailed = false;
    m_olderReads = 0;
    m_outcomeOpen = false;
}

void ConfigurationProposer::tick(MonotonicTime now, const ConfigurationHead& accepted, EffectList& effects)
{
    if (m_queue.empty())
        return;
    if (m_call && now >= m_lostAt)
        handle({ .id = *m_call, .status = StoreStatus::Unknown }, now, accepted);
    if (!m_queue.empty() && now >= m_queue.front().deadline) {
        if (m_outcomeOpen)
            refuse(ErrorKind::Timeout,
                "the store did not confirm the change; repeat it with the same change identifier to learn its outcome");
        else
            refuse(
                ErrorKind::Unavailable, "the store cannot be reached and nothing was changed; repeat the change later");
    }
    if (!m_queue.empty() && !m_call && now >= m_retryAt)
        startCall(now, effects);
}

void ConfigurationProposer::startCall(MonotonicTime now, EffectList& effects)
{
    m_call = m_ids.next();
    m_lostAt = now + callTimeout + lostReplyMargin;
    StoreOperation operation = StoreGet { std::string(configurationHeadKey) };
    if (m_stage == Stage::WriteParts) {
        const std::string& hash = m_partsToWrite.back();
        operation = StoreCompareAndSwap { std::string(configurationPartPrefix) + hash, m_queue.front().parts.at(hash) };
    } else if (m_stage == Stage::WriteHead) {
        operation
            = StoreCompareAndSwap { std::string(configurationHeadKey), headToJson(m_nextHead), m_headStoreVersion };
        m_outcomeOpen = true;
    }
    effects.push_back(StoreCall { *m_call, std::move(operation), callTimeout });
}

bool ConfigurationProposer::handle(const StoreReply& reply, MonotonicTime now, const ConfigurationHead& accepted)
{
    if (!m_call || reply.id != *m_call)
        return false;
    m_call.reset();
    m_retryAt = now;
    switch (m_stage) {
    case Stage::ReadHead:
        handleHead(reply, now, accepted);
        break;
    case Stage::WriteParts:
        handlePart(reply, now);
        break;
    case Stage::WriteHead:
        handleWrite(reply, now);
        break;
    }
    return true;
}

void ConfigurationProposer::handleHead(const StoreReply& reply, MonotonicTime now, const ConfigurationHead& accepted)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return retry(now);
    m_head = {};
    m_headStoreVersion = 0;
    if (reply.status == StoreStatus::Ok) {
        auto parsed = parseHead(reply.value);
        if (isError(parsed))
            return refuse(ErrorKind::Internal, errorOf(parsed).message);
        m_head = takeValue(std::move(parsed));
        m_headStoreVersion = reply.version;
    }
    if (m_comparisonFailed && m_headStoreVersion <= m_outdatedUpTo)
        return retry(now);
    judgeHead(accepted, now);
}

// Accepts the first proposal in the queue if the head lists its change, which means that an earlier attempt wrote it.
bool ConfigurationProposer::acceptIfListed(const ConfigurationHead& head)
{
    for (const auto& change : head.recentChanges) {
        if (change.changeId != m_queue.front().changeId)
            continue;
        ConfigurationHead acceptedHead = head;
        acceptedHead.version = change.version;
        // A later change replaced the parts. The watcher reads the new ones.
        if (change.version != head.version)
            acceptedHead.parts.clear();
        accept(std::move(acceptedHead));
        return true;
    }
    return false;
}

// Decides by the head that was read how the first proposal in the queue continues.
void ConfigurationProposer::judgeHead(const ConfigurationHead& accepted, MonotonicTime now)
{
    if (acceptIfListed(m_head) || acceptIfListed(accepted))
        return;
    const Proposal& proposal = m_queue.front();
    const bool isOlder = m_head.version < std::max(accepted.version, proposal.expectedVersion);
    // While an earlier write may still take effect, an old version does not show that it failed.
    if (isOlder && (m_outcomeOpen || ++m_olderReads < olderReadsAccepted))
        return retry(now);
    // A store that was restored from a backup holds an older version than the hosts. Its head may be replaced by a
    // proposal that expects the hosts' version. If the read was merely stale, the compare-and-swap fails.
    const ConfigurationVersion current = std::max(accepted.version, m_head.version);
    if (proposal.expectedVersion != current)
        return refuse(ErrorKind::Conflict,
            "the change expects version " + std::to_string(proposal.expectedVersion) + ", but the current version is "
                + std::to_string(current) + "; read it, make the change again and name that version");
    prepareWrite(current);
}

void ConfigurationProposer::prepareWrite(ConfigurationVersion current)
{
    const Proposal& proposal = m_queue.front();
    m_nextHead = ConfigurationHead { current + 1, {}, m_head.recentChanges };
    m_nextHead.recentChanges.push_back({ proposal.changeId, current + 1 });
    if (m_nextHead.recentChanges.size() > maximumRecentChanges)
        m_nextHead.recentChanges.erase(m_nextHead.recentChanges.begin());
    m_partsToWrite.clear();
    for (const auto& [hash, text] : proposal.parts) {
        m_nextHead.parts.push_back(hash);
        if (std::find(m_head.parts.begin(), m_head.parts.end(), hash) == m_head.parts.end())
            m_partsToWrite.push_back(hash);
    }
    m_stage = m_partsToWrite.empty() ? Stage::WriteHead : Stage::WriteParts;
}

void ConfigurationProposer::handlePart(const StoreReply& reply, MonotonicTime now)
{
    // A conflict means that the part exists already. Its key, a hash, determines its content.
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict)
        return retry(now);
    m_partsToWrite.pop_back();
    if (m_partsToWrite.empty())
        m_stage = Stage::WriteHead;
}

void ConfigurationProposer::handleWrite(const StoreReply& reply, MonotonicTime now)
{
    if (reply.status == StoreStatus::Ok)
        return accept(m_nextHead);
    m_stage = Stage::ReadHead;
    if (reply.status == StoreStatus::Conflict) {
        m_comparisonFailed = true;
        m_outdatedUpTo = m_headStoreVersion;
        return;
    }
    retry(now);
}

void ConfigurationProposer::retry(MonotonicTime now) { m_retryAt = now + m_backoff.next(m_random); }

void ConfigurationProposer::accept(ConfigurationHead head)
{
    const ConfigurationVersion version = head.version;
    finishFront({ m_queue.front().ticket, version }, std::move(head));
}

void ConfigurationProposer::refuse(ErrorKind kind, const std::string& message)
{
    finishFront({ m_queue.front().ticket, Error { kind, message } }, {});
}

void ConfigurationProposer::finishFront(ProposalResult result, ConfigurationHead head)
{
    Proposal& proposal = m_queue.front();
    m_finished.push_back({ std::move(result), proposal.changeId, proposal.isInternal, std::move(head),
        std::move(proposal.document), std::move(proposal.parts) });
    m_queue.pop_front();
    begin();
}

void ConfigurationProposer::finish(const Proposal& proposal, Error error)
{
    m_finished.push_back({ { proposal.ticket, std::move(error) }, proposal.changeId, proposal.isInternal, {}, {}, {} });
}

std::vector<FinishedProposal> ConfigurationProposer::takeFinished() { return std::exchange(m_finished, {}); }

} // namespace Catkinwell
