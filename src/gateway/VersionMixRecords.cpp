#include <catkinwell/gateway/VersionMixRecords.h>

#include <algorithm>
#include <charconv>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(600);
    // Time between two calls, so that the mirror shows the effect of the first.
    constexpr Duration callInterval = std::chrono::milliseconds(300);
    // Time for the owner's write to appear before other hosts write.
    constexpr Duration ownerHeadStart = std::chrono::milliseconds(700);
    // A record outlasts every stream of its time, also if wall clocks differ by some seconds.
    constexpr std::chrono::seconds recordLifetime { 180 };
    constexpr std::chrono::seconds renewalAhead { 120 };

    std::int64_t secondsSinceEpoch(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    }

    // The value of a record is the second at which it expires.
    std::int64_t expiryOf(const StoreEntry& entry)
    {
        std::int64_t expiry = 0;
        std::from_chars(entry.value.data(), entry.value.data() + entry.value.size(), expiry);
        return expiry;
    }

} // namespace

VersionMixRecords::VersionMixRecords(std::string keyPrefix)
    : m_keyPrefix(std::move(keyPrefix))
    , m_calls(StoreUser::Versions, callTimeout, callInterval)
{
}

void VersionMixRecords::noteRestored(MonotonicTime knownFrom)
{
    m_calls.postpone(knownFrom);
    m_missingSince.clear();
}

void VersionMixRecords::tick(const std::vector<std::string>& services, const PrefixMirror& mirror, bool isOwner,
    WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    if (!m_calls.isFree(now) || !mirror.isCurrent())
        return;
    const std::int64_t second = secondsSinceEpoch(wallNow);
    std::erase_if(m_missingSince, [&services](const auto& missing) {
        return std::find(services.begin(), services.end(), missing.first) == services.end();
    });
    for (const std::string& service : services) {
        const StoreEntry* entry = mirror.find(m_keyPrefix + service);
        if (entry && expiryOf(*entry) > second + renewalAhead.count()) {
            m_missingSince.erase(service);
            continue;
        }
        const MonotonicTime since = m_missingSince.try_emplace(service, now).first->second;
        if (!isOwner && now < since + ownerHeadStart)
            continue;
        m_calls.start(StoreCompareAndSwap { m_keyPrefix + service, std::to_string(second + recordLifetime.count()),
                          entry ? entry->version : 0, {} },
            now, effects);
        return;
    }
    if (!isOwner)
        return;
    const auto& entries = mirror.entries();
    for (auto entry = entries.lower_bound(m_keyPrefix); entry != entries.end() && entry->first.starts_with(m_keyPrefix);
         ++entry) {
        if (expiryOf(entry->second) > second)
            continue;
        m_calls.start(StoreDelete { entry->first, entry->second.version }, now, effects);
        return;
    }
}

std::optional<std::set<std::string>> VersionMixRecords::services(const PrefixMirror& mirror, WallTime wallNow) const
{
    if (!mirror.isRead())
        return std::nullopt;
    std::set<std::string> services;
    const auto& entries = mirror.entries();
    for (auto entry = entries.lower_bound(m_keyPrefix); entry != entries.end() && entry->first.starts_with(m_keyPrefix);
         ++entry) {
        if (expiryOf(entry->second) > secondsSinceEpoch(wallNow))
            services.insert(entry->first.substr(m_keyPrefix.size()));
    }
    return services;
}

} // namespace Catkinwell
