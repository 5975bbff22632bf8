#pragma once

#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/gateway/SerialStoreCalls.h>
#include <catkinwell/routing/PromptQuarantine.h>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Catkinwell {

// Keeps the refusals of the prompt quarantine in the store, one key each, so that hosts know them after a restart and
// behind a partition that separates them from their peers. The placement owner writes first; any other host writes what
// is still missing after a while. Pure; not thread safe.
class PromptRefusalRecords {
public:
    // Precondition: no other object uses StoreUser::Quarantine.
    explicit PromptRefusalRecords(std::string keyPrefix);

    // Returns the identifier that the key names; nullopt if it is the key of something else.
    std::optional<PromptRefusalId> idOf(const std::string& key) const;
    // Returns the refusal that the entry records; nullopt if it records none or cannot be read.
    std::optional<PromptRefusal> read(const StoreEntry&, WallTime) const;

    // The refusal began, lost parts or ended.
    void noteChange(const PromptRefusal&, MonotonicTime now);
    // Writes one missing or outdated record, or deletes one of an ended or expired refusal, with at most one call at a
    // time.
    // Precondition: the mirror contains all keys with the prefix.
    void tick(
        const std::vector<PromptRefusal>&, const PrefixMirror&, bool isOwner, WallTime, MonotonicTime now, EffectList&);
    // The mirror shows the outcome of a call.
    void handle(const StoreReply& reply) { m_calls.take(reply); }
    // Writes lost records again as if the refusals had become known at this time.
    void noteRestored(MonotonicTime knownFrom);

private:
    std::string keyOf(PromptRefusalId) const;
    bool deleteEnded(const PrefixMirror&, MonotonicTime now, EffectList&);
    bool deleteExpired(const PrefixMirror&, WallTime, MonotonicTime now, EffectList&);
    std::size_t countRecords(const PrefixMirror&) const;

    std::string m_keyPrefix;
    SerialStoreCalls m_calls;
    // When this host learned of each refusal whose record it did not find yet.
    std::unordered_map<PromptRefusalId, MonotonicTime> m_knownSince;
    std::set<PromptRefusalId> m_ended;
};

} // namespace Catkinwell
