#include <catkinwell/logging/LogEvent.h>

#include <algorithm>
#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<LogSeverity, 4> severityNames { {
        { LogSeverity::Debug, "debug" },
        { LogSeverity::Info, "info" },
        { LogSeverity::Warning, "warning" },
        { LogSeverity::Error, "error" },
    } };

} // namespace

std::string_view nameOf(LogSeverity severity) { return severityNames.nameOf(severity); }

const std::vector<LogEventDescription>& logEventCatalogue()
{
    using enum LogSeverity;
    static const std::vector<LogEventDescription> catalogue {
        // 1000: process
        { LogEvent::ProcessStarted, Info, "process_started", "The host serves requests.", "" },
        { LogEvent::ShutdownRequested, Info, "shutdown_requested",
            "The host takes no new requests and finishes the running ones.", "" },
        { LogEvent::ShutdownFinished, Info, "shutdown_finished", "Every request was finished before the exit.", "" },
        { LogEvent::ShutdownForced, Error, "shutdown_forced",
            "A second signal ended the process; the listed requests were cut.",
            "Check the callers of the listed requests; give the host more time before the second signal." },
        { LogEvent::LogEventsSuppressed, Warning, "log_events_suppressed",
            "The same event came too often; the given number was left out.",
            "Look at the first entries of that event." },
        { LogEvent::LoopStalled, Warning, "loop_stalled", "The event loop did not run for the given time.",
            "Check whether the machine was suspended or overloaded." },
        // 1100: requests
        { LogEvent::RequestRefused, Info, "request_refused",
            "A request was refused; the fields give the code, the outcome and the reason.", "" },
        { LogEvent::RequestFinished, Info, "request_finished", "The whole answer was handed to the caller.", "" },
        { LogEvent::RequestFailed, Warning, "request_failed", "A request ended without a complete answer.",
            "Look at the attempts with the same request identifier." },
        { LogEvent::RequestQueued, Info, "request_queued", "A request waits for a replica.", "" },
        { LogEvent::CallerDisconnected, Info, "caller_disconnected", "The caller left before the answer was complete.",
            "" },
        { LogEvent::AuthenticationFailed, Warning, "authentication_failed", "A request came without a valid key.",
            "If it repeats, check whether the caller's key was withdrawn." },
        // 1200: routing
        { LogEvent::EndpointChosen, Info, "endpoint_chosen",
            "A request was sent to the chosen endpoint; the fields give each candidate's score.", "" },
        { LogEvent::AttemptFailedEvent, Warning, "attempt_failed", "An endpoint did not complete a request.",
            "If one endpoint repeats, drain it and look at its log." },
        { LogEvent::RequestRetried, Info, "request_retried", "An idempotent request is sent to another endpoint.", "" },
        { LogEvent::RetryBudgetExhausted, Warning, "retry_budget_exhausted",
            "A request was not repeated because too many repeats were made.", "Look for failing endpoints." },
        { LogEvent::FingerprintQuarantined, Error, "fingerprint_quarantined",
            "A request that crashed endpoints is refused from now on.",
            "Report the request to the engine's maintainers; release it with `catkinwell admin quarantine`." },
        { LogEvent::EndpointStateChanged, Info, "endpoint_state_changed",
            "An endpoint became usable, suspected or leaving.", "" },
        // 1300: shares
        // 1400: orders
        // 1500: placement
        // 1600: membership
        // 1700: configuration
        // 1800: peer
        // 1900: store
        { LogEvent::HostLeaseAcquired, Info, "host_lease_acquired", "The host has a lease in the store.", "" },
        { LogEvent::HostLeaseLost, Warning, "host_lease_lost",
            "The host's lease may have lapsed; floating shares and placement stop until there is a new one.",
            "Check whether the store can be reached." },
        { LogEvent::StoreUnreachable, Error, "store_unreachable", "The store does not answer.",
            "See the chapter on platform outages in docs/operations.md." },
        { LogEvent::StoreReachable, Info, "store_reachable", "The store answers again.", "" },
        // 2000: administration
        { LogEvent::AdminChangeAccepted, Info, "admin_change_accepted",
            "An operator changed something; the fields give who, what, why and the new version.", "" },
        { LogEvent::AdminChangeRefused, Info, "admin_change_refused",
            "An operator's change was not made; the fields give the reason.", "" },
        { LogEvent::AdminChangeUnknown, Warning, "admin_change_unknown",
            "The store did not confirm an operator's change; it may have taken effect.",
            "Read the configuration, or repeat the change with the same change identifier." },
        { LogEvent::AdminAuthenticationFailed, Warning, "admin_authentication_failed",
            "A request for the administration API came without a valid token.",
            "If it repeats, find its origin and replace the token if it may be known to others." },
        { LogEvent::BudgetNearlyExceeded, Warning, "budget_nearly_exceeded",
            "The accelerator hours counted by this host, or their forecast, come close to its part of the monthly "
            "budget.",
            "Run `catkinwell admin report` over all hosts; lower minimum replicas or raise the budget." },
        { LogEvent::BudgetExceeded, Error, "budget_exceeded",
            "The accelerator hours counted by this host exceed its part of the monthly budget.",
            "Run `catkinwell admin report` over all hosts; lower minimum replicas or raise the budget." },
    };
    return catalogue;
}

const LogEventDescription& describe(LogEvent event)
{
    const auto& catalogue = logEventCatalogue();
    return *std::lower_bound(catalogue.begin(), catalogue.end(), event,
        [](const LogEventDescription& entry, LogEvent wanted) { return entry.event < wanted; });
}

} // namespace Catkinwell
