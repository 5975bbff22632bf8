#pragma once

#include "gateway/FakeEngine.h"
#include <catkinwell/http/CallerListener.h>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

// One execution of a request by an endpoint.
struct Execution {
    std::string endpoint;
    std::string request;
    std::string account;
    MonotonicTime at {};
};

// An order that an engine accepted or had already carried out.
struct ReceivedOrder {
    std::string endpoint;
    std::string holder;
    MonotonicTime at {};
};

// What all fake endpoints of a test have recorded.
struct EndpointHistory {
    std::vector<Execution> executions;
    std::vector<ReceivedOrder> orders;
};

// Faults that a fake endpoint injects.
struct EndpointFaults {
    // Probabilities from 0 to 1. lostAnswers: the request runs and the connection closes before the response.
    // cutAnswers: the connection closes before one event of a stream. refusals: 503 without execution.
    // crossedAnswers: the request runs and gets the response of the request before it.
    double lostAnswers = 0;
    double cutAnswers = 0;
    double refusals = 0;
    double crossedAnswers = 0;
};

// A fake server of the platform on the loopback address: a plain one, or an engine that serves models. Not thread
// safe; runs on the event loop.
class FakeEndpoint {
public:
    FakeEndpoint(EventLoop&, std::string id, std::string service, EndpointHistory&, std::uint64_t seed);

    // Turns the server into an engine with these models. Precondition: open() has not been called.
    void makeEngine(const LoadedModels&);
    void open();
    // Returns the next record for the store and increments the heartbeat. The port may be that of a proxy in front of
    // this server.
    std::string nextRecord(std::uint16_t port);
    std::uint16_t port() const { return m_listener.port(); }
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    // The software version, which the record and each event of a stream state.
    void setVersion(std::string version) { m_version = std::move(version); }

    const std::string& id() const { return m_id; }
    FakeEngine* engine() { return m_engine.get(); }
    EndpointFaults faults;

private:
    void handle(const RequestArrived&);
    void handleOrder(const RequestArrived&);
    void answerReport(RequestId);
    void run(const RequestArrived&);
    void streamEvents(RequestId, const std::string& request, unsigned next);
    void refuse(RequestId, int status);
    nlohmann::json state() const;

    EventLoop& m_loop;
    SystemClock m_clock;
    std::string m_id;
    std::string m_service;
    EndpointHistory& m_history;
    RandomGenerator m_random;
    CallerListener m_listener;
    std::unique_ptr<FakeEngine> m_engine;
    // Identifier of the request that ran last.
    std::string m_previousRequest;
    std::int64_t m_born = 0;
    std::uint64_t m_heartbeat = 0;
    bool m_isLeaving = false;
    std::string m_version = "v1";
};

} // namespace Catkinwell::Testing
