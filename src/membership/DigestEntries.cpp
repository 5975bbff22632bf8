#include "DigestEntries.h"

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    using HostEntry = std::pair<const HostId, HostTable::Host>;
    using Group = std::vector<const HostEntry*>;

    // A dead host stays in the digests for this long. By then, every host has detected the failure.
    constexpr Duration deadHostAnnouncementTime = std::chrono::minutes(1);

    // Moves count elements, chosen at random among those from the position on, to that position.
    void moveRandomTo(Group& group, std::size_t position, std::size_t count, RandomGenerator& random)
    {
        for (std::size_t i = position; i < std::min(position + count, group.size()); ++i)
            std::swap(group[i], group[i + random.below(group.size() - i)]);
    }

    // Reduces the group to count elements: half of them are those whose heartbeats advanced last, the others are
    // random.
    void reduceGroup(Group& group, std::size_t count, RandomGenerator& random)
    {
        if (group.size() <= count)
            return;
        const std::size_t newest = count / 2;
        std::nth_element(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(newest), group.end(),
            [](const HostEntry* left, const HostEntry* right) {
                return left->second.lastProgress > right->second.lastProgress;
            });
        moveRandomTo(group, newest, count - newest, random);
        group.resize(count);
    }

    // Rounds to the nearest value, so that the rounding errors of several hops cancel out.
    std::uint32_t ageQuartersOf(Duration age)
    {
        const double quarters = std::chrono::duration<double>(age).count() * 4;
        return static_cast<std::uint32_t>(std::clamp(std::round(quarters), 0.0, 255.0));
    }

    DigestEntry entryFor(const HostEntry& host, MonotonicTime now)
    {
        const bool isUnreachable = host.second.suspected || host.second.dead;
        const HostState unreachable = host.second.dead ? HostState::Dead : HostState::Suspected;
        return { host.first, host.second.incarnation, host.second.heartbeat,
            isUnreachable ? unreachable : host.second.state(), ageQuartersOf(now - host.second.lastProgress) };
    }

} // namespace

// An entry is an array of a name, whose length takes up to two bytes, and of numbers of nine, five, one and two bytes.
std::size_t digestEntryBytes(std::size_t nameLength) { return 1 + 2 + nameLength + 9 + 5 + 1 + 2; }

std::vector<DigestEntry> chooseDigestEntries(const HostTable& table, const DataCentreId& ownDataCentre,
    std::size_t maximumBytes, MonotonicTime now, RandomGenerator& random)
{
    Group unreachable;
    Group own;
    Group others;
    std::size_t longestName = 1;
    for (const auto& host : table.hosts()) {
        longestName = std::max(longestName, host.first.value.size());
        if (host.second.suspected || host.second.dead) {
            if (now - host.second.lastProgress <= table.heartbeatTimeout(false) + deadHostAnnouncementTime)
                unreachable.push_back(&host);
        } else {
            (host.second.dataCentre == ownDataCentre ? own : others).push_back(&host);
        }
    }
    std::size_t room = maximumBytes / digestEntryBytes(longestName);
    moveRandomTo(unreachable, 0, room / 3, random);
    unreachable.resize(std::min(unreachable.size(), room / 3));
    room -= unreachable.size();
    const std::size_t forOthers = std::max(room / 3, room - std::min(room, own.size()));
    reduceGroup(others, forOthers, random);
    reduceGroup(own, room - others.size(), random);

    std::vector<DigestEntry> entries;
    for (const auto* group : { &unreachable, &own, &others }) {
        for (const auto* host : *group)
            entries.push_back(entryFor(*host, now));
    }
    return entries;
}

} // namespace Catkinwell
