#include "orders/FakeStore.h"

namespace Catkinwell {

StoreReply FakeStore::apply(const StoreCall& call)
{
    StoreReply reply { .id = call.id, .status = StoreStatus::Ok };
    if (const auto* get = std::get_if<StoreGet>(&call.operation)) {
        const auto found = m_entries.find(get->key);
        if (found == m_entries.end()) {
            reply.status = StoreStatus::NotFound;
        } else {
            reply.value = found->second.value;
            reply.version = found->second.version;
        }
    } else if (const auto* write = std::get_if<StoreCompareAndSwap>(&call.operation)) {
        const auto found = m_entries.find(write->key);
        if ((found == m_entries.end() ? 0 : found->second.version) != write->expectedVersion) {
            reply.status = StoreStatus::Conflict;
        } else if (found == m_entries.end() || found->second.value != write->value) {
            // Writing an unchanged value keeps its version.
            m_entries[write->key] = { write->key, write->value, ++m_version };
            // Some stores do not return the new version.
            reply.version = call.id.value % 2 ? m_version : 0;
        }
    } else if (const auto* removal = std::get_if<StoreDelete>(&call.operation)) {
        const auto found = m_entries.find(removal->key);
        const bool matches = found != m_entries.end() && found->second.version == removal->expectedVersion;
        reply.status = matches ? StoreStatus::Ok : StoreStatus::Conflict;
        if (matches)
            m_entries.erase(found);
    }
    return reply;
}

} // namespace Catkinwell
