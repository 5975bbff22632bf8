#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Catkinwell {

enum class LogSeverity {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view nameOf(LogSeverity);
// Returns nothing for an unknown name. Thread safe.
std::optional<LogSeverity> logSeverityNamed(std::string_view name);

// The numbered events of docs/log-events.md. Each module has a range of one hundred numbers;
// a number is never reused for another meaning.
enum class LogEvent : int {
    // 1000: process
    ProcessStarted = 1000,
    ShutdownRequested = 1001,
    ShutdownFinished = 1002,
    ShutdownForced = 1003,
    LogEventsSuppressed = 1004,
    LoopStalled = 1005,
    SettingsReloaded = 1006,
    LogLinesDropped = 1007,
    RequestsCounted = 1008,
    // 1100: requests
    RequestRefused = 1100,
    RequestFinished = 1101,
    RequestFailed = 1102,
    RequestQueued = 1103,
    CallerDisconnected = 1104,
    AuthenticationFailed = 1105,
    AnswerCutOff = 1106,
    CallerGone = 1107,
    UnfinishedRequestsRejected = 1108,
    ConnectionsRefused = 1109,
    ResponseInvalid = 1110,
    // 1200: routing
    EndpointChosen = 1200,
    AttemptFailedEvent = 1201,
    RequestRetried = 1202,
    RetryBudgetExhausted = 1203,
    FingerprintQuarantined = 1204,
    EndpointStateChanged = 1205,
    PromptRefusalChanged = 1206,
    // 1300: shares
    ShareChanged = 1300,
    ShareRefused = 1301,
    ShareReclaimed = 1302,
    ShareValueInvalid = 1303,
    SharesReleased = 1304,
    HolderLeaseAbsent = 1305,
    // 1400: orders
    ClaimDecided = 1400,
    ClaimWithdrawn = 1401,
    OutcomeEntryLost = 1402,
    ClaimShardUnreadable = 1403,
    ClaimsSuspended = 1404,
    ClaimsResumed = 1405,
    ClaimExpirySuspended = 1406,
    // 1500: placement
    PlacementOwnershipGained = 1500,
    PlacementOwnershipLost = 1501,
    LoadDecided = 1502,
    UnloadDecided = 1503,
    PlacementCommandSent = 1504,
    PlacementCommandSettled = 1505,
    PlacementCommandFailed = 1506,
    UnplannedReplicaAdopted = 1507,
    PlannedReplicaMissing = 1508,
    PlanTooLarge = 1509,
    PlanUnreadable = 1510,
    // 1600: membership
    HostStateChanged = 1600,
    HostDeclaredDead = 1601,
    HostListRead = 1602,
    HostListUnreadable = 1603,
    EndpointLeaving = 1604,
    // 1700: configuration
    ConfigurationApplied = 1700,
    ConfigurationRejected = 1701,
    ConfigurationProposalFinished = 1702,
    KeyRevokedLocally = 1703,
    KeyRevocationWritten = 1704,
    ConfigurationStoreBehind = 1705,
    ConfigurationExceptionsChanged = 1706,
    // 1800: peer
    PeerMessageDropped = 1800,
    PeerTransportFailed = 1801,
    // 1900: store
    HostLeaseAcquired = 1900,
    HostLeaseLost = 1901,
    StoreUnreachable = 1902,
    StoreReachable = 1903,
    HostLeaseRefused = 1904,
    StoreWasRestored = 1905,
    // 2000: administration
    AdminChangeAccepted = 2000,
    AdminChangeRefused = 2001,
    AdminChangeUnknown = 2002,
    AdminAuthenticationFailed = 2003,
    BudgetNearlyExceeded = 2004,
    BudgetExceeded = 2005,
    // 2100: gateway
    GatewayRequestFinished = 2100,
    GatewayRequestRefused = 2101,
    GatewayRequestFailed = 2102,
    GatewayRequestWaits = 2103,
    GatewayEndpointChosen = 2104,
    GatewayAttemptFailed = 2105,
    GatewayStreamResumed = 2106,
    GatewayPromptRefusalChanged = 2107,
    GatewaySuspicionCleared = 2108,
    GatewayConfigurationApplied = 2110,
    GatewayConfigurationRejected = 2111,
    GatewayEndpointChanged = 2112,
    GatewayEndpointSuspected = 2113,
    GatewayMirrorLost = 2114,
    GatewayMirrorRead = 2115,
    GatewayPeersChanged = 2116,
    GatewayReadinessChanged = 2117,
    GatewayEndpointLimitChanged = 2118,
    GatewayBrittleServiceChanged = 2119,
    GatewayOwnershipGained = 2120,
    GatewayOwnershipLost = 2121,
    GatewayOrderDecided = 2122,
    GatewayOrderFinished = 2123,
    GatewayStatusFailed = 2124,
    GatewayEndpointNotice = 2125,
    GatewayPathLost = 2130,
    GatewayPathRegained = 2131,
    GatewayRequestRelayed = 2132,
    GatewayRelayedRequestArrived = 2133,
    GatewayRelayRejected = 2134,
    GatewayCrashWithdrawn = 2135,
    GatewayBuffersFull = 2136,
    GatewaySilentStreamChecked = 2137,
    GatewayMemoryFullChanged = 2138,
    EvacuationChanged = 2140,
    EvacuationUnmatched = 2141,
    ServiceEvacuated = 2142,
    GatewayReadingChanged = 2145,
    GatewayMirrorRecovered = 2146,
    GatewayEndpointColdChanged = 2150,
    GatewayColdTimeInvalid = 2151,
};

struct LogEventDescription {
    LogEvent event;
    LogSeverity severity;
    // The stable name, for example "request_refused".
    std::string_view name;
    // One sentence that describes the event.
    std::string_view meaning;
    // What an operator should do; empty if no action is needed.
    std::string_view action;
};

// Returns the whole catalogue in the order of the numbers. Thread safe.
const std::vector<LogEventDescription>& logEventCatalogue();

// Precondition: the event is in the catalogue. Thread safe.
const LogEventDescription& describe(LogEvent);

// An effect: logs a numbered event with structured fields. Fields never contain keys or bodies.
struct LogEntry {
    LogEvent event;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace Catkinwell
