#pragma once

#include <catkinwell/store/StoreTypes.h>
#include <map>

namespace Catkinwell {

// An in-memory store without faults that supports the calls of ClaimManager.
class FakeStore {
public:
    StoreReply apply(const StoreCall& call);
    std::map<std::string, StoreEntry>& entries() { return m_entries; }

private:
    std::map<std::string, StoreEntry> m_entries;
    StoreVersion m_version = 0;
};

} // namespace Catkinwell
