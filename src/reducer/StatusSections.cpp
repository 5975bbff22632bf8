#include <array>
#include <catkinwell/reducer/Reducer.h>
#include <nlohmann/json.hpp>

// The status of a host for operators: one function for each section of GET /admin/v1/status/<section>.

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

} // namespace

std::string Reducer::hostsStatus(MonotonicTime now) const
{
    Json list = Json::array();
    list.push_back({ { "host", m_settings.host.host.value }, { "data_centre", m_settings.host.dataCentre.value },
        { "state", m_phase == Phase::Serving ? "alive" : "leaving" }, { "incarnation", m_settings.host.incarnation },
        { "self", true }, { "active_requests", m_requests.activeRequests() } });
    for (const HostView& view : m_membership.hosts(now))
        list.push_back({ { "host", view.host.value }, { "data_centre", view.dataCentre.value },
            { "address", view.address }, { "state", nameOf(view.state) }, { "incarnation", view.incarnation },
            { "self", false }, { "age_seconds", secondsOf(view.age) } });
    return list.dump();
}

std::string Reducer::sharesStatus(MonotonicTime now) const
{
    Json list = Json::array();
    for (const ShareStatus& share : m_shares.status(now))
        list.push_back({ { "account", share.account.value }, { "floating_ppm", share.floatingPpm },
            { "standing_ppm", share.standingPpm }, { "tokens_per_second", share.ratePerSecond },
            { "level_tokens", share.level }, { "capacity_tokens", share.capacity },
            { "demand_tokens_per_second", share.demandPerSecond }, { "waiting", share.waiting },
            { "holders", share.holders }, { "unassigned_ppm", share.unassignedPpm },
            { "age_seconds", secondsOf(share.age) } });
    return list.dump();
}

std::string Reducer::replicasStatus(MonotonicTime now) const
{
    const PlacementStatus status = m_placement.status(now);
    Json list = Json::array();
    for (const PlannedReplica& replica : status.replicas)
        list.push_back({ { "endpoint", replica.endpoint.value }, { "model", replica.model.value },
            { "state", nameOf(replica.state) }, { "command", replica.command.value },
            { "memory_bytes", replica.memoryBytes } });
    return list.dump();
}

std::string Reducer::slotsStatus(MonotonicTime now) const
{
    const PlacementStatus status = m_placement.status(now);
    return Json {
        { "owner", status.owner.value }, { "is_owner", status.isOwner }, { "fencing_token", status.fencingToken },
        { "plan_version", status.planVersion }, { "commands_in_force", status.commandsInForce },
        { "weight_slots_held", status.weightSlotsHeld }, { "adapter_slots_held", status.adapterSlotsHeld }
    }.dump();
}

std::string Reducer::ordersStatus(MonotonicTime) const
{
    const ClaimCounts counts = m_claims.counts();
    return Json {
        { "waiting", counts.waiting }, { "running", counts.running }, { "unwritten", counts.unwritten },
        { "unwritten_bytes", counts.unwrittenBytes }, { "withdrawing", counts.withdrawing },
        { "store_writes", counts.storeWrites }, { "store_reads", counts.storeReads }, { "forwarded", counts.forwarded },
        { "store_unavailable", counts.storeUnavailable }, { "retention_seconds", secondsOf(counts.retention) }
    }.dump();
}

std::string Reducer::endpointsStatus(MonotonicTime now) const { return m_endpoints.statusJson(now); }

std::string Reducer::membershipStatus(MonotonicTime now) const
{
    Json leaving = Json::array();
    for (const EndpointId& endpoint : m_leavingEndpoints)
        leaving.push_back(endpoint.value);
    Json evacuated = Json::array();
    for (const auto& [dataCentre, evacuation] : m_evacuated.evacuations())
        evacuated.push_back(dataCentre.value);
    return Json {
        { "live_hosts", m_membership.liveHosts(now).size() + 1 },
        { "live_in_data_centre", m_membership.liveHosts(m_settings.host.dataCentre, now).size() + 1 },
        { "leaving_endpoints", leaving }, { "evacuated_data_centres", evacuated }
    }.dump();
}

std::string Reducer::configurationStatus(MonotonicTime now) const
{
    const ConfigurationStatus status = m_configuration.status(now);
    Json section { { "version", status.version }, { "newest_announced", status.newestAnnounced },
        { "store_reachable", status.storeReachable }, { "local_revocations", status.localRevocations },
        { "active_exceptions", status.activeExceptions }, { "last_rejection", status.lastRejection } };
    section["age_seconds"] = status.age ? Json(secondsOf(*status.age)) : Json(nullptr);
    return section.dump();
}

std::string Reducer::storeStatus(MonotonicTime now) const
{
    const LeaseStatus& lease = m_lease.status();
    return Json {
        { "reachable", m_lease.isStoreReachable() }, { "lease", lease.id }, { "lease_valid", lease.isValidAt(now) },
        { "lease_age_seconds", lease.id.empty() ? 0 : secondsOf(now - lease.lastRenewalSentAt) }
    }.dump();
}

std::string Reducer::statusJson(std::string_view section, MonotonicTime now) const
{
    struct Section {
        std::string_view name;
        std::string (Reducer::*render)(MonotonicTime) const;
    };
    static constexpr std::array<Section, 9> sections { {
        { "hosts", &Reducer::hostsStatus },
        { "shares", &Reducer::sharesStatus },
        { "replicas", &Reducer::replicasStatus },
        { "slots", &Reducer::slotsStatus },
        { "orders", &Reducer::ordersStatus },
        { "endpoints", &Reducer::endpointsStatus },
        { "membership", &Reducer::membershipStatus },
        { "configuration", &Reducer::configurationStatus },
        { "store", &Reducer::storeStatus },
    } };
    for (const Section& candidate : sections) {
        if (candidate.name == section)
            return (this->*candidate.render)(now);
    }
    return {};
}

} // namespace Catkinwell
