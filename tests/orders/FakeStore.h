#pragma once

#include <catkinwell/store/StoreTypes.h>
#include <map>

namespace Catkinwell {

// The calls that ClaimManager makes, without faults.
class FakeStore {
public:
    StoreReply apply(const StoreCall& call);
    std::map<std::string, StoreEntry>& entries() { return m_entries; }

private:
    std::map<std::string, StoreEntry> m_entries;
    StoreVersion m_version = 0;
};

} // namespace Catkinwell
