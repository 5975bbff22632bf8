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
        { LogEvent::ShareChanged, Info, "share_changed",
            "This host's usable piece of an account changed; the fields give the parts per million before and after.",
            "" },
        { LogEvent::ShareRefused, Info, "share_refused",
            "A reservation of tokens was refused; the fields give the reason and the bucket's state.", "" },
        { LogEvent::ShareReclaimed, Info, "share_reclaimed",
            "Pieces of hosts whose lease is gone were returned to the unassigned part.", "" },
        { LogEvent::ShareValueInvalid, Error, "share_value_invalid",
            "The stored value of an account's shares cannot be read; the host keeps what it holds and changes nothing.",
            "Stop all hosts for 66 minutes before you delete the value; an earlier deletion can exceed the rate." },
        { LogEvent::SharesReleased, Info, "shares_released", "The host gave all its pieces back.", "" },
        { LogEvent::HolderLeaseAbsent, Info, "holder_lease_absent",
            "The store no longer knows the lease of a holder; its floating pieces may be reclaimed.", "" },
        // 1400: orders
        { LogEvent::ClaimDecided, Info, "claim_decided",
            "A keyed request may run, gets the first outcome, or is refused; the fields give which.", "" },
        { LogEvent::ClaimWithdrawn, Info, "claim_withdrawn",
            "A confirmed keyed request was not sent; a repeat with its key may run.", "" },
        { LogEvent::OutcomeEntryLost, Error, "outcome_entry_lost",
            "The entry of a finished keyed request was replaced before its outcome was stored.",
            "Check that the retention is longer than any request and that the hosts' wall clocks agree." },
        { LogEvent::ClaimShardUnreadable, Error, "claim_shard_unreadable",
            "A shard of the keyed requests has a format that this version cannot read; its requests are refused.",
            "Check for hosts of a newer version and for other writers of the store's orders/ keys." },
        { LogEvent::ClaimsSuspended, Error, "claims_suspended",
            "The store does not answer; keyed requests are refused and recorded outcomes are kept in memory.",
            "See the chapter on platform outages in docs/operations.md." },
        { LogEvent::ClaimsResumed, Info, "claims_resumed", "The store answers; keyed requests are taken again.", "" },
        { LogEvent::ClaimExpirySuspended, Warning, "claim_expiry_suspended",
            "The wall clock jumped; this host removes no expired keyed requests until it is restarted.",
            "Correct the machine's wall clock and restart the host." },
        // 1500: placement
        { LogEvent::PlacementOwnershipGained, Info, "placement_ownership_gained",
            "This host decides the loads and unloads of its data centre.", "" },
        { LogEvent::PlacementOwnershipLost, Info, "placement_ownership_lost",
            "This host no longer decides the loads and unloads of its data centre.", "" },
        { LogEvent::LoadDecided, Info, "load_decided",
            "A model will be loaded on the chosen endpoint; the fields give the reason.", "" },
        { LogEvent::UnloadDecided, Info, "unload_decided",
            "A model will be unloaded from the endpoint; the fields give the reason.", "" },
        { LogEvent::PlacementCommandSent, Info, "placement_command_sent",
            "A recorded load or unload was handed to the engine's connection.", "" },
        { LogEvent::PlacementCommandSettled, Info, "placement_command_settled",
            "The effect of a load or unload is known.", "" },
        { LogEvent::PlacementCommandFailed, Warning, "placement_command_failed",
            "A load or unload had no effect, or its outcome is unknown until the engine's next report.",
            "If one endpoint repeats, drain it and look at its log." },
        { LogEvent::UnplannedReplicaAdopted, Warning, "unplanned_replica_adopted",
            "An engine holds a model that the plan did not contain; its memory is counted from now on.",
            "Load and unload models through catkinwell only." },
        { LogEvent::PlannedReplicaMissing, Warning, "planned_replica_missing",
            "An engine no longer holds a model that the plan had as loaded.", "Check whether the engine restarted." },
        { LogEvent::PlanTooLarge, Error, "plan_too_large",
            "The plan does not fit into one value of the store; nothing further is loaded.",
            "Lower maximumReplicas, or split the data centre's endpoints." },
        { LogEvent::PlanUnreadable, Error, "plan_unreadable",
            "The stored plan or an announced change could not be decoded.",
            "Run the same catkinwell version on every host." },
        // 1600: membership
        { LogEvent::HostStateChanged, Info, "host_state_changed",
            "A host of the fleet became alive, suspected or leaving.", "" },
        { LogEvent::HostDeclaredDead, Warning, "host_declared_dead",
            "A host is dead because two observers miss it or the platform's list has dropped it.",
            "Check the host; nothing is needed if the platform replaced it." },
        { LogEvent::HostListRead, Info, "host_list_read", "The platform's list of hosts can be read again.", "" },
        { LogEvent::HostListUnreadable, Warning, "host_list_unreadable",
            "The platform's list of hosts cannot be read; the last known list stays in use.",
            "Check whether the store can be reached, and the values below hosts/ and leaving/." },
        { LogEvent::EndpointLeaving, Info, "endpoint_leaving", "The platform marked an endpoint as leaving.", "" },
        // 1700: configuration
        { LogEvent::ConfigurationApplied, Info, "configuration_applied",
            "A newer configuration is in force on this host.", "" },
        { LogEvent::ConfigurationRejected, Error, "configuration_rejected",
            "A newer configuration is not valid here and was not applied; the former one stays in force.",
            "Correct the field that the reason names and propose the document again." },
        { LogEvent::ConfigurationProposalFinished, Info, "configuration_proposal_finished",
            "A proposed change was accepted, refused, or its outcome is unknown.", "" },
        { LogEvent::KeyRevokedLocally, Warning, "key_revoked_locally",
            "A key is out of force on this host although the configuration still grants it.",
            "Nothing if an operator meant it; the grant is removed when the store can be reached." },
        { LogEvent::KeyRevocationWritten, Info, "key_revocation_written",
            "The grants of locally revoked keys were removed from the configuration in the store.", "" },
        { LogEvent::ConfigurationStoreBehind, Error, "configuration_store_behind",
            "The store keeps an older configuration than the one in force; it was possibly restored from a backup.",
            "Write the accepted document back to the store; hosts do not return to an older version." },
        { LogEvent::ConfigurationExceptionsChanged, Info, "configuration_exceptions_changed",
            "Exceptions of the configuration expired.", "" },
        // 1800: peer
        { LogEvent::PeerMessageDropped, Warning, "peer_message_dropped",
            "Messages of peers were dropped; the fields give the reason and the number.",
            "For the reason unauthenticated, check that all hosts have the same cluster secret." },
        { LogEvent::PeerTransportFailed, Error, "peer_transport_failed",
            "The host cannot listen for, or connect to, peers.", "Check the peer address in the settings." },
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
