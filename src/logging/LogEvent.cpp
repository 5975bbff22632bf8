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

std::optional<LogSeverity> logSeverityNamed(std::string_view name) { return severityNames.valueOf(name); }

const std::vector<LogEventDescription>& logEventCatalogue()
{
    using enum LogSeverity;
    static const std::vector<LogEventDescription> catalogue {
        // 1000: process
        { LogEvent::ProcessStarted, Info, "process_started", "The host serves requests.", "" },
        { LogEvent::ShutdownRequested, Info, "shutdown_requested",
            "The host accepts no new requests and finishes the running ones.", "" },
        { LogEvent::ShutdownFinished, Info, "shutdown_finished",
            "All requests were finished before the process exited.", "" },
        { LogEvent::ShutdownForced, Error, "shutdown_forced",
            "A second signal ended the process; the listed requests were aborted.",
            "Check the callers of the listed requests; allow the host more time before the second signal." },
        { LogEvent::LogEventsSuppressed, Warning, "log_events_suppressed",
            "An event exceeded its rate limit; the given number of entries was not logged.",
            "Examine the entries of that event that were logged." },
        { LogEvent::LoopStalled, Warning, "loop_stalled", "The event loop did not run for the given time.",
            "Check whether the machine was suspended or overloaded." },
        { LogEvent::SettingsReloaded, Info, "settings_reloaded",
            "The settings file was read again; the field \"outcome\" tells whether it was applied, \"need_restart\" "
            "which "
            "changed fields take effect only after a restart.",
            "Correct the field named in the reason, or restart the process to apply the fields that need it." },
        { LogEvent::LogLinesDropped, Warning, "log_lines_dropped",
            "Log lines were dropped because the reader of standard output was too slow.",
            "Make the log collector read faster, or raise log.severity." },
        { LogEvent::RequestsCounted, Info, "requests_counted",
            "The process ends; the fields give the requests of one listener that were read whole, how they ended, and "
            "the number of those that had not ended when the event loop stopped.",
            "If \"open\" is not 0, find the requests in the entries 1106 with the reason process_end." },
        // 1100: requests
        { LogEvent::RequestRefused, Info, "request_refused",
            "A request was refused; the fields give the code, the outcome and the reason.", "" },
        { LogEvent::RequestFinished, Info, "request_finished", "The complete answer was sent to the caller.", "" },
        { LogEvent::RequestFailed, Warning, "request_failed", "A request ended without a complete answer.",
            "Examine the attempts with the same request identifier." },
        { LogEvent::RequestQueued, Info, "request_queued", "A request is waiting for a replica.", "" },
        { LogEvent::CallerDisconnected, Info, "caller_disconnected",
            "The caller closed the connection before the answer was complete.", "" },
        { LogEvent::AuthenticationFailed, Warning, "authentication_failed", "A request had no valid key.",
            "If it repeats, check whether the caller's key was revoked." },
        { LogEvent::AnswerCutOff, Warning, "answer_cut_off",
            "The host closed a connection after it had read a whole request and before the complete answer was "
            "written; "
            "\"answered\" tells whether the complete answer existed.",
            "Find the end of the request (2100 to 2102, 1100 to 1102) and, for the reason process_end, the stop "
            "(1001)." },
        { LogEvent::CallerGone, Info, "caller_gone",
            "A caller closed its connection before its request was served (\"delivered\" is no) or before the complete "
            "answer was written.",
            "" },
        { LogEvent::UnfinishedRequestsRejected, Warning, "unfinished_requests_rejected",
            "Requests that had not arrived whole were rejected with 503, because their bytes took as much memory as "
            "they may; none of them has run.",
            "Find the caller with the address in the field \"address\"; if its requests are sound, add hosts or raise "
            "memory_mb." },
        { LogEvent::ConnectionsRefused, Warning, "connections_refused",
            "Callers' connections were closed at once, because the process keeps the remaining file descriptors for "
            "the store, other hosts and endpoints.",
            "Find callers that open connections without need, add hosts, or raise the limit on open files." },
        { LogEvent::ResponseInvalid, Warning, "response_invalid",
            "An endpoint, the store or another host sent a response that is not valid HTTP; nothing more of it was "
            "used "
            "and its connection was closed.",
            "Examine the server at the address in the field \"address\"; the field \"reason\" names the defect." },
        // 1200: routing
        { LogEvent::EndpointChosen, Info, "endpoint_chosen",
            "A request was sent to the chosen endpoint; the fields give each candidate's score.", "" },
        { LogEvent::AttemptFailedEvent, Warning, "attempt_failed", "An endpoint did not complete a request.",
            "If it repeats for one endpoint, drain the endpoint and examine its log." },
        { LogEvent::RequestRetried, Info, "request_retried",
            "A request that is idempotent or has not run is retried at another endpoint.", "" },
        { LogEvent::RetryBudgetExhausted, Warning, "retry_budget_exhausted",
            "A request was not retried because the retry budget was used up.", "Look for failing endpoints." },
        { LogEvent::FingerprintQuarantined, Error, "fingerprint_quarantined",
            "A request that crashed endpoints was quarantined; further requests like it are refused.",
            "Report the request to the engine's maintainers; release it with `catkinwell admin quarantine release`." },
        { LogEvent::EndpointStateChanged, Info, "endpoint_state_changed",
            "An endpoint became usable, suspected or leaving.", "" },
        { LogEvent::PromptRefusalChanged, Error, "prompt_refusal_changed",
            "Requests with certain messages in their prompts are refused because these crashed endpoints, or no longer "
            "refused because such requests were answered.",
            "Report the messages to the engine's maintainers; release the refusal with `catkinwell admin quarantine "
            "release`." },
        // 1300: shares
        { LogEvent::ShareChanged, Info, "share_changed",
            "This host's usable share of an account's rate changed; the fields give it in parts per million, before "
            "and "
            "after.",
            "" },
        { LogEvent::ShareRefused, Info, "share_refused",
            "A reservation of tokens was refused; the fields give the reason and the bucket's state.", "" },
        { LogEvent::ShareReclaimed, Info, "share_reclaimed",
            "Shares held under a lease that no longer exists were returned to the unassigned part.", "" },
        { LogEvent::ShareValueInvalid, Error, "share_value_invalid",
            "The stored value of an account's shares cannot be decoded; the host keeps its share and changes nothing.",
            "Stop all hosts for 66 minutes before deleting the value; after an earlier deletion the account's rate can "
            "be "
            "exceeded." },
        { LogEvent::SharesReleased, Info, "shares_released", "The host returned all its shares.", "" },
        { LogEvent::HolderLeaseAbsent, Info, "holder_lease_absent",
            "The lease of a host that holds shares no longer exists in the store; its floating shares may be "
            "reclaimed.",
            "" },
        // 1400: orders
        { LogEvent::ClaimDecided, Info, "claim_decided",
            "The claim of a request with an idempotency key was decided: it runs, is answered with the recorded "
            "outcome, or "
            "is refused.",
            "" },
        { LogEvent::ClaimWithdrawn, Info, "claim_withdrawn",
            "A request with a confirmed claim was not sent; a retry with its idempotency key may run.", "" },
        { LogEvent::OutcomeEntryLost, Error, "outcome_entry_lost",
            "The entry of a finished request with an idempotency key was replaced before its outcome was stored.",
            "Check that the retention is longer than any request and that the hosts' wall clocks agree." },
        { LogEvent::ClaimShardUnreadable, Error, "claim_shard_unreadable",
            "A shard of the claims has a format that this version cannot read; requests of this shard are refused.",
            "Check for hosts of a newer version and for other writers of the store's orders/ keys." },
        { LogEvent::ClaimsSuspended, Error, "claims_suspended",
            "The store does not answer; requests with an idempotency key are refused and outcomes are kept in memory.",
            "See the chapter on platform outages in docs/OPERATIONS.md." },
        { LogEvent::ClaimsResumed, Info, "claims_resumed",
            "The store answers again; requests with an idempotency key are accepted.", "" },
        { LogEvent::ClaimExpirySuspended, Warning, "claim_expiry_suspended",
            "The wall clock jumped; this host removes no expired claims until it is restarted.",
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
            "A recorded load or unload command was sent to the engine.", "" },
        { LogEvent::PlacementCommandSettled, Info, "placement_command_settled", "A load or unload took effect.", "" },
        { LogEvent::PlacementCommandFailed, Warning, "placement_command_failed",
            "A load or unload had no effect, or its outcome is unknown until the engine's next report.",
            "If it repeats for one endpoint, drain the endpoint and examine its log." },
        { LogEvent::UnplannedReplicaAdopted, Warning, "unplanned_replica_adopted",
            "An engine holds a model that is not in the plan; the model was added, so that its memory is counted.",
            "Load and unload models only through catkinwell." },
        { LogEvent::PlannedReplicaMissing, Warning, "planned_replica_missing",
            "An engine no longer holds a model that is loaded according to the plan.",
            "Check whether the engine restarted." },
        { LogEvent::PlanTooLarge, Error, "plan_too_large",
            "The plan exceeds the size of one value in the store; no further models are loaded.",
            "Lower maximumReplicas, or split the data centre's endpoints." },
        { LogEvent::PlanUnreadable, Error, "plan_unreadable",
            "The stored plan or an announced change could not be decoded.",
            "Run the same catkinwell version on every host." },
        // 1600: membership
        { LogEvent::HostStateChanged, Info, "host_state_changed",
            "A host of the fleet became alive, suspected or leaving.", "" },
        { LogEvent::HostDeclaredDead, Warning, "host_declared_dead",
            "A host was declared dead because two observers cannot reach it or it is no longer in the platform's list.",
            "Check the host; no action is needed if the platform replaced it." },
        { LogEvent::HostListRead, Info, "host_list_read", "The platform's list of hosts can be read again.", "" },
        { LogEvent::HostListUnreadable, Warning, "host_list_unreadable",
            "The platform's list of hosts cannot be read; the last known list stays in use.",
            "Check that the store can be reached, and the values under hosts/ and leaving/." },
        { LogEvent::EndpointLeaving, Info, "endpoint_leaving", "The platform marked an endpoint as leaving.", "" },
        // 1700: configuration
        { LogEvent::ConfigurationApplied, Info, "configuration_applied",
            "A newer configuration is in force on this host.", "" },
        { LogEvent::ConfigurationRejected, Error, "configuration_rejected",
            "This host found a newer configuration invalid and did not apply it; the previous one stays in force.",
            "Correct the field named in the reason and propose the document again." },
        { LogEvent::ConfigurationProposalFinished, Info, "configuration_proposal_finished",
            "A proposed change was accepted or refused, or its outcome is unknown.", "" },
        { LogEvent::KeyRevokedLocally, Warning, "key_revoked_locally",
            "A key was revoked on this host although the configuration still grants it; with the outcome limit_reached "
            "it "
            "was not revoked.",
            "No action is needed if an operator revoked it; the grant is removed when the store can be reached." },
        { LogEvent::KeyRevocationWritten, Info, "key_revocation_written",
            "The grants of locally revoked keys were removed from the configuration in the store.", "" },
        { LogEvent::ConfigurationStoreBehind, Error, "configuration_store_behind",
            "The store contains an older configuration than the one in force; it may have been restored from a backup.",
            "Write the accepted document back to the store; hosts do not return to an older version." },
        { LogEvent::ConfigurationExceptionsChanged, Info, "configuration_exceptions_changed",
            "Exceptions in the configuration expired.", "" },
        // 1800: peer
        { LogEvent::PeerMessageDropped, Warning, "peer_message_dropped",
            "Messages from peers were dropped; the fields give the reason and the number.",
            "For the reason unauthenticated, check that all hosts have the same cluster secret." },
        { LogEvent::PeerTransportFailed, Error, "peer_transport_failed",
            "The host cannot listen for, or connect to, peers.", "Check the peer address in the settings." },
        // 1900: store
        { LogEvent::HostLeaseAcquired, Info, "host_lease_acquired", "The host has a lease in the store.", "" },
        { LogEvent::HostLeaseLost, Warning, "host_lease_lost",
            "The host's lease may have expired; the host uses no floating shares and makes no placement decisions "
            "until it "
            "has a new one.",
            "Check whether the store can be reached." },
        { LogEvent::StoreUnreachable, Error, "store_unreachable", "The store does not answer.",
            "See the chapter on platform outages in docs/OPERATIONS.md." },
        { LogEvent::StoreReachable, Info, "store_reachable", "The store answers again.", "" },
        { LogEvent::HostLeaseRefused, Warning, "host_lease_refused",
            "The store refused the host's request for a lease; the host retries with increasing delays.",
            "Check that the store's address is that of the platform's key-value service." },
        { LogEvent::StoreWasRestored, Warning, "store_was_restored",
            "The store was restored from an older copy: what was written since then is lost, and versions and leases "
            "are given out again. The host reads everything again and writes again what it knows.",
            "Check that the newest configuration is in force (2110 or 1700) and that keys were written again." },
        // 2000: administration
        { LogEvent::AdminChangeAccepted, Info, "admin_change_accepted",
            "An operator made a change; the fields give the operator, the action, the reason and the new version.",
            "" },
        { LogEvent::AdminChangeRefused, Info, "admin_change_refused",
            "An operator's change was not made; the fields give the reason.", "" },
        { LogEvent::AdminChangeUnknown, Warning, "admin_change_unknown",
            "The store did not confirm an operator's change; it may have taken effect.",
            "Read the configuration, or repeat the change with the same change identifier." },
        { LogEvent::AdminAuthenticationFailed, Warning, "admin_authentication_failed",
            "A request to the administration API had no valid token.",
            "If it repeats, find its origin, and replace the token if it may have leaked." },
        { LogEvent::BudgetNearlyExceeded, Warning, "budget_nearly_exceeded",
            "The accelerator hours counted by this host are close to its part of the monthly budget, or their forecast "
            "exceeds it.",
            "Run `catkinwell admin report` for all hosts; lower the minimum replicas or raise the budget." },
        { LogEvent::BudgetExceeded, Error, "budget_exceeded",
            "The accelerator hours counted by this host exceed its part of the monthly budget.",
            "Run `catkinwell admin report` for all hosts; lower the minimum replicas or raise the budget." },
        // 2100: gateway
        { LogEvent::GatewayRequestFinished, Info, "gateway_request_finished",
            "A request received a complete answer from an endpoint; the fields give the status, the attempts and the "
            "times.",
            "" },
        { LogEvent::GatewayRequestRefused, Info, "gateway_request_refused",
            "A request was refused and did not run; the field \"reason\" gives the reason. If the configuration does "
            "not allow it, the fields \"store_read_ms_ago\" and \"newest_stated\" tell how old the host's copy was and "
            "which newer version another host had stated.",
            "Check the limits in the configuration, and the endpoints and orders of the model at this time." },
        { LogEvent::GatewayRequestFailed, Warning, "gateway_request_failed",
            "A request ended without a complete answer of an endpoint and may have run. The field \"answer\" tells "
            "whether its caller got a complete error answer, one that broke off, or none because it had left; the "
            "fields \"configured_ms_ago\" and \"reloaded_ms_ago\" tell how long ago the configuration and the "
            "settings changed.",
            "Find its attempts (2105) and examine the logs of their endpoints." },
        { LogEvent::GatewayRequestWaits, Info, "gateway_request_waits",
            "A request is waiting for a replica of its model, for an adapter, for room because all endpoints are full, "
            "or because another request with a suspected prompt is being tried; the field \"reason\" tells which.",
            "If many requests wait, check that there is a placement owner (2120), and its orders (2122, 2123)." },
        { LogEvent::GatewayEndpointChosen, Info, "gateway_endpoint_chosen",
            "An endpoint was chosen for a request; the fields give its load, the age of its last known state, the rule "
            "(least_load or spread) and the number of candidates.",
            "" },
        { LogEvent::GatewayAttemptFailed, Warning, "gateway_attempt_failed",
            "An attempt received no usable answer from an endpoint.",
            "If it repeats for one endpoint, check its health; a status of 421 means that its state changed." },
        { LogEvent::GatewayStreamResumed, Info, "gateway_stream_resumed",
            "An interrupted stream is continued by another endpoint.", "" },
        { LogEvent::GatewayPromptRefusalChanged, Error, "gateway_prompt_refusal_changed",
            "Requests with certain parts in their prompts are refused because these parts crashed endpoints, or no "
            "longer refused because such requests were answered.",
            "Find the parts in the failed attempts (2105) before it and report them to the engine's maintainers." },
        { LogEvent::GatewaySuspicionCleared, Info, "gateway_suspicion_cleared",
            "Parts of prompts that were suspected of crashing endpoints were answered.", "" },
        { LogEvent::GatewayConfigurationApplied, Info, "gateway_configuration_applied",
            "A configuration version came into force on this host; the fields tell which host it came from, how "
            "long ago this host's copy was read from the store and for how long the version had been stated by others.",
            "" },
        { LogEvent::GatewayConfigurationRejected, Error, "gateway_configuration_rejected",
            "A configuration document is not valid; the previous version stays in force.",
            "Correct the field named in the reason and write the document again." },
        { LogEvent::GatewayEndpointChanged, Info, "gateway_endpoint_changed",
            "An endpoint appeared, restarted, is leaving or was removed, or its record is not valid.", "" },
        { LogEvent::GatewayEndpointSuspected, Warning, "gateway_endpoint_suspected",
            "An endpoint temporarily receives no new requests because attempts at it failed.",
            "If it persists, check the endpoint's host and network." },
        { LogEvent::GatewayMirrorLost, Warning, "gateway_mirror_lost",
            "The entries under a prefix of the store could not be read; those read before stay in use.",
            "Check the address and the health of the store." },
        { LogEvent::GatewayMirrorRead, Info, "gateway_mirror_read",
            "All entries under a prefix of the store were read.", "" },
        { LogEvent::GatewayPeersChanged, Info, "gateway_peers_changed", "The set of live gateways changed.", "" },
        { LogEvent::GatewayReadinessChanged, Info, "gateway_readiness_changed",
            "The host became ready or is no longer ready.", "" },
        { LogEvent::GatewayEndpointLimitChanged, Info, "gateway_endpoint_limit_changed",
            "An endpoint stated how many requests a second it accepts from all hosts together, or no longer limits "
            "them.",
            "If a limit persists, check the endpoint's health and add capacity to its service." },
        { LogEvent::GatewayBrittleServiceChanged, Warning, "gateway_brittle_service_changed",
            "The endpoints of a service state that they fall over if they have to reject more requests in a second "
            "than "
            "given, or no longer state it. The hosts send them no more than they have room for.",
            "Add capacity to the service; requests wait in the hosts meanwhile." },
        { LogEvent::GatewayOwnershipGained, Info, "gateway_ownership_gained",
            "This host owns the placement of models and begins to give orders, after a waiting period if another host "
            "was "
            "the owner before.",
            "" },
        { LogEvent::GatewayOwnershipLost, Warning, "gateway_ownership_lost",
            "This host is no longer the owner of model placement.",
            "Expected at a shutdown; otherwise check the connection to the store." },
        { LogEvent::GatewayOrderDecided, Info, "gateway_order_decided",
            "The placement owner ordered an engine to load or unload; the field \"reason\" gives the reason.", "" },
        { LogEvent::GatewayOrderFinished, Info, "gateway_order_finished",
            "An engine answered an order, or its answer was lost.", "" },
        { LogEvent::GatewayStatusFailed, Warning, "gateway_status_failed", "An engine's state could not be read.",
            "If it persists, check the endpoint's host and network." },
        { LogEvent::GatewayEndpointNotice, Info, "gateway_endpoint_notice",
            "An endpoint stated in an answer that it leaves, or that it wants no requests from this host for a time.",
            "If pauses repeat, check the endpoint's load and add capacity to its service." },
        { LogEvent::GatewayPathLost, Error, "gateway_path_lost",
            "No endpoint of a service answers this host, or none accepts a new connection. Its requests for the "
            "service "
            "are relayed to other hosts.",
            "Check this host's network; the field \"endpoints\" tells how many endpoints the service has." },
        { LogEvent::GatewayPathRegained, Info, "gateway_path_regained",
            "An endpoint of a service accepted a new connection of this host, which serves its requests again.", "" },
        { LogEvent::GatewayRequestRelayed, Info, "gateway_request_relayed",
            "A request was sent to another host, because this one cannot reach an endpoint for it.", "" },
        { LogEvent::GatewayRelayedRequestArrived, Info, "gateway_relayed_request_arrived",
            "Another host has a request served by this one.", "" },
        { LogEvent::GatewayRelayRejected, Warning, "gateway_relay_rejected",
            "A relayed request was not accepted; the field \"reason\" tells why.",
            "If it repeats, check that all hosts have the same secret and compatible versions." },
        { LogEvent::GatewayCrashWithdrawn, Info, "gateway_crash_withdrawn",
            "What looked like crashes of endpoints accuses no request any more; the field \"reason\" tells why.", "" },
        { LogEvent::GatewayBuffersFull, Warning, "gateway_buffers_full",
            "The host keeps as many bytes of answers as it may; the largest of them is given up.",
            "Find the endpoint in the failed attempt (2105) after it, and examine what it sent; if answers are sound, "
            "raise memory_mb." },
        { LogEvent::GatewaySilentStreamChecked, Info, "gateway_silent_stream_checked",
            "Nothing came of a stream for a while, and its endpoint was asked whether it still runs it; the field "
            "\"state\" gives the answer.",
            "If one endpoint pauses often, examine its memory and its load." },
        { LogEvent::GatewayMemoryFullChanged, Warning, "gateway_memory_full_changed",
            "The host refuses new requests because those that it has, and the answers that callers have not read yet, "
            "take as much memory as they may; or it accepts them again.",
            "If it persists, find callers that read slowly, add hosts or raise memory_mb." },
        { LogEvent::EvacuationChanged, Warning, "evacuation_changed",
            "The evacuation of a data centre began or ended on this host; while it lasts, the host sends nothing new "
            "to the endpoints there. After its end the requests return in steps.",
            "Delete the key in the field \"key\" from the store, or run `catkinwell admin data-centre restore`, to end "
            "it." },
        { LogEvent::EvacuationUnmatched, Warning, "evacuation_unmatched",
            "No endpoint names the data centre that is under evacuation. The evacuation is kept.",
            "Compare the name with the data centres of the endpoints; evacuate again with the right name." },
        { LogEvent::ServiceEvacuated, Error, "service_evacuated",
            "All endpoints of a service are in data centres under evacuation, so that its requests are refused, or no "
            "longer are; the field \"state\" tells which.",
            "End an evacuation, or add endpoints of the service in another data centre." },
        { LogEvent::GatewayReadingChanged, Info, "gateway_reading_changed",
            "The host reads the endpoints' records in another way; the field \"mode\" tells whether it reads by "
            "itself, "
            "reads for its data centre, or follows the host in the field \"reader\".",
            "If hosts of a data centre fall back repeatedly, check the reader's processor and its links." },
        { LogEvent::GatewayMirrorRecovered, Info, "gateway_mirror_recovered",
            "The entries under a prefix of the store can be read again; the fields tell for how long they could not, "
            "how old the copy had become and how many changes it lacked.",
            "" },
        { LogEvent::GatewayEndpointColdChanged, Info, "gateway_endpoint_cold_changed",
            "An endpoint became cold, so that all hosts together send it only a few requests per second, or is no "
            "longer cold. The field \"reason\" tells why it is cold, the field \"quota\" how many requests per second "
            "this host may send it.",
            "If requests wait, compare cold_start_s and cold_per_s of the service with what its endpoints need." },
        { LogEvent::GatewayColdTimeInvalid, Warning, "gateway_cold_time_invalid",
            "An endpoint or the configuration of a service states a cold time or rate that is no sensible value. It is "
            "ignored; the last valid value stays in force. Logged once for each source.",
            "Correct the record of the endpoint, or cold_start_s and cold_per_s of the service." },
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
