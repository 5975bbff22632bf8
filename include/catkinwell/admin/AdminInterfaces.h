#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/reducer/Effect.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Interfaces through which AdminApi uses other modules. All calls are made by the reducer.

class StatusSource {
public:
    virtual ~StatusSource() = default;
    // Returns a JSON value that shows the state of a section (hosts, shares, replicas, slots, orders,
    // endpoints, membership, configuration, store); empty if there is nothing to show.
    virtual std::string statusJson(std::string_view section, MonotonicTime now) const = 0;
};

class ReadinessSource {
public:
    virtual ~ReadinessSource() = default;
    // Returns the reason why the host must not receive callers' requests; empty if it is ready.
    virtual std::string reasonNotReady(MonotonicTime now) const = 0;
};

// Takes endpoints out of service without interrupting the requests that run on them.
class DrainControl {
public:
    virtual ~DrainControl() = default;
    virtual std::vector<EndpointId> draining() const = 0;
    // Errors: NotFound for an unknown endpoint, Unavailable if the change cannot be sent to other hosts.
    virtual Status setDraining(
        const EndpointId&, bool draining, const std::string& reason, MonotonicTime now, EffectList& effects)
        = 0;
};

struct QuarantinedRequest {
    std::uint64_t fingerprint = 0;
    AccountId account;
    ModelId model;
    std::uint32_t crashes = 0;
};

class QuarantineControl {
public:
    virtual ~QuarantineControl() = default;
    virtual std::vector<QuarantinedRequest> quarantined() const = 0;
    // Errors: NotFound if the fingerprint is not in quarantine.
    virtual Status release(std::uint64_t fingerprint, MonotonicTime now, EffectList& effects) = 0;
};

// Generates the secret of a new key. The seeded generator of the reducer's state must not be used for secrets.
class SecretSource {
public:
    virtual ~SecretSource() = default;
    // Returns bytes of a cryptographically secure generator as hexadecimal digits.
    virtual std::string nextSecretHex(std::size_t bytes) = 0;
};

} // namespace Catkinwell
