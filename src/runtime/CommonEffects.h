#pragma once

#include <catkinwell/endpoint/EngineClient.h>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/logging/EventLog.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/runtime/RelayTransport.h>
#include <catkinwell/store/HttpStoreClient.h>

namespace Catkinwell {

// The names of listeners in log entries.
constexpr std::string_view callersName = "callers";
constexpr std::string_view relaysName = "relays";

// Carries out the effects that serving processes and gateways have in common: answers to callers, attempts at
// endpoints, store calls and log lines. CRTP base class; Executor provides listenerOf(RequestId), attempts(), store()
// and log().
template <typename Executor> struct CommonEffects {
    void operator()(const SendResponseHead& effect) const { self().listenerOf(effect.id).execute(effect); }
    void operator()(const SendResponseData& effect) const { self().listenerOf(effect.id).execute(effect); }
    void operator()(const FinishResponse& effect) const { self().listenerOf(effect.id).execute(effect); }
    void operator()(const SendWholeResponse& effect) const { self().listenerOf(effect.id).execute(effect); }
    void operator()(const AbortResponse& effect) const { self().listenerOf(effect.id).execute(effect); }
    void operator()(const StartAttempt& effect) const { self().attempts().execute(effect); }
    void operator()(const CancelAttempt& effect) const { self().attempts().execute(effect); }
    void operator()(const ThrottleAttempt& effect) const { self().attempts().execute(effect); }
    void operator()(const WithholdUnsent& effect) const { self().attempts().execute(effect); }
    void operator()(const StoreCall& effect) const { self().store().execute(effect); }
    void operator()(const LogEntry& effect) const { self().log().write(effect); }
    // The reducer records the metrics.
    void operator()(const RecordMetric&) const { }

private:
    const Executor& self() const { return static_cast<const Executor&>(*this); }
};

// Connects the signals of the caller listener and of the attempts to the slot.
template <typename Slot> void connectCommonEvents(CallerListener& callers, EngineClient& attempts, const Slot& slot)
{
    callers.signalRequest().connect(slot);
    callers.signalCallerLeft().connect(slot);
    callers.signalBackpressure().connect(slot);
    attempts.signalHead().connect(slot);
    attempts.signalData().connect(slot);
    attempts.signalFinished().connect(slot);
    attempts.signalFailed().connect(slot);
}

// Returns the settings of the listener for relayed requests.
inline ListenerSettings relayListenerAt(const std::string& address)
{
    // A caller's largest body with its head and the terms; the relaying host has checked it.
    constexpr std::size_t largestRelayBytes = 64 * 1024 * 1024;
    ListenerSettings listener;
    listener.address = address;
    listener.maximumBodyBytes = largestRelayBytes;
    return listener;
}

// Logs each answer of the listener that is cut off.
inline void logCutAnswers(CallerListener& listener, std::string_view name, EventLog& log)
{
    listener.signalAnswerCut().connect([&log, name = std::string(name)](const AnswerCut& cut) {
        const LogEvent event = cut.end == AnswerEnd::CallerLeft ? LogEvent::CallerGone : LogEvent::AnswerCutOff;
        // The reducer logs the end of a request whose caller leaves while it is served.
        if (event == LogEvent::CallerGone && cut.wasDelivered && !cut.wasAnswered)
            return;
        log.write({ event,
            { { "request", cut.callerRequestId.empty() ? std::to_string(cut.id.value) : cut.callerRequestId },
                { "listener", name }, { "reason", std::string(nameOf(cut.end)) },
                { "delivered", cut.wasDelivered ? "yes" : "no" }, { "answered", cut.wasAnswered ? "yes" : "no" } } });
    });
}

// Logs how the requests of a listener ended, and those that are cut off by the end of the process. Precondition: the
// event loop has stopped and does not run again.
inline void logProcessEnd(CallerListener& listener, std::string_view name, EventLog& log)
{
    const RequestCounts& counts = listener.counts();
    LogEntry entry { LogEvent::RequestsCounted,
        { { "listener", std::string(name) }, { "read", std::to_string(counts.read) },
            { "open", std::to_string(counts.open()) }, { "rejected", std::to_string(counts.rejected) },
            { "rejected_connections", std::to_string(counts.rejectedConnections) } } };
    for (std::size_t end = 0; end < answerEndCount; ++end)
        entry.fields.emplace_back(nameOf(static_cast<AnswerEnd>(end)), std::to_string(counts.ended[end]));
    log.write(entry);
    listener.endAtProcessEnd();
}

// Connects the signals of the relay to the slot, and its log entries to the log.
template <typename Slot>
void connectRelayEvents(CallerListener& relays, RelayTransport& transport, EventLog& log, const Slot& slot)
{
    relays.signalCallerLeft().connect(slot);
    relays.signalBackpressure().connect(slot);
    transport.signalRequest().connect(slot);
    transport.signalFailed().connect(slot);
    transport.logEntry().connect([&log](const LogEntry& entry) { log.write(entry); });
}

} // namespace Catkinwell
