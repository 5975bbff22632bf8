#pragma once

#include "ConfigurationParts.h"

#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/store/StoreCallIds.h>
#include <deque>

namespace Catkinwell {

// A finished proposal. If it was accepted, head is the head that lists its change, without parts if a later change
// replaced them.
struct FinishedProposal {
    ProposalResult result;
    std::string changeId;
    bool isInternal = false;
    ConfigurationHead head;
    FleetConfiguration document;
    std::map<std::string, std::string> parts;
};

// Writes proposed configurations to the store, one at a time and one call at a time: read the head, write the parts
// that it does not list, replace the head by compare-and-swap. An unknown outcome is resolved by reading the head again
// and looking for the change's identifier. Not thread safe.
class ConfigurationProposer {
public:
    // The references must stay valid.
    ConfigurationProposer(RandomGenerator& random, StoreCallIds& ids);

    // Queues a proposal. It fails at once if the document or the change identifier is invalid or the queue is full.
    void add(std::uint64_t ticket, ConfigurationVersion expectedVersion, const FleetConfiguration& document,
        const std::string& changeId, bool isInternal, MonotonicTime now);
    // The accepted head is the one in force on this host; its version is 0 before the first.
    void tick(MonotonicTime now, const ConfigurationHead& accepted, EffectList& effects);
    // Returns whether the reply answered one of the proposer's calls.
    bool handle(const StoreReply& reply, MonotonicTime now, const ConfigurationHead& accepted);
    std::vector<FinishedProposal> takeFinished();
    bool isIdle() const { return m_queue.empty(); }

private:
    enum class Stage {
        ReadHead,
        WriteParts,
        WriteHead,
    };
    struct Proposal {
        std::uint64_t ticket = 0;
        ConfigurationVersion expectedVersion = 0;
        FleetConfiguration document;
        std::string changeId;
        bool isInternal = false;
        MonotonicTime deadline;
        std::map<std::string, std::string> parts;
    };

    void startCall(MonotonicTime now, EffectList& effects);
    void handleHead(const StoreReply& reply, MonotonicTime now, const ConfigurationHead& accepted);
    void judgeHead(const ConfigurationHead& accepted, MonotonicTime now);
    bool acceptIfListed(const ConfigurationHead& head);
    void prepareWrite(ConfigurationVersion current);
    void handlePart(const StoreReply& reply, MonotonicTime now);
    void handleWrite(const StoreReply& reply, MonotonicTime now);
    void retry(MonotonicTime now);
    void begin();
    void accept(ConfigurationHead head);
    void refuse(ErrorKind kind, const std::string& message);
    void finishFront(ProposalResult result, ConfigurationHead head);
    void finish(const Proposal& proposal, Error error);

    RandomGenerator& m_random;
    StoreCallIds& m_ids;
    std::deque<Proposal> m_queue;
    std::vector<FinishedProposal> m_finished;

    // The state of the first proposal in the queue.
    Stage m_stage = Stage::ReadHead;
    std::optional<StoreCallId> m_call;
    MonotonicTime m_lostAt {};
    MonotonicTime m_retryAt {};
    RetryBackoff m_backoff;
    ConfigurationHead m_head;
    ConfigurationHead m_nextHead;
    StoreVersion m_headStoreVersion = 0;
    // A failed compare-and-swap shows that replies up to this version are out of date.
    StoreVersion m_outdatedUpTo = 0;
    bool m_comparisonFailed = false;
    std::vector<std::string> m_partsToWrite;
    unsigned m_olderReads = 0;
    // Whether a write of the head was sent that may have taken effect or may still do so.
    bool m_outcomeOpen = false;
};

} // namespace Catkinwell
