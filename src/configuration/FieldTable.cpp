#include "FieldTable.h"

namespace Catkinwell {

namespace {

    constexpr double oneDay = 86400;
    constexpr double largestTokenCount = 1e12;
    // 64 TiB. Keeps sums of memory sizes far below the limit of 64 bits and exact in a double.
    constexpr double largestMemory = 1024.0 * 1024 * 1024 * 1024 * 64;

    constexpr FieldRule text(TextForm form) { return { .required = true, .form = form }; }
    constexpr FieldRule optionalText(TextForm form) { return { .form = form }; }
    constexpr FieldRule range(double minimum, double maximum)
    {
        return { .minimum = minimum, .maximum = maximum, .overridable = true };
    }
    constexpr FieldRule overridableRule { .overridable = true };
    constexpr FieldRule fixedRule {};

    constexpr Field<ClientAccount> accountFields[] {
        { "id", &ClientAccount::id, text(TextForm::Name) },
        { "rate_tokens_per_second", &ClientAccount::rate, range(1, largestTokenCount) },
        { "burst_tokens", &ClientAccount::burst, range(1, largestTokenCount) },
        { "weight", &ClientAccount::weight, range(1, 1000) },
    };

    constexpr Field<KeyGrant> keyFields[] {
        { "sha256", &KeyGrant::sha256Hex, text(TextForm::Sha256) },
        { "account", &KeyGrant::account, text(TextForm::Name) },
        { "label", &KeyGrant::label, optionalText(TextForm::Label) },
    };

    constexpr Field<EndpointSettings> endpointFields[] {
        { "id", &EndpointSettings::id, text(TextForm::Name) },
        { "address", &EndpointSettings::address, text(TextForm::Address) },
        { "data_centre", &EndpointSettings::dataCentre, text(TextForm::Name) },
        { "kind", &EndpointSettings::kind, fixedRule },
        { "pool", &EndpointSettings::pool, text(TextForm::Name) },
        { "fencing", &EndpointSettings::fencing, fixedRule },
        { "memory_bytes", &EndpointSettings::memoryBytes, range(0, largestMemory) },
        { "capacity_requests", &EndpointSettings::capacity, range(1, 100000) },
        { "receive_timeout_seconds", &EndpointSettings::receiveTimeout, range(0.1, 600) },
    };

    constexpr Field<ModelSettings> modelFields[] {
        { "id", &ModelSettings::id, text(TextForm::ModelName) },
        { "pool", &ModelSettings::pool, text(TextForm::Name) },
        { "base_model", &ModelSettings::baseModel, optionalText(TextForm::ModelName) },
        { "memory_bytes", &ModelSettings::memoryBytes, range(0, largestMemory) },
        { "expected_load_seconds", &ModelSettings::expectedLoadTime, range(0.001, 3600) },
        { "minimum_replicas", &ModelSettings::minimumReplicas, range(0, 10000) },
        { "maximum_replicas", &ModelSettings::maximumReplicas, range(1, 10000) },
        { "default_max_tokens", &ModelSettings::defaultMaxTokens, range(1, 10000000) },
        { "bytes_per_token", &ModelSettings::bytesPerToken, range(1, 16) },
    };

    constexpr Field<RouteSettings> routeFields[] {
        { "path_prefix", &RouteSettings::pathPrefix, text(TextForm::PathPrefix) },
        { "pool", &RouteSettings::pool, text(TextForm::Name) },
        { "access", &RouteSettings::access, fixedRule },
        { "idempotent", &RouteSettings::idempotent, overridableRule },
        { "cost_tokens", &RouteSettings::cost, range(0, largestTokenCount) },
    };

    constexpr Field<FleetDefaults> defaultsFields[] {
        { "request_deadline_seconds", &FleetDefaults::requestDeadline, range(0.1, oneDay) },
        { "maximum_queued_per_account_and_model", &FleetDefaults::maximumQueuedPerAccountAndModel, range(1, 1000000) },
        { "maximum_queued_per_host", &FleetDefaults::maximumQueuedPerHost, range(1, 1000000) },
        { "retry_budget_fraction", &FleetDefaults::retryBudgetFraction, range(0, 1) },
        { "idle_hour_cost", &FleetDefaults::idleHourCost, range(0, 1e9) },
        { "cold_start_cost", &FleetDefaults::coldStartCost, range(0, 1e9) },
        { "weight_loads_per_second", &FleetDefaults::weightLoadsPerSecond, range(0.001, 1000) },
        { "weight_load_slots", &FleetDefaults::weightLoadSlots, range(1, 1000) },
        { "adapter_load_slots", &FleetDefaults::adapterLoadSlots, range(1, 10000) },
        { "keyed_request_retention_seconds", &FleetDefaults::keyedRequestRetention, range(60, 30 * oneDay) },
        { "monthly_accelerator_hours", &FleetDefaults::monthlyAcceleratorHours, range(0, 1e9) },
    };

    constexpr Field<ConfigurationException> exceptionFields[] {
        { "scope", &ConfigurationException::scope, text(TextForm::Text) },
        { "field", &ConfigurationException::field, text(TextForm::Text) },
        { "value", &ConfigurationException::valueJson, text(TextForm::JsonScalar) },
        { "reason", &ConfigurationException::reason, text(TextForm::Reason) },
        { "expires", &ConfigurationException::expires, fixedRule },
    };

    constexpr Field<DataCentreEvacuation> evacuationFields[] {
        { "data_centre", &DataCentreEvacuation::dataCentre, text(TextForm::Name) },
        { "reason", &DataCentreEvacuation::reason, text(TextForm::Reason) },
    };

} // namespace

std::span<const Field<ClientAccount>> fieldsOf(const ClientAccount&) { return accountFields; }
std::span<const Field<KeyGrant>> fieldsOf(const KeyGrant&) { return keyFields; }
std::span<const Field<EndpointSettings>> fieldsOf(const EndpointSettings&) { return endpointFields; }
std::span<const Field<ModelSettings>> fieldsOf(const ModelSettings&) { return modelFields; }
std::span<const Field<RouteSettings>> fieldsOf(const RouteSettings&) { return routeFields; }
std::span<const Field<FleetDefaults>> fieldsOf(const FleetDefaults&) { return defaultsFields; }
std::span<const Field<DataCentreEvacuation>> fieldsOf(const DataCentreEvacuation&) { return evacuationFields; }
std::span<const Field<ConfigurationException>> fieldsOf(const ConfigurationException&) { return exceptionFields; }

} // namespace Catkinwell
