#include <catkinwell/gateway/PromptRefusalRecords.h>

#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr Duration callTimeout = std::chrono::milliseconds(600);
    // Time between two calls, so that the mirror shows the effect of the first.
    constexpr Duration callInterval = std::chrono::milliseconds(300);
    // Time for the owner's write to appear before other hosts write.
    constexpr Duration ownerHeadStart = std::chrono::milliseconds(700);
    constexpr std::size_t maximumRecords = 64;

    std::int64_t millisecondsSinceEpoch(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

    std::string valueOf(const PromptRefusal& refusal, WallTime now)
    {
        const std::int64_t refusedAt = millisecondsSinceEpoch(now) - millisecondsOf(refusal.age);
        return Json { { "parts", refusal.parts }, { "refused_at_ms", refusedAt } }.dump();
    }

} // namespace

PromptRefusalRecords::PromptRefusalRecords(std::string keyPrefix)
    : m_keyPrefix(std::move(keyPrefix))
    , m_calls(StoreUser::Quarantine, callTimeout, callInterval)
{
}

std::string PromptRefusalRecords::keyOf(PromptRefusalId id) const { return m_keyPrefix + std::to_string(id); }

std::optional<PromptRefusalId> PromptRefusalRecords::idOf(const std::string& key) const
{
    if (!key.starts_with(m_keyPrefix))
        return std::nullopt;
    PromptRefusalId id = 0;
    const char* end = key.data() + key.size();
    const auto result = std::from_chars(key.data() + m_keyPrefix.size(), end, id);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return id;
}

std::optional<PromptRefusal> PromptRefusalRecords::read(const StoreEntry& entry, WallTime now) const
{
    const auto id = idOf(entry.key);
    const Json value = parseBoundedJson(entry.value);
    if (!id || entry.isDeleted || !value.is_object())
        return std::nullopt;
    try {
        const std::int64_t age = millisecondsSinceEpoch(now) - value.at("refused_at_ms").get<std::int64_t>();
        return PromptRefusal { *id, value.at("parts").get<PromptParts>(),
            std::chrono::milliseconds(std::max<std::int64_t>(0, age)) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

void PromptRefusalRecords::noteChange(const PromptRefusal& refusal, MonotonicTime now)
{
    if (refusal.parts.empty()) {
        m_ended.insert(refusal.id);
        m_knownSince.erase(refusal.id);
    } else {
        m_ended.erase(refusal.id);
        m_knownSince.try_emplace(refusal.id, now);
    }
}

void PromptRefusalRecords::noteRestored(MonotonicTime knownFrom)
{
    m_calls.postpone(MonotonicTime());
    for (auto& [id, since] : m_knownSince)
        since = knownFrom;
}

bool PromptRefusalRecords::deleteEnded(const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    std::erase_if(m_ended, [&](PromptRefusalId id) { return !mirror.find(keyOf(id)); });
    if (m_ended.empty())
        return false;
    const StoreEntry* entry = mirror.find(keyOf(*m_ended.begin()));
    m_calls.start(StoreDelete { entry->key, entry->version }, now, effects);
    return true;
}

bool PromptRefusalRecords::deleteExpired(
    const PrefixMirror& mirror, WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    const auto& entries = mirror.entries();
    for (auto entry = entries.lower_bound(m_keyPrefix); entry != entries.end(); ++entry) {
        if (!entry->first.starts_with(m_keyPrefix))
            return false;
        const auto refusal = read(entry->second, wallNow);
        if (refusal && refusal->age < PromptQuarantineSettings().lifetime)
            continue;
        m_calls.start(StoreDelete { entry->first, entry->second.version }, now, effects);
        return true;
    }
    return false;
}

std::size_t PromptRefusalRecords::countRecords(const PrefixMirror& mirror) const
{
    const auto& entries = mirror.entries();
    std::size_t count = 0;
    for (auto entry = entries.lower_bound(m_keyPrefix); entry != entries.end() && entry->first.starts_with(m_keyPrefix);
         ++entry)
        ++count;
    return count;
}

void PromptRefusalRecords::tick(const std::vector<PromptRefusal>& refusals, const PrefixMirror& mirror, bool isOwner,
    WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    if (!m_calls.isFree(now) || !mirror.isCurrent() || deleteEnded(mirror, now, effects))
        return;
    if (isOwner && deleteExpired(mirror, wallNow, now, effects))
        return;
    for (const PromptRefusal& refusal : refusals) {
        const StoreEntry* entry = mirror.find(keyOf(refusal.id));
        const auto recorded = entry ? read(*entry, wallNow) : std::nullopt;
        if (recorded && recorded->parts == refusal.parts)
            continue;
        if (!isOwner && now < m_knownSince.try_emplace(refusal.id, now).first->second + ownerHeadStart)
            continue;
        if (!entry && countRecords(mirror) >= maximumRecords)
            return;
        m_calls.start(
            StoreCompareAndSwap { keyOf(refusal.id), valueOf(refusal, wallNow), entry ? entry->version : 0, {} }, now,
            effects);
        return;
    }
    std::erase_if(m_knownSince, [&](const auto& item) {
        return std::none_of(refusals.begin(), refusals.end(),
            [&item](const PromptRefusal& refusal) { return refusal.id == item.first; });
    });
}

} // namespace Catkinwell
