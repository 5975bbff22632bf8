#pragma once

#include "gateway/FakeEngine.h"
#include <catkinwell/http/CallerListener.h>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <variant>

namespace Catkinwell::Testing {

// One execution of a request by an endpoint.
struct Execution {
    std::string endpoint;
    std::string request;
    std::string account;
    MonotonicTime at {};
    std::string path {};
    // When the endpoint stopped its work on it.
    std::optional<MonotonicTime> endedAt {};
};

// An endpoint ended while it ran this request.
struct RecordedCrash {
    std::string endpoint;
    std::string path;
    MonotonicTime at {};
};

// A brittle endpoint ended because it had rejected too many requests within a second.
struct RecordedFall {
    std::string endpoint;
    MonotonicTime at {};
    // The requests that it had rejected.
    std::vector<std::string> rejected;
};

// An order that an engine accepted or had already carried out.
struct ReceivedOrder {
    std::string endpoint;
    std::string holder;
    MonotonicTime at {};
};

// A request that an endpoint received, also if it did not run it.
struct Arrival {
    std::string endpoint;
    std::string request;
    MonotonicTime at {};
};

// An endpoint answered this request and stated that it leaves, or that it wants no requests from the host for a time.
struct RecordedNotice {
    std::string endpoint;
    std::string request;
    MonotonicTime at {};
    // Zero if it leaves.
    Duration pause {};
};

// An endpoint closed the connection of a request that it had received, before its answer was complete.
struct RecordedBreak {
    std::string endpoint;
    std::string request;
    MonotonicTime at {};
};

// What all fake endpoints of a test have recorded.
struct EndpointHistory {
    std::vector<Execution> executions;
    std::vector<ReceivedOrder> orders;
    std::vector<RecordedCrash> crashes {};
    std::vector<RecordedFall> falls {};
    std::vector<Arrival> arrivals {};
    std::vector<RecordedNotice> notices {};
    std::vector<RecordedBreak> breaks {};
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

// A fake server of the platform on the loopback address: a plain one, or an engine that serves models. A request whose
// path contains "deadly" ends it: a stream after its second event, others when they run. It starts again under another
// identifier. Not thread safe; runs on the event loop.
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
    // Whether it has ended and not started again. Its record is not to be written meanwhile.
    bool isDown() const { return m_isDown; }
    // Emitted when it ends, with its identifier, and when it has started again.
    sigc::signal<void(const std::string&)>& signalEnded() { return m_signalEnded; }
    sigc::signal<void()>& signalStarted() { return m_signalStarted; }
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    // The data centre in its record.
    void setZone(std::string zone) { m_zone = std::move(zone); }
    // Requests that run at a time if it is brittle, and the time until the answer of one begins.
    void setCapacity(unsigned slots, Duration processingTime);
    // From now on it runs no more requests at a time than it has slots, lets this many wait for one, and rejects
    // others.
    void setQueue(unsigned length) { m_queueLength = length; }
    // Streams that begin from now on have this many events, this far apart.
    void setStream(unsigned events, Duration interval);
    // The newest runs stand still for this time and then go on, as if they were preempted. Everything else goes on.
    void preemptNewest(std::size_t runs, Duration);
    // Whether it works on a request whose connection has closed.
    void setWorkingOn(bool isWorkingOn) { m_isWorkingOn = isWorkingOn; }
    // A plain answer to a request whose path contains "large" has this many bytes.
    void setLargeAnswer(std::size_t bytes) { m_largeAnswerBytes = bytes; }
    // A brittle endpoint ends if it rejects more than this number of requests within a second for want of room. All its
    // answers say so, and after a reaction time it lets no request wait.
    void setBrittle(std::optional<unsigned> rejections);
    // From now on it refuses every request and asks for a pause of this length; nullopt ends that.
    void setPause(std::optional<Duration> pause) { m_pause = pause; }
    // States in all its answers that it leaves, until it ends. Its record does not say so.
    void announceLeaving() { m_announcesLeaving = true; }
    // While it is silent it works on, but sends nothing; then it sends everything that was due. Its record is written
    // on.
    void setSilent(bool isSilent);
    // Ends as if it were killed, and starts again under another identifier.
    void restart();
    // The software version, which the record and each event of a stream state.
    void setVersion(std::string version) { m_version = std::move(version); }

    const std::string& id() const { return m_id; }
    FakeEngine* engine() { return m_engine.get(); }
    EndpointFaults faults;

private:
    // A request that it works on.
    struct Run {
        std::string request;
        // Its place in the history.
        std::size_t execution = 0;
        // The events that it has made.
        unsigned events = 0;
        MonotonicTime pausedUntil {};
    };

    using Output = std::variant<SendResponseHead, SendResponseData, FinishResponse, SendWholeResponse, AbortResponse>;

    void handle(const RequestArrived&);
    void noteArrival(const RequestArrived&);
    void handleOrder(const RequestArrived&);
    void answerReport(RequestId);
    void handleLeft(RequestId);
    void waitForSlot(const RequestArrived&);
    void begin(const RequestArrived&);
    void beginWaiting();
    void endRun(RequestId);
    nlohmann::json runsJson() const;
    std::string plainAnswer(const std::string& request, const std::string& path) const;
    void run(const RequestArrived&);
    void streamEvents(RequestId, const std::string& request, unsigned next);
    void refuse(RequestId, int status);
    void refuseForPause(const RequestArrived&);
    // Statements that all its answers carry.
    HeaderList statements() const;
    bool lacksModel(const RequestArrived&) const;
    bool hasRoom() const;
    void rejectForRoom(const RequestArrived&);
    // Ends because of the request with this path.
    void crash(const std::string& path);
    // Ends like a killed process: answers break off and connections close until it starts again.
    void end();
    void startAgain();
    // Sends the part of an answer, at the end of the silence if there is one.
    void send(Output);
    void noteNotice(const Output&);
    void noteEndOf(const Output&);
    // Calls the function after the delay unless the endpoint has ended meanwhile or the caller has left.
    void laterFor(RequestId, Duration, std::function<void()>);
    nlohmann::json state() const;

    EventLoop& m_loop;
    SystemClock m_clock;
    // Its identifier at its first start.
    std::string m_name;
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
    std::string m_zone = "dc1";
    bool m_announcesLeaving = false;
    std::optional<Duration> m_pause;
    std::string m_version = "v1";
    unsigned m_slots = 16;
    Duration m_processingTime = std::chrono::milliseconds(10);
    std::optional<unsigned> m_brittleRejections;
    MonotonicTime m_brittleSince {};
    bool m_isDown = false;
    unsigned m_starts = 1;
    std::map<RequestId, Run> m_running;
    std::deque<RequestArrived> m_waiting;
    std::optional<unsigned> m_queueLength;
    unsigned m_eventsPerStream = 5;
    Duration m_eventInterval = std::chrono::milliseconds(15);
    bool m_isWorkingOn = false;
    std::size_t m_largeAnswerBytes = 0;
    // What reports list of its runs, which is a little old, and what they will list next.
    nlohmann::json m_reportedRuns;
    nlohmann::json m_nextReportedRuns;
    // Identifiers of the requests whose answers have not ended.
    std::map<RequestId, std::string> m_unanswered;
    // What the answers that have not begun state.
    std::map<RequestId, RecordedNotice> m_notices;
    bool m_isSilent = false;
    std::vector<Output> m_held;
    // Rejections for want of room within the last second.
    std::deque<std::pair<MonotonicTime, std::string>> m_rejections;
    sigc::signal<void(const std::string&)> m_signalEnded;
    sigc::signal<void()> m_signalStarted;
};

} // namespace Catkinwell::Testing
