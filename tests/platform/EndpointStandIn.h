#pragma once

#include "gateway/FakeEngine.h"
#include <catkinwell/http/CallerListener.h>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

// One run of a request at an endpoint.
struct Execution {
    std::string endpoint;
    std::string request;
    std::string account;
    MonotonicTime at {};
};

// An order as an engine received it.
struct ReceivedOrder {
    std::string endpoint;
    std::string holder;
    MonotonicTime at {};
};

// What all endpoints of a test have seen.
struct EndpointRecords {
    std::vector<Execution> executions;
    std::vector<ReceivedOrder> orders;
};

// How an endpoint misbehaves.
struct EndpointFaults {
    // Shares of the requests, from 0 to 1: run but the connection is closed before the answer, closed within the
    // answer, refused without a run, or run and answered with the answer of the request before it.
    double lostAnswers = 0;
    double cutAnswers = 0;
    double refusals = 0;
    double crossedAnswers = 0;
};

// A server of the platform on the loopback address: a plain one, or an engine that holds two models. Not thread safe;
// runs on the event loop.
class EndpointStandIn {
public:
    EndpointStandIn(EventLoop&, std::string id, std::string service, EndpointRecords&, std::uint64_t seed);

    // Makes it an engine with these models. Precondition: open() was not called yet.
    void makeEngine(const LoadedModels&);
    void open();
    // The record that it writes to the store next. Another address may stand in front of its own.
    std::string nextRecord(std::uint16_t port);
    std::uint16_t port() const { return m_listener.port(); }
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

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
    EndpointRecords& m_records;
    RandomGenerator m_random;
    CallerListener m_listener;
    std::unique_ptr<FakeEngine> m_engine;
    // The identifier of the request that was run before.
    std::string m_formerRequest;
    std::int64_t m_born = 0;
    std::uint64_t m_heartbeat = 0;
    bool m_isLeaving = false;
};

} // namespace Catkinwell::Testing
